#include <catch2/catch.hpp>
#include <deque>
#include <sched/PoolScheduler.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);

Upstream engine(const std::string& name, int slots, const std::string& version = "v1")
{
    Upstream upstream;
    upstream.name = name;
    upstream.pool = "reader";
    upstream.model = "reader";
    upstream.version = version;
    upstream.slots = slots;
    return upstream;
}

PoolPlan planWith(std::vector<Upstream> upstreams, int queue = 100)
{
    PoolPlan plan;
    plan.upstreams = std::move(upstreams);
    plan.versions = { { "check", "reader", "v1", "", 0, "", 0 } };
    plan.organisations = { { "north", 1, "" }, { "south", 1, "" } };
    plan.limits.queuePerPool = queue;
    return plan;
}

SlotRequest requestOf(uint64_t id, int rank, const std::string& organisation = "north", int64_t deadlineMs = 60000)
{
    return { id, "reader", "check", organisation, rank, 10, 10, deadlineMs, {}, {}, false };
}

PoolScheduler poolWith(const PoolPlan& plan)
{
    PoolScheduler pool(start);
    pool.configure(plan, start);
    return pool;
}

bool isGrant(const SlotDecision& decision) { return std::holds_alternative<SlotGrant>(decision.response); }

uint64_t idOf(const SlotDecision& decision)
{
    return std::visit([](const auto& response) { return response.id; }, decision.response);
}

RefusalReason reasonOf(const SlotDecision& decision) { return std::get<SlotRefusal>(decision.response).reason; }

SlotRelease releaseOf(uint64_t id, DispatchOutcome outcome = DispatchOutcome::Completed) { return { id, outcome, 100, 10000, 10, 0 }; }

} // namespace

TEST_CASE("slots are granted up to their number, and freed ones in order of rank")
{
    auto pool = poolWith(planWith({ engine("e1", 2) }));
    CHECK(isGrant(pool.requestSlot("n1", requestOf(1, 1), start).at(0)));
    CHECK(isGrant(pool.requestSlot("n1", requestOf(2, 1), start).at(0)));
    CHECK(pool.requestSlot("n1", requestOf(3, 2), start).empty());
    CHECK(pool.requestSlot("n1", requestOf(4, 1), start).empty());
    CHECK(pool.requestSlot("n1", requestOf(5, 0), start).empty());
    for (const uint64_t expected : { 5U, 4U, 3U }) {
        const auto decisions = pool.releaseSlot("n1", releaseOf(expected == 5 ? 1 : expected + 1 == 5 ? 2 : 5), start);
        REQUIRE(decisions.size() == 1);
        CHECK(idOf(decisions[0]) == expected);
    }
}

TEST_CASE("slots that the highest rank used recently are reserved for it")
{
    auto pool = poolWith(planWith({ engine("e1", 16) }));
    CHECK(isGrant(pool.requestSlot("n1", requestOf(1, 0), start).at(0)));
    CHECK(isGrant(pool.requestSlot("n1", requestOf(2, 0), start).at(0)));
    pool.releaseSlot("n1", releaseOf(1), start);
    pool.releaseSlot("n1", releaseOf(2), start);
    uint64_t id = 10;
    while (!pool.requestSlot("n1", requestOf(++id, 1), start).empty()) { }
    CHECK(pool.inFlight() == 14);
    CHECK(isGrant(pool.requestSlot("n1", requestOf(3, 0), start).at(0)));
    CHECK(isGrant(pool.requestSlot("n1", requestOf(4, 0), start).at(0)));
}

TEST_CASE("nothing is reserved for a rank without requests, and reserved slots are given up after a while")
{
    auto idle = poolWith(planWith({ engine("e1", 8) }));
    uint64_t id = 0;
    while (!idle.requestSlot("n1", requestOf(++id, 1), start).empty()) { }
    CHECK(idle.inFlight() == 8);
    auto pool = poolWith(planWith({ engine("e1", 8) }));
    pool.requestSlot("n1", requestOf(1, 0), start);
    pool.releaseSlot("n1", releaseOf(1), start);
    for (int i = 0; i < 100; ++i)
        pool.tick(start);
    while (!pool.requestSlot("n1", requestOf(++id, 1), start).empty()) { }
    CHECK(pool.inFlight() == 8);
}

