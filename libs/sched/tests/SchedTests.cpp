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

PoolPlan planOf(std::vector<Upstream> upstreams, int queue = 100)
{
    PoolPlan plan;
    plan.upstreams = std::move(upstreams);
    plan.versions = { { "check", "reader", "v1", "", 0, "", 0 } };
    plan.organisations = { { "north", 1, "" }, { "south", 1, "" } };
    plan.limits.queuePerPool = queue;
    return plan;
}

SlotRequest askOf(uint64_t id, int rank, const std::string& organisation = "north", int64_t deadlineMs = 60000)
{
    return { id, "reader", "check", organisation, rank, 10, 10, deadlineMs, {}, {}, false };
}

PoolScheduler poolOf(const PoolPlan& plan)
{
    PoolScheduler pool(start);
    pool.configure(plan, start);
    return pool;
}

bool isGrant(const PlaceDecision& decision) { return std::holds_alternative<SlotGrant>(decision.answer); }

uint64_t idOf(const PlaceDecision& decision)
{
    return std::visit([](const auto& answer) { return answer.id; }, decision.answer);
}

RefusalReason reasonOf(const PlaceDecision& decision) { return std::get<SlotRefusal>(decision.answer).reason; }

SlotRelease doneOf(uint64_t id, DispatchOutcome outcome = DispatchOutcome::Completed) { return { id, outcome, 100, 10000, 10, 0 }; }

} // namespace

TEST_CASE("places are granted up to the slots and then in order of rank")
{
    auto pool = poolOf(planOf({ engine("e1", 2) }));
    CHECK(isGrant(pool.ask("n1", askOf(1, 1), start).at(0)));
    CHECK(isGrant(pool.ask("n1", askOf(2, 1), start).at(0)));
    CHECK(pool.ask("n1", askOf(3, 2), start).empty());
    CHECK(pool.ask("n1", askOf(4, 1), start).empty());
    CHECK(pool.ask("n1", askOf(5, 0), start).empty());
    for (const uint64_t expected : { 5U, 4U, 3U }) {
        const auto decisions = pool.done("n1", doneOf(expected == 5 ? 1 : expected + 1 == 5 ? 2 : 5), start);
        REQUIRE(decisions.size() == 1);
        CHECK(idOf(decisions[0]) == expected);
    }
}

TEST_CASE("places that the highest rank held lately are kept for it")
{
    auto pool = poolOf(planOf({ engine("e1", 16) }));
    CHECK(isGrant(pool.ask("n1", askOf(1, 0), start).at(0)));
    CHECK(isGrant(pool.ask("n1", askOf(2, 0), start).at(0)));
    pool.done("n1", doneOf(1), start);
    pool.done("n1", doneOf(2), start);
    uint64_t id = 10;
    while (!pool.ask("n1", askOf(++id, 1), start).empty()) { }
    CHECK(pool.inFlight() == 14);
    CHECK(isGrant(pool.ask("n1", askOf(3, 0), start).at(0)));
    CHECK(isGrant(pool.ask("n1", askOf(4, 0), start).at(0)));
}

TEST_CASE("nothing is kept for a rank that does not come, and not for long for one that came")
{
    auto idle = poolOf(planOf({ engine("e1", 8) }));
    uint64_t id = 0;
    while (!idle.ask("n1", askOf(++id, 1), start).empty()) { }
    CHECK(idle.inFlight() == 8);
    auto pool = poolOf(planOf({ engine("e1", 8) }));
    pool.ask("n1", askOf(1, 0), start);
    pool.done("n1", doneOf(1), start);
    for (int i = 0; i < 100; ++i)
        pool.tick(start);
    while (!pool.ask("n1", askOf(++id, 1), start).empty()) { }
    CHECK(pool.inFlight() == 8);
}

