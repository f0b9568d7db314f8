#include <catch2/catch.hpp>
#include <random>
#include <sched/FailureCounts.h>
#include <sched/PoolScheduler.h>
#include <vector>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);

// Requests of many nodes to the upstreams of a plain service. The nodes report their counts to one of them, which reports its suspicions.
class SharedCounts {
public:
    explicit SharedCounts(std::size_t nodes)
        : m_nodes(nodes)
    {
    }

    // Plays requests at a rate over all nodes; the first upstream fails a share of its requests, the others few. Returns the failures.
    int play(Duration time, double requestsPerSecond, double failingShare)
    {
        int failures = 0;
        std::exponential_distribution<double> pause(requestsPerSecond);
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(pause(m_random)));
            exchangeReports();
            const auto node = std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random);
            const int first = m_suspects.contains("s0") ? 1 : 0;
            const int upstream = std::uniform_int_distribution<int>(first, upstreams - 1)(m_random);
            const bool isFailed = std::bernoulli_distribution(upstream == 0 ? failingShare : usualFailures)(m_random);
            m_nodes[node].onResult("s" + std::to_string(upstream), isFailed, m_now);
            failures += isFailed ? 1 : 0;
        }
        return failures;
    }

    const std::set<std::string>& suspects() const { return m_suspects; }

private:
    static constexpr int upstreams = 5;
    static constexpr double usualFailures = 0.05;
    static constexpr Duration reportInterval { 500 };

    void exchangeReports()
    {
        if (m_now < m_nextReport)
            return;
        m_nextReport = m_now + reportInterval;
        for (std::size_t node = 1; node < m_nodes.size(); ++node)
            m_nodes[0].setPeer("n" + std::to_string(node), m_nodes[node].own(m_now));
        m_suspects = m_nodes[0].suspects(m_now);
    }

    std::vector<FailureCounts> m_nodes;
    std::mt19937 m_random { 1 };
    TimePoint m_now = start;
    TimePoint m_nextReport = start;
    std::set<std::string> m_suspects;
};

} // namespace

TEST_CASE("a plain upstream that fails half of its requests is found by the counts of all nodes, however few each of them sends")
{
    for (const std::size_t nodes : { 9U, 86U, 195U, 430U }) {
        CAPTURE(nodes);
        SharedCounts counts(nodes);
        counts.play(Duration(3000), 230, 0.05);
        CHECK(counts.suspects().empty());
        const int failures = counts.play(Duration(6500), 230, 0.5);
        // Without the suspicion a fifth of the requests go to the failing upstream.
        constexpr double failuresOfAll = 6.5 * 230 * (0.2 * 0.5 + 0.8 * 0.05);
        CHECK(failures < 0.65 * failuresOfAll);
        counts.play(Duration(7000), 230, 0.05);
        CHECK(counts.suspects().empty());
    }
}

TEST_CASE("a suspected upstream is granted only if no other one can take the request")
{
    PoolScheduler pool(start);
    PoolPlan plan;
    plan.versions = { { "sign-off", "app", "v1", "", 0, "", 0 } };
    for (const auto* name : { "s0", "s1" }) {
        Upstream upstream;
        upstream.name = name;
        upstream.kind = UpstreamKind::Service;
        upstream.pool = "app";
        upstream.model = "app";
        upstream.version = "v1";
        upstream.slots = 1;
        plan.upstreams.push_back(upstream);
    }
    pool.configure(plan, start);
    pool.setSuspects({ "s0" });
    SlotRequest request;
    request.route = "sign-off";
    request.deadlineMs = 1000;
    const auto grantTo = [&](uint64_t id) {
        request.id = id;
        return std::get<SlotGrant>(pool.requestSlot("n1", request, start).at(0).response).upstream;
    };
    CHECK(grantTo(1) == "s1");
    CHECK(grantTo(2) == "s0");
}
