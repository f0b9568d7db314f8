#include <catch2/catch.hpp>
#include <sched/InFlightByNode.h>
#include <sched/PoolQueue.h>
#include <sched/SpeedEstimate.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);

Waiter waiterOf(uint64_t id, int rank, Duration age, int outputTokens = 100)
{
    SlotRequest request { id, "reader", "check", "north", rank, 10, outputTokens, 12000, {}, {}, false };
    request.firstTokenTargetMs = 400;
    request.startTimeoutMs = 3200;
    return { "n1", request, start - age, start - age + Duration(12000), 0 };
}

std::vector<uint64_t> takeOrder(PoolQueue& queue)
{
    std::vector<uint64_t> ids;
    queue.takeInOrder([&](const Waiter& waiter) {
        ids.push_back(waiter.request.id);
        return WaitingQueue::VisitResult::Take;
    });
    return ids;
}

PoolQueue equalWeightQueue()
{
    return PoolQueue([](const std::string&) { return 1.0; });
}

} // namespace

TEST_CASE("within a rank, requests that can still start in time are served before late ones")
{
    auto waiting = equalWeightQueue();
    for (uint64_t id = 1; id <= 3; ++id)
        waiting.push(waiterOf(id, 0, Duration(900)));
    for (uint64_t id = 4; id <= 5; ++id)
        waiting.push(waiterOf(id, 0, Duration(50)));
    waiting.push(waiterOf(6, 1, Duration(50)));
    waiting.update(start);
    CHECK(takeOrder(waiting) == std::vector<uint64_t> { 4, 5, 1, 2, 3, 6 });
    CHECK(waiting.size() == 0);
}

TEST_CASE("a low rank gets its share of the work while long requests of a high rank wait")
{
    auto waiting = equalWeightQueue();
    waiting.setLowerRankShare(0.1);
    waiting.update(start);
    waiting.push(waiterOf(1, 0, Duration(0), 2000));
    CHECK(takeOrder(waiting) == std::vector<uint64_t> { 1 });
    waiting.push(waiterOf(2, 0, Duration(0), 2000));
    waiting.push(waiterOf(3, 2, Duration(0), 10));
    CHECK(takeOrder(waiting) == std::vector<uint64_t> { 3, 2 });
}

TEST_CASE("the lowest rank is shed first, and its late requests before the others")
{
    auto waiting = equalWeightQueue();
    waiting.push(waiterOf(1, 0, Duration(900)));
    waiting.push(waiterOf(2, 1, Duration(0)));
    waiting.push(waiterOf(3, 1, Duration(900)));
    waiting.update(start);
    CHECK(waiting.evict()->request.id == 3);
    CHECK(waiting.evict()->request.id == 2);
    CHECK(waiting.evict()->request.id == 1);
    CHECK_FALSE(waiting.evict());
}

TEST_CASE("dispatched prompts form a backlog that scales with the learned speed of the engine")
{
    SpeedEstimate speed({ 50000, 4 });
    speed.onDispatch(10000, start);
    CHECK(speed.backlogSeconds(start) == Approx(0.2));
    CHECK(speed.backlogSeconds(start + Duration(200)) == Approx(0).margin(1e-9));
    speed.onPeerEstimate(8);
    CHECK(speed.prefillSeconds(10000) == Approx(0.4));
    speed.onResponse(2);
    CHECK(speed.prefillSeconds(10000) == Approx(0.1));
    speed.onPeerEstimate(8);
    CHECK(speed.betweenTokensMs() == Approx(2));
}

TEST_CASE("a granted slot counts once, whether or not its node has reported it")
{
    InFlightByNode counts;
    counts.addSlot("n1");
    CHECK(counts.load() == 1);
    counts.setReported("n1", 1);
    CHECK(counts.load() == 1);
    counts.setReported("n2", 2);
    CHECK(counts.load() == 3);
    counts.removeSlot("n1");
    CHECK(counts.load() == 2);
    counts.forgetReport("n2");
    CHECK(counts.load() == 0);
}
