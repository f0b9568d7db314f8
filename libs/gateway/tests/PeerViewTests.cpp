#include <algorithm>
#include <catch2/catch.hpp>
#include <gateway/PeerView.h>
#include <protocol/Messages.h>
#include <set>
#include <utility>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);

constexpr Duration interval { 300 }; // Between two reports of a node.
constexpr int strongCapacity = 500;
constexpr int weakCapacity = 120;

// The nodes of a fleet, which exchange reports in rounds with a driven clock. Three nodes of each data centre are strong.
class Fleet {
public:
    Fleet(int nodes, int dataCentres)
        : m_dataCentres(dataCentres)
        , m_firstNodes(nodes)
    {
        grow(nodes);
    }

    void grow(int nodes)
    {
        for (int added = 0; added < nodes; ++added) {
            const int index = static_cast<int>(m_nodes.size());
            auto& node = m_nodes.emplace_back();
            const int capacity = index < 3 * m_dataCentres ? strongCapacity : weakCapacity;
            node.own = { address(index), "dc" + std::to_string(index % m_dataCentres), capacity };
            node.view.setOwnNode(node.own);
            for (int seed = 0; seed < 3; ++seed)
                node.view.addAddress(address(seed * m_firstNodes / 3), true, m_now);
        }
    }

    void kill(int index) { m_nodes[static_cast<std::size_t>(index)].isAlive = false; }
    void setCut(int index, bool isCut) { m_nodes[static_cast<std::size_t>(index)].isCut = isCut; }

    void play(Duration time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += interval)
            playRound();
    }

    // Returns the reports and their bytes in the last round.
    std::size_t reports() const { return m_reports; }
    std::size_t bytesBetweenDataCentres() const { return m_bytesBetweenDataCentres; }

    std::set<std::string> delegates() const
    {
        std::set<std::string> result;
        for (const auto& node : m_nodes) {
            if (isConnected(node) && node.view.isDelegate())
                result.insert(node.own.address);
        }
        return result;
    }

    // Checks that all connected nodes know the same delegates, every node of their data centre, and the size of the fleet.
    void checkAgreement() const
    {
        const auto expected = delegates();
        for (const auto& node : m_nodes) {
            if (!isConnected(node))
                continue;
            const auto ready = node.view.readyPeers();
            std::set<std::string> known(ready.begin(), ready.end());
            if (node.view.isDelegate())
                known.insert(node.own.address);
            REQUIRE(known == expected);
            REQUIRE(nearNodes(node) >= connectedIn(node.own.dataCentre) - 1);
            REQUIRE(node.view.liveNodeCount() == connected());
        }
    }

    int connected() const
    {
        return static_cast<int>(std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node& node) { return isConnected(node); }));
    }

private:
    struct Node {
        OwnNode own;
        PeerView view { PeerTimeouts {} };
        bool isAlive = true;
        bool isCut = false;
        bool wasDelegate = true;
    };

    static constexpr int firstPort = 10000;

    static std::string address(int node) { return "127.0.0.1:" + std::to_string(firstPort + node); }
    static std::size_t indexOf(const std::string& address)
    {
        return static_cast<std::size_t>(std::stoi(address.substr(address.find(':') + 1)) - firstPort);
    }
    static bool isConnected(const Node& node) { return node.isAlive && !node.isCut; }

    int connectedIn(const std::string& dataCentre) const
    {
        return static_cast<int>(std::count_if(
            m_nodes.begin(), m_nodes.end(), [&](const Node& node) { return isConnected(node) && node.own.dataCentre == dataCentre; }));
    }

    int nearNodes(const Node& node) const
    {
        const auto live = node.view.livePeers();
        return static_cast<int>(std::count_if(live.begin(), live.end(),
            [&](const std::string& peer) { return m_nodes[indexOf(peer)].own.dataCentre == node.own.dataCentre; }));
    }

    NodeReport makeReport(const Node& node)
    {
        NodeReport report;
        report.dataCentre = node.own.dataCentre;
        report.sequence = ++m_sequence;
        report.isReady = true;
        report.capacity = node.own.capacity;
        report.isDelegate = node.view.isDelegate();
        report.liveNodes = node.view.directLiveNodeCount();
        report.knownNodes = node.view.directNodeCount();
        return report;
    }

    void playRound()
    {
        m_reports = 0;
        m_bytesBetweenDataCentres = 0;
        const bool withPeers = ++m_round % 10 == 1;
        for (auto& node : m_nodes) {
            node.view.expire(m_now);
            if (!node.isAlive)
                continue;
            auto report = makeReport(node);
            report.peers = withPeers ? node.view.nextPeersToName(24, node.own.dataCentre) : node.view.newDelegates();
            const auto targets = node.view.reportTargets();
            sendAll(node, targets.withLoads, report);
            sendAll(node, targets.withoutLoads, report);
            if (std::exchange(node.wasDelegate, report.isDelegate) && !report.isDelegate)
                sendAll(node, node.view.addresses(), makeReport(node));
        }
    }

    void sendAll(Node& sender, const std::vector<std::string>& targets, const NodeReport& report)
    {
        const auto bytes = encode(report).size();
        for (const auto& target : targets) {
            auto& receiver = m_nodes[indexOf(target)];
            ++m_reports;
            m_bytesBetweenDataCentres += receiver.own.dataCentre == sender.own.dataCentre ? 0 : bytes;
            if (!isConnected(sender) || !isConnected(receiver) || !receiver.view.onReport(sender.own.address, report, m_now))
                continue;
            auto response = makeReport(receiver);
            response.peers = receiver.view.nextPeersToName(64, sender.own.dataCentre);
            sender.view.onReport(receiver.own.address, response, m_now);
        }
    }

    int m_dataCentres;
    int m_firstNodes;
    TimePoint m_now = start;
    std::vector<Node> m_nodes;
    uint64_t m_sequence = 0;
    int m_round = 0;
    std::size_t m_reports = 0;
    std::size_t m_bytesBetweenDataCentres = 0;
};

