#include <algorithm>
#include <catch2/catch.hpp>
#include <gateway/PeerView.h>
#include <gateway/SourceReadPolicy.h>
#include <gateway/StateFetchPlan.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);

constexpr Duration step { 10 };
constexpr double bytesPerMsOfMbit = 125;
constexpr double strongLinkBytesPerMs = 200 * bytesPerMsOfMbit;
constexpr int strongNodesPerDataCentre = 3;

struct Fleet {
    int nodes = 0;
    int dataCentres = 0;
    double weakLinkMbit = 20;
};

// Plays how a routing spreads over the nodes from those that watch its source, with a driven clock. Transfers share the sender's link.
class RoutingSpread {
public:
    RoutingSpread(const Fleet& fleet, double bytes, const StateFetchPolicy& policy, unsigned seed = 1)
        : m_fleet(fleet)
        , m_bytes(bytes)
        , m_policy(policy)
        , m_random(seed)
    {
        const SourceReadPolicy readPolicy;
        for (int index = 0; index < fleet.nodes; ++index) {
            const bool isWatcher = readPolicy.shouldWatchRouting(index, index / fleet.dataCentres, Duration(0));
            m_nodes.emplace_back(policy);
            m_nodes.back().hasRouting = isWatcher;
        }
    }

    // From a moment on, some nodes neither send nor receive, though the others still count them as live.
    void freeze(double share, Duration at)
    {
        m_frozenShare = share;
        m_freezeAt = at;
    }

    // Returns the time until all nodes that are not frozen have the routing, or the limit.
    Duration timeUntilInForce(Duration limit)
    {
        Duration now { 0 };
        while (now < limit && !isInForce()) {
            if (now == m_freezeAt)
                freezeNodes();
            transfer(now);
            startTransfers(now);
            now += step;
        }
        return now;
    }

private:
    struct Transfer {
        std::size_t source = 0;
        double missingBytes = 0;
        Duration start { 0 };
    };
    struct Node {
        explicit Node(const StateFetchPolicy& policy)
            : plan(policy)
        {
        }
        StateFetchPlan plan;
        std::vector<Transfer> transfers;
        bool hasRouting = false;
        bool isFrozen = false;
        Duration nextAttempt { 0 };
        int sending = 0;
    };

    bool isInForce() const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [](const Node& node) { return node.hasRouting || node.isFrozen; });
    }

    double linkOf(std::size_t index) const
    {
        const bool isStrong = static_cast<int>(index) < strongNodesPerDataCentre * m_fleet.dataCentres;
        return isStrong ? strongLinkBytesPerMs : m_fleet.weakLinkMbit * bytesPerMsOfMbit;
    }

    void freezeNodes()
    {
        std::bernoulli_distribution isChosen(m_frozenShare);
        for (auto& node : m_nodes)
            node.isFrozen = isChosen(m_random);
    }

    void transfer(Duration now)
    {
        for (auto& node : m_nodes) {
            if (!node.isFrozen)
                std::erase_if(node.transfers, [&](Transfer& transfer) { return hasEnded(node, transfer, now); });
        }
    }

    bool hasEnded(Node& node, Transfer& transfer, Duration now)
    {
        auto& source = m_nodes[transfer.source];
        const auto address = std::to_string(transfer.source);
        if (!source.isFrozen) {
            transfer.missingBytes -= static_cast<double>(step.count()) * linkOf(transfer.source) / std::max(1, source.sending);
            node.plan.onProgress(address, start + now);
        }
        const bool isTimedOut = now - transfer.start >= m_policy.timeout;
        if (transfer.missingBytes > 0 && !isTimedOut && !node.hasRouting)
            return false;
        const bool isWhole = transfer.missingBytes <= 0;
        node.plan.onEnd(address, isTimedOut && !isWhole, start + now);
        node.hasRouting = node.hasRouting || isWhole;
        node.nextAttempt = now + m_policy.retryInterval;
        --source.sending;
        return true;
    }

    void startTransfers(Duration now)
    {
        std::vector<std::size_t> holders;
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (m_nodes[index].hasRouting)
                holders.push_back(index);
        }
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            auto& node = m_nodes[index];
            if (!node.hasRouting && !node.isFrozen && now >= node.nextAttempt)
                attempt(index, holders, now);
        }
    }

    void attempt(std::size_t index, const std::vector<std::size_t>& holders, Duration now)
    {
        auto& node = m_nodes[index];
        std::vector<StateHolder> candidates;
        for (const auto holder : holders) {
            const bool isNear = static_cast<int>(holder) % m_fleet.dataCentres == static_cast<int>(index) % m_fleet.dataCentres;
            candidates.push_back({ std::to_string(holder), isNear });
        }
        node.nextAttempt = now + m_policy.retryInterval;
        const auto chosen = node.plan.start(candidates, now, start + now, m_random);
        if (!chosen)
            return;
        const auto source = static_cast<std::size_t>(std::stoi(*chosen));
        if (m_nodes[source].sending >= m_policy.responseLimit.maxConcurrent && !m_nodes[source].isFrozen) {
            node.plan.onEnd(*chosen, false, start + now);
            return;
        }
        ++m_nodes[source].sending;
        node.transfers.push_back({ source, m_bytes, now });
    }

    Fleet m_fleet;
    double m_bytes;
    StateFetchPolicy m_policy;
    std::vector<Node> m_nodes;
    std::minstd_rand m_random;
    double m_frozenShare = 0;
    Duration m_freezeAt { -1 };
};