TEST_CASE("a full queue sheds the lowest rank and the youngest of it")
{
    auto pool = poolOf(planOf({ engine("e1", 1) }, 2));
    pool.ask("n1", askOf(1, 1), start);
    pool.ask("n1", askOf(2, 3), start);
    pool.ask("n1", askOf(3, 3), start);
    const auto evicted = pool.ask("n1", askOf(4, 1), start);
    REQUIRE(evicted.size() == 1);
    CHECK(idOf(evicted[0]) == 3);
    CHECK(reasonOf(evicted[0]) == RefusalReason::Evicted);
    const auto refused = pool.ask("n1", askOf(5, 4), start);
    REQUIRE(refused.size() == 1);
    CHECK(idOf(refused[0]) == 5);
    CHECK(reasonOf(refused[0]) == RefusalReason::QueueFull);
}

TEST_CASE("one large organisation can't fill the queue")
{
    auto pool = poolOf(planOf({ engine("e1", 1) }, 4));
    pool.ask("n1", askOf(1, 1), start);
    for (uint64_t id = 2; id <= 5; ++id)
        pool.ask("n1", askOf(id, 1, "north"), start);
    const auto decisions = pool.ask("n1", askOf(6, 1, "south"), start);
    REQUIRE(decisions.size() == 1);
    CHECK(idOf(decisions[0]) == 5);
}

TEST_CASE("grants alternate between organisations with equal weight")
{
    auto pool = poolOf(planOf({ engine("e1", 1) }));
    pool.ask("n1", askOf(1, 1), start);
    for (uint64_t id = 2; id <= 7; ++id)
        pool.ask("n1", askOf(id, 1, "north"), start);
    for (uint64_t id = 8; id <= 10; ++id)
        pool.ask("n1", askOf(id, 1, "south"), start);
    uint64_t running = 1;
    int south = 0;
    for (int round = 0; round < 6; ++round) {
        const auto decisions = pool.done("n1", doneOf(running), start);
        REQUIRE(decisions.size() == 1);
        running = idOf(decisions[0]);
        south += running >= 8;
    }
    CHECK(south == 3);
}

TEST_CASE("an ask that can't finish before its deadline is refused before it costs prefill")
{
    auto pool = poolOf(planOf({ engine("e1", 1) }));
    auto ask = askOf(1, 0, "north", 100);
    ask.outputTokens = 1000;
    const auto decisions = pool.ask("n1", ask, start);
    REQUIRE(decisions.size() == 1);
    CHECK(reasonOf(decisions[0]) == RefusalReason::DeadlineTooShort);
}

TEST_CASE("a waiter whose time runs out is refused at the next tick")
{
    auto pool = poolOf(planOf({ engine("e1", 1) }));
    pool.ask("n1", askOf(1, 0), start);
    pool.ask("n1", askOf(2, 0, "north", 1000), start);
    CHECK(pool.tick(start + Duration(500)).empty());
    const auto decisions = pool.tick(start + Duration(990));
    REQUIRE(decisions.size() == 1);
    CHECK(idOf(decisions[0]) == 2);
    CHECK(pool.waiting() == 0);
}

TEST_CASE("asking again changes nothing and repeats a grant")
{
    auto pool = poolOf(planOf({ engine("e1", 1) }));
    const auto first = pool.ask("n1", askOf(1, 0), start);
    const auto again = pool.ask("n1", askOf(1, 0), start);
    CHECK(first == again);
    CHECK(pool.inFlight() == 1);
    pool.ask("n1", askOf(2, 0), start);
    pool.ask("n1", askOf(2, 0), start);
    CHECK(pool.waiting() == 1);
}

TEST_CASE("a lost node's places and asks are freed")
{
    auto pool = poolOf(planOf({ engine("e1", 1) }));
    pool.ask("n1", askOf(1, 0), start);
    pool.ask("n1", askOf(2, 0), start);
    pool.ask("n2", askOf(1, 0), start);
    const auto decisions = pool.nodeLost("n1", start);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].node == "n2");
    CHECK(pool.waiting() == 0);
}

