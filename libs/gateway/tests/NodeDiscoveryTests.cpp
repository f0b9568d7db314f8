#include <algorithm>
#include <catch2/catch.hpp>
#include <gateway/NodeDiscovery.h>
#include <memory>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr Duration interval { 500 }; // Between two reports of a node.
constexpr Duration untilExpired { 60000 }; // By then the registrations of lost nodes have expired.

// Nodes that exchange reports and share a registry, with a driven clock. Nodes of different groups don't hear each other.
class Fleet {
public:
    explicit Fleet(int nodes)
    {
        for (int node = 0; node < nodes; ++node)
            add(0);
        play(Duration(3000));
    }

    // Adds a node that has no seeds. Returns its index.
    int add(int group)
    {
        const int index = static_cast<int>(m_nodes.size());
        m_nodes.push_back(std::make_unique<Node>(address(index), group, m_log));
        start(index);
        return index;
    }

    void setGroup(int node, int group) { at(node).group = group; }
    void kill(int node) { at(node).isAlive = false; }

    // Starts a node again: it has forgotten everything.
    void restart(int node)
    {
        const int group = at(node).group;
        m_nodes[static_cast<std::size_t>(node)] = std::make_unique<Node>(address(node), group, m_log);
        start(node);
    }

    void play(Duration time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += interval)
            playRound();
    }

    int liveNodes(int node) { return at(node).peers.directLiveNodeCount(); }
    int knownNodes(int node) { return at(node).peers.knownNodeCount(); }
    bool isFleetKnown(int node) { return at(node).peers.isFleetKnown(); }
    std::size_t registered() const { return m_registry.size(); }

    // Returns the sum of the parts that the nodes use of what all share.
    double sharesInUse()
    {
        double sum = 0;
        for (const auto& node : m_nodes)
            sum += node->isAlive && node->peers.isFleetKnown() ? 1.0 / node->peers.knownNodeCount() : 0;
        return sum;
    }

    bool isStorageAvailable = true;

private:
    struct Node {
        Node(const std::string& address, int ownGroup, DecisionLog& log)
            : discovery(peers, log)
            , group(ownGroup)
        {
            peers.setOwnNode({ address, "honda", 0 });
            discovery.connect({ address, "honda" }, [this] { return isRegistrar; });
        }

        PeerView peers { PeerTimeouts {} };
        NodeDiscovery discovery;
        int group;
        bool isAlive = true;
        bool isRegistrar = false;
        bool hasJoined = false;
        uint64_t reports = 0;
        int64_t incarnation = 0;
    };

    static std::string address(int index) { return "127.0.0.1:" + std::to_string(10000 + index); }
    Node& at(int index) { return *m_nodes[static_cast<std::size_t>(index)]; }
    bool isConnected(const Node& from, const Node& to) const { return from.isAlive && to.isAlive && from.group == to.group; }

    Node* find(const std::string& wanted)
    {
        const auto found
            = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const auto& node) { return node->discovery.own().address == wanted; });
        return found == m_nodes.end() ? nullptr : found->get();
    }

    void start(int index)
    {
        at(index).incarnation = ++m_incarnations;
        join(at(index));
    }

    void join(Node& node)
    {
        if (!isStorageAvailable)
            return;
        node.hasJoined = true;
        const auto& own = node.discovery.own();
        const bool wasRegistered = m_registry.contains(own.address);
        if (!wasRegistered)
            write(own);
        read(node);
        node.discovery.onJoined(wasRegistered, m_now);
    }

    void write(const RegisteredNode& node) { m_registry[node.address] = { node, { 1, ++m_offset } }; }

    void read(Node& node)
    {
        std::vector<NodeRegistry::Registration> all;
        for (const auto& [key, registration] : m_registry)
            all.push_back(registration);
        node.discovery.registry().reset(all);
    }

    void playRound()
    {
        constexpr int roundsPerPeerList = 4;
        const bool withPeers = ++m_round % roundsPerPeerList == 0;
        for (auto& node : m_nodes) {
            node->peers.expire(m_now);
            if (!node->isAlive)
                continue;
            if (!node->hasJoined)
                join(*node);
            for (const auto& target : node->peers.addresses())
                report(*node, find(target), withPeers);
        }
        for (auto& node : m_nodes) {
            node->isRegistrar = node->isAlive && isFirstOfLive(*node);
            node->discovery.tick(m_now);
            if (node->isAlive && isStorageAvailable && node->discovery.isRenewalDue(m_now))
                renew(*node);
        }
    }

    static bool isFirstOfLive(const Node& node)
    {
        const auto live = node.discovery.liveNodes();
        return std::all_of(
            live.begin(), live.end(), [&](const RegisteredNode& other) { return node.discovery.own().address <= other.address; });
    }

    void report(Node& from, Node* to, bool withPeers)
    {
        auto report = makeReport(from);
        if (withPeers)
            report.peers = from.peers.nextPeersToName(24, "honda");
        if (!to || !isConnected(from, *to) || !to->peers.onReport(from.discovery.own().address, report, m_now))
            return;
        auto response = makeReport(*to);
        response.peers = to->peers.nextPeersToName(64, "honda");
        from.peers.onReport(to->discovery.own().address, response, m_now);
    }

    NodeReport makeReport(Node& node)
    {
        NodeReport report;
        report.dataCentre = "honda";
        report.incarnation = node.incarnation;
        report.sequence = ++node.reports;
        report.isReady = true;
        report.liveNodes = node.peers.directLiveNodeCount();
        report.knownNodes = node.peers.directNodeCount();
        report.registeredNodes = node.peers.registeredNodes();
        report.isRegistrar = node.discovery.isRegistrar(m_now);
        return report;
    }

    void renew(Node& node)
    {
        read(node);
        const auto live = node.discovery.liveNodes();
        for (const auto& registered : live)
            write(registered);
        node.discovery.onRenewed(live, m_now);
        const auto expired = node.discovery.registry().expired();
        if (expired.empty())
            return;
        for (const auto& lost : expired)
            m_registry.erase(lost);
        node.discovery.onRemoved(expired);
    }

    LineWriter m_writer { -1, 1U << 20U };
    DecisionLog m_log { "n1", m_writer, 0 };
    TimePoint m_now = ::start;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<std::string, NodeRegistry::Registration> m_registry;
    int64_t m_offset = 0;
    int m_round = 0;
    int64_t m_incarnations = 0;
};

