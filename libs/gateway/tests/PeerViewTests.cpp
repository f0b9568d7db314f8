#include <catch2/catch.hpp>
#include <gateway/PeerView.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);

// Nodes that begin with three seeds and send whole reports to every address they know.
class Crowd {
public:
    explicit Crowd(int nodes)
    {
        constexpr int seeds = 3;
        for (int node = 0; node < nodes; ++node) {
            auto& view = m_views.emplace_back(PeerTimeouts {});
            view.setOwnAddress(address(node));
            // Seeds lie apart, as the first nodes of their data centres.
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

    int fewestNodesKnown() const
    {
        int fewest = static_cast<int>(m_views.size());
        for (const auto& view : m_views)
            fewest = std::min(fewest, view.liveNodeCount());
        return fewest;
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

TEST_CASE("homes lie on the nodes with the most processor time, as long as there are any")
{
    PeerView view({});
    view.setOwnAddress("127.0.0.1:1");
    const auto put = [&](const std::string& address, int capacity) {
        NodeReport report;
        report.sequence = 1;
        report.isReady = true;
        report.capacity = capacity;
        view.onReport(address, report, start);
        return address;
    };
    const auto weak = put("127.0.0.1:2", 120);
    const auto strong = put("127.0.0.1:3", 500);
    const std::vector<std::string> all { "127.0.0.1:1", weak, strong };
    CHECK(view.filterByCapacity(all, 120) == std::vector<std::string> { strong });
    CHECK(view.filterByCapacity(all, 300) == std::vector<std::string> { "127.0.0.1:1", strong });
    CHECK(view.filterByCapacity({ "127.0.0.1:1", weak }, 120) == std::vector<std::string> { "127.0.0.1:1", weak });
    CHECK(view.filterByCapacity({ "127.0.0.1:1" }, 0) == std::vector<std::string> { "127.0.0.1:1" });
}

TEST_CASE("all nodes come to know each other, though each report names only some peers")
{
    for (const int nodes : { 9, 69, 91, 430 }) {
        CAPTURE(nodes);
        Crowd crowd(nodes);
        constexpr int peersNamed = 24;
        const int wholeReports = 2 + (nodes + peersNamed - 1) / peersNamed; // Each peer names all others once.
        for (int round = 0; round < wholeReports; ++round)
            crowd.reportToAll(peersNamed);
        CHECK(crowd.fewestNodesKnown() == nodes);
    }
}