TEST_CASE("a new home grants nothing until running dispatches could be reported")
{
    PoolScheduler pool(start + Duration(1000));
    pool.configure(planOf({ engine("e1", 1) }), start);
    CHECK(pool.ask("n1", askOf(1, 0), start).empty());
    pool.hold("n2", { askOf(9, 1), "e1", "v1", "" }, start);
    CHECK(pool.tick(start + Duration(1000)).empty());
    const auto decisions = pool.done("n2", doneOf(9), start + Duration(1100));
    REQUIRE(decisions.size() == 1);
    CHECK(idOf(decisions[0]) == 1);
}

TEST_CASE("a place that nobody returns expires after its deadline")
{
    auto pool = poolOf(planOf({ engine("e1", 1) }));
    pool.ask("n1", askOf(1, 0, "north", 1000), start);
    pool.tick(start + Duration(5900));
    CHECK(pool.inFlight() == 1);
    pool.tick(start + Duration(6100));
    CHECK(pool.inFlight() == 0);
}

TEST_CASE("an upstream that fails loses work and regains it gradually")
{
    auto pool = poolOf(planOf({ engine("e1", 8) }));
    for (uint64_t id = 1; id <= 3; ++id)
        pool.ask("n1", askOf(id, 0), start);
    for (uint64_t id = 1; id <= 3; ++id)
        pool.done("n1", doneOf(id, DispatchOutcome::Failed), start);
    CHECK(pool.ask("n1", askOf(10, 0), start).empty());
    CHECK(pool.tick(start + Duration(2100)).size() == 1);
    CHECK(pool.ask("n1", askOf(11, 0), start + Duration(2100)).empty());
    pool.done("n1", doneOf(10), start + Duration(2200));
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

TEST_CASE("an unreachable upstream is excluded by the node that found it so")
{
    auto pool = poolOf(planOf({ engine("e1", 4), engine("e2", 4) }));
    auto ask = askOf(1, 0);
    ask.excluded = { "e1" };
    const auto decisions = pool.ask("n1", ask, start);
    CHECK(std::get<SlotGrant>(decisions.at(0).answer).upstream == "e2");
    auto second = askOf(2, 0);
    second.excluded = { "e1", "e2" };
    CHECK(reasonOf(pool.ask("n1", second, start).at(0)) == RefusalReason::NoUpstream);
}

TEST_CASE("a leaving upstream gets no new work")
{
    auto plan = planOf({ engine("e1", 4), engine("e2", 4) });
    auto pool = poolOf(plan);
    plan.upstreams[0].leaving = true;
    pool.configure(plan, start);
    for (uint64_t id = 1; id <= 3; ++id)
        CHECK(std::get<SlotGrant>(pool.ask("n1", askOf(id, 0), start).at(0).answer).upstream == "e2");
}

TEST_CASE("a candidate version never gets more than its share, also when it is the only one free")
{
    auto plan = planOf({ engine("e1", 400), engine("e2", 400, "v2") });
    plan.versions[0] = { "check", "reader", "v1", "v2", 0.05, "r1", 7 };
    auto pool = poolOf(plan);
    int candidate = 0;
    for (uint64_t id = 1; id <= 200; ++id) {
        const auto grant = std::get<SlotGrant>(pool.ask("n1", askOf(id, 0), start).at(0).answer);
        candidate += grant.version == "v2";
        CHECK(candidate <= 0.05 * static_cast<double>(id));
    }
    CHECK(candidate == 10);
}

TEST_CASE("a stopped rollout gets no request at all, whatever its share")
{
    auto plan = planOf({ engine("e1", 400), engine("e2", 400, "v2") });
    plan.versions[0] = { "check", "reader", "v1", "v2", 1, "r1", 7 };
    auto pool = poolOf(plan);
    CHECK(std::get<SlotGrant>(pool.ask("n1", askOf(1, 0), start).at(0).answer).version == "v2");
    pool.stopRollout("r1");
    for (uint64_t id = 2; id <= 20; ++id)
        CHECK(std::get<SlotGrant>(pool.ask("n1", askOf(id, 0), start).at(0).answer).version == "v1");
}

TEST_CASE("a prompt goes back to the upstream that holds its prefix, until that is loaded")
{
    auto pool = poolOf(planOf({ engine("e1", 8), engine("e2", 8) }));
    const auto prefixes = prefixMarks(std::string(16384, 'x'));
    std::map<std::string, int> counts;
    for (uint64_t id = 1; id <= 15; ++id) {
        auto ask = askOf(id, 0);
        ask.promptTokens = 4097;
        ask.prefixes = prefixes;
        const auto decisions = pool.ask("n1", ask, start);
        const auto& upstream = std::get<SlotGrant>(decisions.at(0).answer).upstream;
        if (id == 2)
            CHECK(counts.contains(upstream));
        ++counts[upstream];
    }
    CHECK(counts["e1"] >= 7);
    CHECK(counts["e2"] >= 7);
}

TEST_CASE("a stale load report is compared with the load at its time")
{
    auto pool = poolOf(planOf({ engine("e1", 4) }));
    for (uint64_t id = 1; id <= 3; ++id)
        pool.ask("n1", askOf(id, 0), start);
    pool.tick(start + Duration(100));
    for (uint64_t id = 1; id <= 3; ++id)
        pool.done("n1", doneOf(id), start + Duration(200));
    pool.tick(start + Duration(200));
    pool.report("e1", { 3, 0, Duration(4900), "" }, start + Duration(5000));
    CHECK(isGrant(pool.ask("n1", askOf(9, 0), start + Duration(5000)).at(0)));
}

TEST_CASE("load that another home put on an upstream counts")
{
    auto pool = poolOf(planOf({ engine("e1", 4) }));
    pool.report("e1", { 4, 3, Duration(0), "" }, start);
    CHECK(pool.ask("n1", askOf(1, 0), start).empty());
}

TEST_CASE("cache events remove evicted prefixes and a gap forgets the older half")
{
    PrefixHistory history;
    const auto prefixes = prefixMarks(std::string(4096, 'a'));
    REQUIRE(prefixes.size() == 5);
    history.onDispatch(prefixes);
    CHECK(history.cachedTokens(prefixes) == 1024);
    history.onEvent(1, false, prefixes[4].hash);
    CHECK(history.cachedTokens(prefixes) == 512);
    history.onEvent(9, true, 1);
    CHECK(history.size() == 2);
    CHECK(history.nextEvent() == 10);
}

TEST_CASE("the work for an ask and for a place that comes free does not grow with the number of full engines")
{
    constexpr int engines = 120;
    constexpr int slots = 2;
    constexpr int ranks = 4;
    std::vector<Upstream> upstreams;
    upstreams.reserve(engines);
    for (int i = 0; i < engines; ++i)
        upstreams.push_back(engine("e" + std::to_string(i), slots));
    auto pool = poolOf(planOf(std::move(upstreams), 1000));
    uint64_t id = 0;
    std::deque<uint64_t> running;
    for (int i = 0; i < engines * slots; ++i) {
        REQUIRE(isGrant(pool.ask("n1", askOf(++id, 0), start).at(0)));
        running.push_back(id);
    }
    for (int i = 0; i < 200; ++i)
        pool.ask("n1", askOf(++id, i % ranks), start);
    const auto before = pool.examined();
    constexpr int rounds = 60; // As many as there are asks of the highest rank, which keeps its places.
    for (int i = 0; i < rounds; ++i) {
        CHECK(pool.ask("n1", askOf(++id, i % ranks), start).empty());
        const auto granted = pool.done("n1", doneOf(running.front(), DispatchOutcome::Cancelled), start);
        running.pop_front();
        REQUIRE(granted.size() == 1);
        running.push_back(idOf(granted[0]));
    }
    constexpr int looksPerRound = 2 * (ranks + 1);
    CHECK(pool.examined() - before <= static_cast<uint64_t>(rounds) * looksPerRound);
}
