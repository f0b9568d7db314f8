#include "PlainServiceModel.h"

#include <catch2/catch.hpp>
#include <sched/UntrackedLoad.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);

double shareInTime(const std::vector<SecondOfService>& seconds, int from, int to)
{
    int arrived = 0;
    int inTime = 0;
    for (int second = from; second < to; ++second) {
        arrived += seconds[static_cast<std::size_t>(second)].arrived;
        inTime += seconds[static_cast<std::size_t>(second)].inTime;
    }
    return static_cast<double>(inTime) / arrived;
}

int unanswered(const std::vector<SecondOfService>& seconds)
{
    int count = 0;
    for (const auto& second : seconds)
        count += second.unanswered;
    return count;
}

} // namespace

TEST_CASE("after a burst that fills every upstream, a plain service is served as before within a second")
{
    const int nodes = GENERATE(9, 86, 195, 430);
    PlainServiceModel::Options options;
    options.nodes = nodes;
    const auto seconds = PlainServiceModel(options).run();
    const double before = shareInTime(seconds, 2, options.burstFromSecond);
    CAPTURE(nodes, before);
    CHECK(before >= 0.95);
    constexpr double tolerance = 0.03; // Of single seconds, by chance.
    for (int second = options.burstToSecond + 1; second < options.seconds - 1; ++second)
        CHECK(shareInTime(seconds, second, second + 1) >= before - tolerance);
    CHECK(unanswered(seconds) == 0);
}

TEST_CASE("a reported load that limits an upstream until the next report locks a node out")
{
    PlainServiceModel::Options options;
    options.nodes = 86;
    options.loadReportLifetime = Duration(60000);
    const auto seconds = PlainServiceModel(options).run();
    CHECK(shareInTime(seconds, options.burstToSecond + 1, options.seconds) < 0.8);
}

TEST_CASE("plain requests go to another data centre when the own upstream is overloaded")
{
    PlainServiceModel::Options options;
    options.nodes = 86;
    options.burstFactor = 1;
    options.requestsPerSecond = 450;
    const auto seconds = PlainServiceModel(options).run();
    CHECK(shareInTime(seconds, 2, options.seconds) >= 0.9);
}

TEST_CASE("a reported load limits an upstream less and less until the report's lifetime ends")
{
    UntrackedLoad load;
    CHECK(load.limiting(start) == 0);
    load.onReport(10, Duration(300), start);
    CHECK(load.limiting(start) == 10);
    CHECK(load.limiting(start + Duration(150)) == 5);
    CHECK(load.limiting(start + Duration(299)) == 1);
    CHECK(load.limiting(start + Duration(300)) == 0);
    CHECK(load.smoothed(start + Duration(300)) > 2);
    CHECK(load.smoothed(start + Duration(20000)) < 0.01);
}
