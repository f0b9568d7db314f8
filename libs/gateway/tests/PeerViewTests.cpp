#include <catch2/catch.hpp>
#include <gateway/PeerView.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);

// Nodes that start with three seeds and send reports with peer addresses to every address they know.
class Cluster {
public:
    explicit Cluster(int nodes)
    {
        constexpr int seeds = 3;
        for (int node = 0; node < nodes; ++node) {
            auto& view = m_views.emplace_back(PeerTimeouts {});
            view.setOwnAddress(address(node));
            // The seeds are spread out, like the first nodes of different data centres.
            for (int seed = 0; seed < seeds; ++seed)
                view.addAddress(address(seed * nodes / seeds), true, start);
        }
    }

    void reportToAll(std::size_t peersNamed)
    {
        ++m_round;
        for (std::size_t sender = 0; sender < m_views.size(); ++sender) {
            NodeReport report;
            report.sequence = m_round;
            report.isReady = true;
            report.peers = m_views[sender].nextPeersToName(peersNamed);
            for (const auto& target : m_views[sender].addresses())
                m_views[indexOf(target)].onReport(address(static_cast<int>(sender)), report, start + Duration(400) * m_round);
        }
    }

    int minLiveNodeCount() const
    {
        int minimum = static_cast<int>(m_views.size());
        for (const auto& view : m_views)
            minimum = std::min(minimum, view.liveNodeCount());
        return minimum;
    }

private:
    static constexpr int firstPort = 10000;

    static std::string address(int node) { return "127.0.0.1:" + std::to_string(firstPort + node); }
    static std::size_t indexOf(const std::string& address)
    {
        return static_cast<std::size_t>(std::stoi(address.substr(address.find(':') + 1)) - firstPort);
    }

    std::vector<PeerView> m_views;
    uint64_t m_round = 0;
};

} // namespace

TEST_CASE("home nodes are chosen among the nodes with at least half the CPU capacity of the strongest one")
{
    PeerView view({});
    view.setOwnAddress("127.0.0.1:1");
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

TEST_CASE("all nodes get to know each other although each report names only some peers")
{
    for (const int nodes : { 9, 69, 91, 430 }) {
        CAPTURE(nodes);
        Cluster cluster(nodes);
        constexpr int peersNamed = 24;
        const int rounds = 2 + (nodes + peersNamed - 1) / peersNamed; // Enough for each node to name all others once.
        for (int round = 0; round < rounds; ++round)
            cluster.reportToAll(peersNamed);
        CHECK(cluster.minLiveNodeCount() == nodes);
    }
}
