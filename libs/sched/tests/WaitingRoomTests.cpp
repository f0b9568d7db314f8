#include <catch2/catch.hpp>
#include <sched/NodeCounts.h>
#include <sched/SpeedEstimate.h>
#include <sched/WaitingRoom.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);

Waiter waiterOf(uint64_t id, int rank, Duration age, int outputTokens = 100)
{
    SlotRequest ask { id, "reader", "check", "north", rank, 10, outputTokens, 12000, {}, {}, false };
    ask.firstTokenTargetMs = 400;
    ask.startTimeoutMs = 3200;
    return { "n1", ask, start - age, start - age + Duration(12000), 0 };
}

std::vector<uint64_t> order(WaitingRoom& room)
{
    std::vector<uint64_t> ids;
    room.drain([&](const Waiter& waiter) {
        ids.push_back(waiter.ask.id);
        return WaitingQueue::Offer::Take;
    });
    return ids;
}

WaitingRoom room()
{
    return WaitingRoom([](const std::string&) { return 1.0; });
}

} // namespace

TEST_CASE("after a burst those that can still start in time go before those that are late, inside each rank")
{
    auto waiting = room();
    for (uint64_t id = 1; id <= 3; ++id)
        waiting.push(waiterOf(id, 0, Duration(900)));
    for (uint64_t id = 4; id <= 5; ++id)
        waiting.push(waiterOf(id, 0, Duration(50)));
    waiting.push(waiterOf(6, 1, Duration(50)));
    waiting.sort(start);
    CHECK(order(waiting) == std::vector<uint64_t> { 4, 5, 1, 2, 3, 6 });
    CHECK(waiting.size() == 0);
}

TEST_CASE("short requests of a low rank get their small share while long ones of a high rank wait")
{
    auto waiting = room();
    waiting.setLowerRankShare(0.1);
    waiting.sort(start);
    waiting.push(waiterOf(1, 0, Duration(0), 2000));
    CHECK(order(waiting) == std::vector<uint64_t> { 1 });
    waiting.push(waiterOf(2, 0, Duration(0), 2000));
    waiting.push(waiterOf(3, 2, Duration(0), 10));
    CHECK(order(waiting) == std::vector<uint64_t> { 3, 2 });
}

TEST_CASE("the lowest rank is shed first, and of it one that is late already")
{
    auto waiting = room();
    waiting.push(waiterOf(1, 0, Duration(900)));
    waiting.push(waiterOf(2, 1, Duration(0)));
    waiting.push(waiterOf(3, 1, Duration(900)));
    waiting.sort(start);
    CHECK(waiting.popWorst()->ask.id == 3);
    CHECK(waiting.popWorst()->ask.id == 2);
    CHECK(waiting.popWorst()->ask.id == 1);
    CHECK_FALSE(waiting.popWorst());
}

TEST_CASE("prompts that were sent before delay the next, in the measure of the engine's learned speed")
{
    SpeedEstimate speed({ 50000, 4 });
    speed.onDispatch(10000, start);
    CHECK(speed.backlogSeconds(start) == Approx(0.2));
    CHECK(speed.backlogSeconds(start + Duration(200)) == Approx(0).margin(1e-9));
    speed.onSuggestion(8);
    CHECK(speed.prefillSeconds(10000) == Approx(0.4));
    speed.onAnswer(2);
    CHECK(speed.prefillSeconds(10000) == Approx(0.1));
    speed.onSuggestion(8);
    CHECK(speed.betweenTokensMs() == Approx(2));
}

TEST_CASE("a place counts once, whether its node has reported it or not")
{
    NodeCounts counts;
    counts.addPlace("n1");
    CHECK(counts.load() == 1);
    counts.setReported("n1", 1);
    CHECK(counts.load() == 1);
    counts.setReported("n2", 2);
    CHECK(counts.load() == 3);
    counts.removePlace("n1");
    CHECK(counts.load() == 2);
    counts.forgetReport("n2");
    CHECK(counts.load() == 0);
}
