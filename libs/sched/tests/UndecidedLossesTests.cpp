#include <catch2/catch.hpp>
#include <sched/UndecidedLosses.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr std::size_t burst = 4; // Losses.

UndecidedLosses lossesOfBurst()
{
    UndecidedLosses losses;
    for (std::size_t upstream = 0; upstream < burst; ++upstream)
        losses.add({ start, "e" + std::to_string(upstream), { "part" } });
    return losses;
}

} // namespace

TEST_CASE("losses of a burst are those of upstreams once another upstream is reached over the path")
{
    auto losses = lossesOfBurst();
    CHECK(losses.takeUpstreamLosses(start - Duration(1), start + Duration(400)).empty());
    const auto taken = losses.takeUpstreamLosses(start + Duration(400), start + Duration(500));
    REQUIRE(taken.size() == burst);
    CHECK(taken.front() == UndecidedLoss { start, "e0", { "part" } });
    CHECK(losses.takeUpstreamLosses(start + Duration(400), start + Duration(500)).empty());
}

TEST_CASE("bytes that were on the way when a burst began do not show that the path is sound")
{
    auto losses = lossesOfBurst();
    CHECK(losses.takeUpstreamLosses(start + Duration(300), start + Duration(400)).empty());
    CHECK(losses.takeUpstreamLosses(start + Duration(301), start + Duration(400)).size() == burst);
}

TEST_CASE("losses of a burst are dropped as those of the path if nothing is reached in time")
{
    auto losses = lossesOfBurst();
    CHECK(losses.takeUpstreamLosses(start, start + Duration(1499)).empty());
    SECTION("nothing in time")
    {
        CHECK(losses.takeUpstreamLosses(start, start + Duration(1500)).empty());
        CHECK(losses.takeUpstreamLosses(start + Duration(1600), start + Duration(1600)).empty());
    }
    SECTION("in time") { CHECK(losses.takeUpstreamLosses(start + Duration(1499), start + Duration(1500)).size() == burst); }
}

TEST_CASE("undecided losses are bounded in number")
{
    UndecidedLosses losses;
    for (int loss = 0; loss < 1000; ++loss)
        losses.add({ start, "e1", { "part" } });
    CHECK(losses.takeUpstreamLosses(start + Duration(400), start + Duration(400)).size() == 256);
}