struct Size {
    int nodes;
    int dataCentres;
};

} // namespace

TEST_CASE("home nodes are chosen among the nodes with at least half the CPU capacity of the strongest one")
{
    PeerView view({});
    view.setOwnNode({ "127.0.0.1:1", "honda", 0 });
    const auto addPeer = [&](const std::string& address, int capacity) {
        NodeReport report;
        report.sequence = 1;
        report.isReady = true;
        report.capacity = capacity;
        view.onReport(address, report, start);
        return address;
    };
    const auto weak = addPeer("127.0.0.1:2", 120);
    const auto strong = addPeer("127.0.0.1:3", 500);
    const std::vector<std::string> all { "127.0.0.1:1", weak, strong };
    CHECK(view.filterByCapacity(all, 120) == std::vector<std::string> { strong });
    CHECK(view.filterByCapacity(all, 300) == std::vector<std::string> { "127.0.0.1:1", strong });
    CHECK(view.filterByCapacity({ "127.0.0.1:1", weak }, 120) == std::vector<std::string> { "127.0.0.1:1", weak });
    CHECK(view.filterByCapacity({ "127.0.0.1:1" }, 0) == std::vector<std::string> { "127.0.0.1:1" });
}

TEST_CASE("all nodes agree on the delegates and know the nodes of their data centre")
{
    for (const Size size : { Size { 9, 3 }, Size { 69, 3 }, Size { 195, 5 }, Size { 430, 14 } }) {
        CAPTURE(size.nodes);
        Fleet fleet(size.nodes, size.dataCentres);
        fleet.play(Duration(6000));
        fleet.checkAgreement();
        const int expected = size.nodes <= DelegatePolicy {}.smallFleet ? size.nodes : 3 * size.dataCentres;
        CHECK(fleet.delegates().size() == static_cast<std::size_t>(expected));
    }
}

TEST_CASE("the number of reports grows with the nodes of a data centre and with the delegates, not with the square of the nodes")
{
    for (const Size size : { Size { 69, 3 }, Size { 195, 5 } }) {
        CAPTURE(size.nodes);
        Fleet fleet(size.nodes, size.dataCentres);
        constexpr Duration untilForgotten { 36000 }; // Addresses that were named only once, before the delegates were known.
        fleet.play(untilForgotten);
        const auto nodes = static_cast<std::size_t>(size.nodes);
        const auto dataCentres = static_cast<std::size_t>(size.dataCentres);
        const auto delegates = 3 * dataCentres;
        const auto perNode = nodes / dataCentres + 1 + delegates;
        CHECK(fleet.reports() <= nodes * perNode + delegates * nodes);
        CHECK(fleet.bytesBetweenDataCentres() <= 300 * delegates * nodes);
    }
}

TEST_CASE("after the loss of 55 in 100 nodes the survivors agree on new delegates within the live timeout and two reports")
{
    for (const Size size : { Size { 69, 3 }, Size { 195, 5 }, Size { 430, 14 } }) {
        CAPTURE(size.nodes);
        Fleet fleet(size.nodes, size.dataCentres);
        fleet.play(Duration(6000));
        // The strong nodes are among the lost ones.
        for (int node = 0; node < size.nodes * 55 / 100; ++node)
            fleet.kill(node);
        fleet.play(PeerTimeouts {}.liveTimeout + 3 * interval);
        fleet.checkAgreement();
        CHECK(fleet.delegates().size() >= static_cast<std::size_t>(size.dataCentres));
    }
}

TEST_CASE("nodes that were cut off are known again two reports after the cut")
{
    Fleet fleet(195, 5);
    fleet.play(Duration(6000));
    for (int node = 0; node < 195; node += 6)
        fleet.setCut(node, true);
    fleet.play(Duration(5500));
    fleet.checkAgreement();
    for (int node = 0; node < 195; node += 6)
        fleet.setCut(node, false);
    fleet.play(Duration(900));
    fleet.checkAgreement();
    CHECK(fleet.delegates().size() == 15);
}

TEST_CASE("a fleet that grows by three quarters agrees on its delegates within three seconds")
{
    Fleet fleet(195, 5);
    fleet.play(Duration(6000));
    fleet.grow(146);
    fleet.play(Duration(3000));
    fleet.checkAgreement();
}

TEST_CASE("a rolling restart keeps the delegates known to all nodes")
{
    Fleet fleet(195, 5);
    fleet.play(Duration(6000));
    for (int node = 0; node < 15; ++node) {
        fleet.setCut(node, true);
        fleet.play(Duration(2700));
        fleet.checkAgreement();
        fleet.setCut(node, false);
        fleet.play(Duration(900));
        fleet.checkAgreement();
    }
}