TEST_CASE("a full queue sheds the lowest rank first, and of it the latest arrival")
{
    auto pool = poolWith(planWith({ engine("e1", 1) }, 2));
    pool.requestSlot("n1", requestOf(1, 1), start);
    pool.requestSlot("n1", requestOf(2, 3), start);
    pool.requestSlot("n1", requestOf(3, 3), start);
    const auto evicted = pool.requestSlot("n1", requestOf(4, 1), start);
    REQUIRE(evicted.size() == 1);
    CHECK(idOf(evicted[0]) == 3);
    CHECK(reasonOf(evicted[0]) == RefusalReason::Evicted);
    const auto refused = pool.requestSlot("n1", requestOf(5, 4), start);
    REQUIRE(refused.size() == 1);
    CHECK(idOf(refused[0]) == 5);
    CHECK(reasonOf(refused[0]) == RefusalReason::QueueFull);
}

TEST_CASE("one large organisation can't fill the queue")
{
    auto pool = poolWith(planWith({ engine("e1", 1) }, 4));
    pool.requestSlot("n1", requestOf(1, 1), start);
    for (uint64_t id = 2; id <= 5; ++id)
        pool.requestSlot("n1", requestOf(id, 1, "north"), start);
    const auto decisions = pool.requestSlot("n1", requestOf(6, 1, "south"), start);
    REQUIRE(decisions.size() == 1);
    CHECK(idOf(decisions[0]) == 5);
}

TEST_CASE("grants alternate between organisations with equal weight")
{
    auto pool = poolWith(planWith({ engine("e1", 1) }));
    pool.requestSlot("n1", requestOf(1, 1), start);
    for (uint64_t id = 2; id <= 7; ++id)
        pool.requestSlot("n1", requestOf(id, 1, "north"), start);
    for (uint64_t id = 8; id <= 10; ++id)
        pool.requestSlot("n1", requestOf(id, 1, "south"), start);
    uint64_t running = 1;
    int south = 0;
    for (int round = 0; round < 6; ++round) {
        const auto decisions = pool.releaseSlot("n1", releaseOf(running), start);
        REQUIRE(decisions.size() == 1);
        running = idOf(decisions[0]);
        south += running >= 8;
    }
    CHECK(south == 3);
}

TEST_CASE("a request that can't finish before its deadline is refused before it costs prefill")
{
    auto pool = poolWith(planWith({ engine("e1", 1) }));
    auto request = requestOf(1, 0, "north", 100);
    request.outputTokens = 1000;
    const auto decisions = pool.requestSlot("n1", request, start);
    REQUIRE(decisions.size() == 1);
    CHECK(reasonOf(decisions[0]) == RefusalReason::DeadlineTooShort);
}

TEST_CASE("a queued request that can no longer meet its deadline is refused at the next tick")
{
    auto pool = poolWith(planWith({ engine("e1", 1) }));
    pool.requestSlot("n1", requestOf(1, 0), start);
    pool.requestSlot("n1", requestOf(2, 0, "north", 1000), start);
    CHECK(pool.tick(start + Duration(500)).empty());
    const auto decisions = pool.tick(start + Duration(990));
    REQUIRE(decisions.size() == 1);
    CHECK(idOf(decisions[0]) == 2);
    CHECK(pool.waiting() == 0);
}

TEST_CASE("a resent slot request changes nothing and gets the same grant")
{
    auto pool = poolWith(planWith({ engine("e1", 1) }));
    const auto first = pool.requestSlot("n1", requestOf(1, 0), start);
    const auto again = pool.requestSlot("n1", requestOf(1, 0), start);
    CHECK(first == again);
    CHECK(pool.inFlight() == 1);
    pool.requestSlot("n1", requestOf(2, 0), start);
    pool.requestSlot("n1", requestOf(2, 0), start);
    CHECK(pool.waiting() == 1);
}

TEST_CASE("a lost node's slots are freed and its queued requests are dropped")
{
    auto pool = poolWith(planWith({ engine("e1", 1) }));
    pool.requestSlot("n1", requestOf(1, 0), start);
    pool.requestSlot("n1", requestOf(2, 0), start);
    pool.requestSlot("n2", requestOf(1, 0), start);
    const auto decisions = pool.removeNode("n1", start);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].node == "n2");
    CHECK(pool.waiting() == 0);
}