constexpr int nodes = 9;

} // namespace

// Guards against new nodes with dead seeds that each use a whole quota.
TEST_CASE("nodes that replace others find the remaining ones in the registry, and all count each other")
{
    Fleet fleet(5);
    for (int node = 0; node < 3; ++node)
        fleet.kill(node);
    for (int node = 5; node < 8; ++node)
        fleet.add(0);
    fleet.play(Duration(1000));
    for (int node = 3; node < 8; ++node) {
        CHECK(fleet.isFleetKnown(node));
        CHECK(fleet.knownNodes(node) == 8);
    }
    fleet.play(untilExpired);
    CHECK(fleet.registered() == 5);
    for (int node = 3; node < 8; ++node)
        CHECK(fleet.knownNodes(node) == 5);
}

// Guards against groups that take those they don't hear for gone, and use the whole of what all share.
TEST_CASE("groups of nodes that don't hear each other for minutes still count each other, and all meet again")
{
    for (const int smallerGroup : { 1, 3 }) {
        CAPTURE(smallerGroup);
        Fleet fleet(nodes);
        for (int node = 0; node < smallerGroup; ++node)
            fleet.setGroup(node, 1);
        for (int minute = 0; minute < 4; ++minute) {
            fleet.play(Duration(60000));
            CHECK(fleet.sharesInUse() == Approx(1));
        }
        for (int node = 0; node < smallerGroup; ++node)
            fleet.setGroup(node, 0);
        fleet.play(Duration(15000));
        for (int node = 0; node < nodes; ++node)
            CHECK(fleet.knownNodes(node) == nodes);
        CHECK(fleet.registered() == nodes);
    }
}

TEST_CASE("halves of a larger fleet that did not hear each other for minutes meet again without seeds")
{
    constexpr int size = 60;
    Fleet fleet(size);
    for (int node = 0; node < size; node += 2)
        fleet.setGroup(node, 1);
    fleet.play(Duration(120000));
    CHECK(fleet.liveNodes(0) == size / 2);
    for (int node = 0; node < size; node += 2)
        fleet.setGroup(node, 0);
    fleet.play(Duration(20000));
    for (int node = 0; node < size; ++node)
        CHECK(fleet.liveNodes(node) == size);
}