NodeReport reportWith(int64_t routingVersion, const std::string& dataCentre)
{
    NodeReport report;
    report.sequence = 1;
    report.routingVersion = routingVersion;
    report.dataCentre = dataCentre;
    return report;
}

} // namespace

TEST_CASE("a routing of 1,000 routes reaches all nodes in half of the time in which it must be in force")
{
    constexpr Duration half { 2000 };
    constexpr double bytes = 400000;
    CHECK(RoutingSpread({ 69, 3 }, bytes, {}).timeUntilInForce(Duration(20000)) <= half);
    CHECK(RoutingSpread({ 195, 5 }, bytes, {}).timeUntilInForce(Duration(20000)) <= half);
    CHECK(RoutingSpread({ 430, 14 }, bytes, {}).timeUntilInForce(Duration(20000)) <= half);
}

TEST_CASE("without a limit on concurrent copies, fetches of a large routing share slow links until they time out")
{
    constexpr Duration bound { 4000 };
    constexpr double bytes = 1000000;
    StateFetchPolicy unlimited;
    unlimited.responseLimit.maxConcurrent = 1000;
    const auto limitedTime = RoutingSpread({ 195, 5 }, bytes, {}).timeUntilInForce(Duration(20000));
    const auto unlimitedTime = RoutingSpread({ 195, 5 }, bytes, unlimited).timeUntilInForce(Duration(20000));
    CHECK(limitedTime <= bound);
    CHECK(unlimitedTime > limitedTime);
}

// CONFIG: a copy requested from a node that had frozen held up the next one for half of the time in which a routing must be in force.
TEST_CASE("a routing is in force in time although nodes that have it stop responding as it spreads")
{
    constexpr Duration applyTime { 3000 };
    constexpr Duration reportTime { 500 }; // Longest time until a node learns of the version.
    constexpr double bytes = 297000;
    constexpr unsigned seeds = 20;
    const Fleet fleet { 139, 3, 10 };
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        RoutingSpread spread(fleet, bytes, {}, seed);
        spread.freeze(0.3, Duration(300));
        CAPTURE(seed);
        CHECK(spread.timeUntilInForce(Duration(20000)) <= applyTime - reportTime);
    }
}

TEST_CASE("a node asks its own data centre first, then the others, and at last reads the source")
{
    const StateFetchPolicy policy;
    std::minstd_rand random(1);
    const std::vector<StateHolder> remote { { "127.0.0.1:2", false } };
    const std::vector<StateHolder> both { { "127.0.0.1:2", false }, { "127.0.0.1:3", true } };
    CHECK_FALSE(policy.choosePeer({}, Duration(9000), random));
    CHECK_FALSE(policy.choosePeer(remote, Duration(0), random));
    CHECK(policy.choosePeer(remote, policy.ownDataCentreOnly, random) == "127.0.0.1:2");
    CHECK(policy.choosePeer(both, policy.ownDataCentreOnly, random) == "127.0.0.1:3");
    CHECK_FALSE(policy.shouldReadSource(policy.ownDataCentreOnly));
    CHECK(policy.shouldReadSource(policy.sourceDelay));
}

TEST_CASE("only the live peers with the newest routing are asked for it")
{
    PeerView view({});
    view.setOwnNode({ "127.0.0.1:1", "honda", 0 });
    view.onReport("127.0.0.1:2", reportWith(5, "honda"), start);
    view.onReport("127.0.0.1:3", reportWith(7, "mompox"), start + Duration(2000));
    view.onReport("127.0.0.1:4", reportWith(7, "honda"), start + Duration(2000));
    const std::vector<StateHolder> expected { { "127.0.0.1:3", false }, { "127.0.0.1:4", true } };
    CHECK(view.newestRoutingHolders(4, "honda") == expected);
    CHECK(view.newestRoutingHolders(7, "honda").empty());
    view.expire(start + Duration(3600));
    CHECK(view.newestRoutingHolders(4, "honda").empty());
}