TEST_CASE("a new home node grants nothing until the nodes could report their running requests")
{
    PoolScheduler pool(start + Duration(1000));
    pool.configure(planWith({ engine("e1", 1) }), start);
    CHECK(pool.requestSlot("n1", requestOf(1, 0), start).empty());
    pool.restoreSlot("n2", { requestOf(9, 1), "e1", "v1", "" }, start);
    CHECK(pool.tick(start + Duration(1000)).empty());
    const auto decisions = pool.releaseSlot("n2", releaseOf(9), start + Duration(1100));
    REQUIRE(decisions.size() == 1);
    CHECK(idOf(decisions[0]) == 1);
}

TEST_CASE("a slot that is not released expires after its deadline")
{
    auto pool = poolWith(planWith({ engine("e1", 1) }));
    pool.requestSlot("n1", requestOf(1, 0, "north", 1000), start);
    pool.tick(start + Duration(5900));
    CHECK(pool.inFlight() == 1);
    pool.tick(start + Duration(6100));
    CHECK(pool.inFlight() == 0);
}

TEST_CASE("an upstream that fails repeatedly is blocked and then recovers gradually")
{
    auto pool = poolWith(planWith({ engine("e1", 8) }));
    for (uint64_t id = 1; id <= 3; ++id)
        pool.requestSlot("n1", requestOf(id, 0), start);
    for (uint64_t id = 1; id <= 3; ++id)
        pool.releaseSlot("n1", releaseOf(id, DispatchOutcome::Failed), start);
    CHECK(pool.requestSlot("n1", requestOf(10, 0), start).empty());
    CHECK(pool.tick(start + Duration(2100)).size() == 1);
    CHECK(pool.requestSlot("n1", requestOf(11, 0), start + Duration(2100)).empty());
    pool.releaseSlot("n1", releaseOf(10), start + Duration(2200));
    CHECK(pool.inFlight() == 1);
    CHECK(pool.summaries(start + Duration(2200)).at(0).limit == 2);
}

TEST_CASE("slow tokens lower the limit and fast ones raise it, with a dead band between")
{
    AdmissionLimit limit(16, {});
    auto now = start;
    const auto feed = [&](int microseconds) {
        for (int i = 0; i < 40; ++i) {
            now += Duration(600);
            limit.onSample(Duration(100), std::chrono::microseconds(microseconds), limit.value(now), now);
        }
    };
    feed(40000);
    CHECK(limit.value(now) == 4);
    feed(23000);
    const auto middle = limit.value(now);
    feed(23000);
    CHECK(limit.value(now) == middle);
    feed(10000);
    CHECK(limit.value(now) == 16);
}

TEST_CASE("an upstream that the requesting node could not reach is not granted to it")
{
    auto pool = poolWith(planWith({ engine("e1", 4), engine("e2", 4) }));
    auto request = requestOf(1, 0);
    request.excluded = { "e1" };
    const auto decisions = pool.requestSlot("n1", request, start);
    CHECK(std::get<SlotGrant>(decisions.at(0).response).upstream == "e2");
    auto second = requestOf(2, 0);
    second.excluded = { "e1", "e2" };
    CHECK(reasonOf(pool.requestSlot("n1", second, start).at(0)) == RefusalReason::NoUpstream);
}

TEST_CASE("a leaving upstream gets no new requests")
{
    auto plan = planWith({ engine("e1", 4), engine("e2", 4) });
    auto pool = poolWith(plan);
    plan.upstreams[0].leaving = true;
    pool.configure(plan, start);
    for (uint64_t id = 1; id <= 3; ++id)
        CHECK(std::get<SlotGrant>(pool.requestSlot("n1", requestOf(id, 0), start).at(0).response).upstream == "e2");
}

TEST_CASE("a candidate version never gets more than its share of the granted slots, also with few requests")
{
    auto plan = planWith({ engine("e1", 400), engine("e2", 400, "v2") });
    plan.versions[0] = { "check", "reader", "v1", "v2", 0.05, "r1", 7 };
    auto pool = poolWith(plan);
    int candidate = 0;
    for (uint64_t id = 1; id <= 200; ++id) {
        const auto grant = std::get<SlotGrant>(pool.requestSlot("n1", requestOf(id, 0), start).at(0).response);
        candidate += grant.version == "v2";
        CHECK(candidate <= 0.05 * static_cast<double>(id));
    }
    CHECK(candidate == 10);
}

TEST_CASE("a stopped rollout gets no request at all, whatever its share")
{
    auto plan = planWith({ engine("e1", 400), engine("e2", 400, "v2") });
    plan.versions[0] = { "check", "reader", "v1", "v2", 1, "r1", 7 };
    auto pool = poolWith(plan);
    CHECK(std::get<SlotGrant>(pool.requestSlot("n1", requestOf(1, 0), start).at(0).response).version == "v2");
    pool.stopRollout("r1");
    for (uint64_t id = 2; id <= 20; ++id)
        CHECK(std::get<SlotGrant>(pool.requestSlot("n1", requestOf(id, 0), start).at(0).response).version == "v1");
}

