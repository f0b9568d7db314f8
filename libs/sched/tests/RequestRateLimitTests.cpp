#include <catch2/catch.hpp>
#include <deque>
#include <sched/RequestRateLimit.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr Duration window { 4000 };
constexpr Duration step { 10 };
constexpr Duration span { 40000 };

// Offers requests all the time. Returns the most that were granted in any window. Another scheduler takes over after each interval.
int peakGrants(double perSecond, Duration takeoverInterval)
{
    std::deque<TimePoint> grants;
    std::size_t peak = 0;
    RequestRateLimit limit;
    auto lastTakeover = start;
    for (auto now = start; now < start + span; now += step) {
        if (now - lastTakeover >= takeoverInterval) {
            limit = RequestRateLimit();
            limit.set(perSecond, now - span); // The next scheduler has known the limit for long.
            lastTakeover = now;
        }
        limit.set(perSecond, now);
        while (limit.mayGrant(now)) {
            limit.onGrant(now);
            grants.push_back(now);
        }
        while (!grants.empty() && grants.front() <= now - window)
            grants.pop_front();
        peak = std::max(peak, grants.size());
    }
    return static_cast<int>(peak);
}

} // namespace

TEST_CASE("an upstream with a request limit gets at most one and a half times of it and five requests in 4 s")
{
    for (const double perSecond : { 0.0, 0.3, 1.3, 1.4, 5.0, 40.0 }) {
        CAPTURE(perSecond);
        CHECK(peakGrants(perSecond, span) <= 1.5 * perSecond * 4 + 5);
        CHECK(peakGrants(perSecond, Duration(1000)) <= 1.5 * perSecond * 4 + 5);
        CHECK(peakGrants(perSecond, span) >= std::max(1.0, 0.9 * perSecond * 4));
    }
}

TEST_CASE("a request limit begins with an empty bucket, follows a change, and ends")
{
    RequestRateLimit limit;
    CHECK(limit.mayGrant(start));
    limit.set(2, start);
    CHECK_FALSE(limit.mayGrant(start));
    CHECK(limit.mayGrant(start + Duration(500)));
    limit.onGrant(start + Duration(500));
    limit.set(10, start + Duration(500));
    CHECK_FALSE(limit.mayGrant(start + Duration(590)));
    CHECK(limit.mayGrant(start + Duration(600)));
    limit.set(std::nullopt, start + Duration(600));
    for (int request = 0; request < 100; ++request) {
        CHECK(limit.mayGrant(start + Duration(600)));
        limit.onGrant(start + Duration(600));
    }
}