TEST_CASE("a node that has not read the registry is not the registrar, also shortly after the clock's start")
{
    const NodeRegistry registry;
    CHECK_FALSE(registry.isCurrent(TimePoint() + Duration(500)));
    CHECK_FALSE(registry.isRenewalDue(start));
}

// Guards against two nodes that both read an empty registry, fail to write to it, and each count themselves alone.
TEST_CASE("a node that has read the registry but could not register itself does not know the fleet")
{
    LineWriter writer(-1, 1U << 20U);
    DecisionLog log("n1", writer, 0);
    PeerView peers(PeerTimeouts {});
    NodeDiscovery discovery(peers, log);
    discovery.connect({ "127.0.0.1:1", "honda" }, [] { return true; });
    discovery.registry().reset({});
    discovery.tick(start);
    CHECK_FALSE(discovery.isFleetKnown());
    discovery.onJoined(false, start);
    CHECK(discovery.isFleetKnown());
}

TEST_CASE("nodes that lose all reports of each other don't each act as the only one")
{
    Fleet fleet(nodes);
    for (int node = 0; node < nodes; ++node)
        fleet.setGroup(node, node);
    fleet.play(Duration(180000));
    CHECK(fleet.sharesInUse() == Approx(1));
}

TEST_CASE("a new node that hears no other, although others are registered, uses nothing until they have expired")
{
    Fleet fleet(nodes);
    const int added = fleet.add(1);
    fleet.play(Duration(180000));
    CHECK_FALSE(fleet.isFleetKnown(added));
    CHECK(fleet.knownNodes(0) == nodes + 1);
    for (int node = 0; node < nodes; ++node)
        fleet.kill(node);
    fleet.play(untilExpired);
    CHECK(fleet.isFleetKnown(added));
    CHECK(fleet.knownNodes(added) == 1);
}

TEST_CASE("after a restart of all nodes, each counts the others before it has heard them")
{
    Fleet fleet(nodes);
    for (int node = 0; node < nodes; ++node)
        fleet.setGroup(node, node);
    for (int node = 0; node < nodes; ++node)
        fleet.restart(node);
    CHECK(fleet.sharesInUse() == Approx(1));
}

TEST_CASE("a node that reaches neither the registry nor a peer uses nothing, and learns the number of nodes from the first peer")
{
    Fleet fleet(nodes);
    fleet.isStorageAvailable = false;
    const int added = fleet.add(1);
    fleet.play(Duration(60000));
    CHECK_FALSE(fleet.isFleetKnown(added));
    CHECK(fleet.sharesInUse() == Approx(1));
    fleet.isStorageAvailable = true;
    fleet.setGroup(added, 0);
    fleet.play(Duration(1000));
    CHECK(fleet.isFleetKnown(added));
    CHECK(fleet.knownNodes(added) == nodes + 1);
}

TEST_CASE("no registration expires while the storage is away, nor when it has come back")
{
    Fleet fleet(nodes);
    for (int node = 0; node < 3; ++node)
        fleet.setGroup(node, 1);
    fleet.isStorageAvailable = false;
    fleet.play(Duration(120000));
    CHECK(fleet.sharesInUse() == Approx(1));
    fleet.isStorageAvailable = true;
    fleet.play(Duration(60000));
    CHECK(fleet.sharesInUse() == Approx(1));
}

TEST_CASE("a node contacts a bounded number of registered nodes, those of its data centre first, and not all nodes the same ones")
{
    NodeRegistry registry;
    std::vector<NodeRegistry::Registration> registrations;
    constexpr int fleetSize = 430;
    constexpr int dataCentres = 14;
    for (int node = 0; node < fleetSize; ++node) {
        const RegisteredNode registered { "127.0.0.1:" + std::to_string(10000 + node), "dc" + std::to_string(node % dataCentres) };
        registrations.push_back({ registered, { 1, node } });
    }
    registry.reset(registrations);
    const auto contacts = registry.contactsFor(registrations[0].node, {}, 16);
    REQUIRE(contacts.size() == 16);
    for (const auto& contact : contacts) {
        const int node = std::stoi(contact.substr(contact.find(':') + 1)) - 10000;
        CHECK(node % dataCentres == 0);
        CHECK(node != 0);
    }
    CHECK(contacts != registry.contactsFor(registrations[dataCentres].node, {}, 16));
}