TEST_CASE("a prompt goes to the upstream that has its prefix cached, until that is loaded")
{
    auto pool = poolWith(planWith({ engine("e1", 8), engine("e2", 8) }));
    const auto prefixes = promptPrefixes(std::string(16384, 'x'));
    std::map<std::string, int> counts;
    for (uint64_t id = 1; id <= 15; ++id) {
        auto request = requestOf(id, 0);
        request.promptTokens = 4097;
        request.prefixes = prefixes;
        const auto decisions = pool.requestSlot("n1", request, start);
        const auto& upstream = std::get<SlotGrant>(decisions.at(0).response).upstream;
        if (id == 2)
            CHECK(counts.contains(upstream));
        ++counts[upstream];
    }
    CHECK(counts["e1"] >= 7);
    CHECK(counts["e2"] >= 7);
}

TEST_CASE("a stale load report is compared with the requests in flight at its time")
{
    auto pool = poolWith(planWith({ engine("e1", 4) }));
    for (uint64_t id = 1; id <= 3; ++id)
        pool.requestSlot("n1", requestOf(id, 0), start);
    pool.tick(start + Duration(100));
    for (uint64_t id = 1; id <= 3; ++id)
        pool.releaseSlot("n1", releaseOf(id), start + Duration(200));
    pool.tick(start + Duration(200));
    pool.onLoadReport("e1", { 3, 0, Duration(4900), "" }, start + Duration(5000));
    CHECK(isGrant(pool.requestSlot("n1", requestOf(9, 0), start + Duration(5000)).at(0)));
}

TEST_CASE("requests of other schedulers, as reported by the upstream, count against its limit")
{
    auto pool = poolWith(planWith({ engine("e1", 4) }));
    pool.onLoadReport("e1", { 4, 3, Duration(0), "" }, start);
    CHECK(pool.requestSlot("n1", requestOf(1, 0), start).empty());
}

TEST_CASE("an eviction event removes a prefix, and a gap in the events discards the older half")
{
    PrefixCacheEstimate cache;
    const auto prefixes = promptPrefixes(std::string(4096, 'a'));
    REQUIRE(prefixes.size() == 5);
    cache.onDispatch(prefixes);
    CHECK(cache.cachedTokens(prefixes) == 1024);
    cache.onEvent(1, false, prefixes[4].hash);
    CHECK(cache.cachedTokens(prefixes) == 512);
    cache.onEvent(9, true, 1);
    CHECK(cache.size() == 2);
    CHECK(cache.nextEvent() == 10);
}

TEST_CASE("the cost of a slot request and of a release does not grow with the number of full engines")
{
    constexpr int engines = 120;
    constexpr int slots = 2;
    constexpr int ranks = 4;
    std::vector<Upstream> upstreams;
    upstreams.reserve(engines);
    for (int i = 0; i < engines; ++i)
        upstreams.push_back(engine("e" + std::to_string(i), slots));
    auto pool = poolWith(planWith(std::move(upstreams), 1000));
    uint64_t id = 0;
    std::deque<uint64_t> running;
    for (int i = 0; i < engines * slots; ++i) {
        REQUIRE(isGrant(pool.requestSlot("n1", requestOf(++id, 0), start).at(0)));
        running.push_back(id);
    }
    for (int i = 0; i < 200; ++i)
        pool.requestSlot("n1", requestOf(++id, i % ranks), start);
    const auto before = pool.upstreamChecks();
    // No more than the queued requests of the highest rank. Its recently used slots are reserved, so lower ranks get none of them.
    constexpr int rounds = 60;
    for (int i = 0; i < rounds; ++i) {
        CHECK(pool.requestSlot("n1", requestOf(++id, i % ranks), start).empty());
        const auto granted = pool.releaseSlot("n1", releaseOf(running.front(), DispatchOutcome::Cancelled), start);
        running.pop_front();
        REQUIRE(granted.size() == 1);
        running.push_back(idOf(granted[0]));
    }
    constexpr int checksPerRound = 2 * (ranks + 1);
    CHECK(pool.upstreamChecks() - before <= static_cast<uint64_t>(rounds) * checksPerRound);
}
