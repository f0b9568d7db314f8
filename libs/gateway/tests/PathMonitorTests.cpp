#include <catch2/catch.hpp>
#include <gateway/PathMonitor.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
const PathPolicy policy;
const Duration quick = policy.quickReach;

} // namespace

TEST_CASE("an upstream that another node reaches is tried over the own path again only now and then")
{
    PathMonitor monitor(policy);
    CHECK(monitor.shouldConnectDirectly("e1", start));
    monitor.onDirect("e1", ConnectResult::TimedOut, start);
    CHECK_FALSE(monitor.isLost("e1", start));
    monitor.onReachedByOther("e1", quick, start);
    CHECK(monitor.isLost("e1", start));
    CHECK_FALSE(monitor.shouldConnectDirectly("e1", start + policy.retestInterval / 2));
    CHECK(monitor.shouldConnectDirectly("e2", start));
    CHECK(monitor.shouldConnectDirectly("e1", start + policy.retestInterval));
    CHECK_FALSE(monitor.shouldConnectDirectly("e1", start + policy.retestInterval)); // Another request tests it already.
    monitor.onDirect("e1", ConnectResult::Connected, start + policy.retestInterval);
    CHECK_FALSE(monitor.isLost("e1", start + policy.retestInterval));
}

TEST_CASE("one upstream that fails is not taken for a lost path")
{
    PathMonitor monitor(policy);
    for (int attempt = 0; attempt < 20; ++attempt)
        monitor.onDirect("e1", ConnectResult::TimedOut, start);
    CHECK_FALSE(monitor.isLost("e1", start));
    CHECK_FALSE(monitor.isCutOff(start));
    CHECK_FALSE(monitor.onBroken("e1", start));
}

TEST_CASE("a node that reaches none of several upstreams is cut off until it reaches one")
{
    PathMonitor monitor(policy);
    for (const char* upstream : { "e1", "e2", "e3" })
        monitor.onDirect(upstream, ConnectResult::TimedOut, start);
    CHECK(monitor.isCutOff(start));
    CHECK(monitor.isLost("e9", start));
    CHECK(monitor.shouldConnectDirectly("e9", start));
    CHECK_FALSE(monitor.shouldConnectDirectly("e8", start)); // One test at a time.
    const auto later = start + Duration(10);
    monitor.onDirect("e9", ConnectResult::Connected, later);
    CHECK_FALSE(monitor.isCutOff(later));
    CHECK(monitor.shouldConnectDirectly("e8", later));
}

TEST_CASE("evidence of a lost path expires")
{
    PathMonitor monitor(policy);
    for (const char* upstream : { "e1", "e2", "e3" })
        monitor.onDirect(upstream, ConnectResult::TimedOut, start);
    CHECK_FALSE(monitor.isCutOff(start + policy.evidenceTime));
}

TEST_CASE("connections to several upstreams that break off together show a lost path")
{
    PathMonitor monitor(policy);
    CHECK_FALSE(monitor.onBroken("e1", start));
    CHECK_FALSE(monitor.onBroken("e2", start));
    CHECK(monitor.onBroken("e3", start));
    CHECK_FALSE(monitor.onBroken("e1", start + policy.burstTime));
}

TEST_CASE("a node to which upstreams respond is not cut off, however many others fail")
{
    PathMonitor monitor(policy);
    for (const char* upstream : { "e1", "e2", "e3", "e4" })
        monitor.onDirect(upstream, ConnectResult::TimedOut, start);
    monitor.onResponse(start + Duration(1));
    CHECK_FALSE(monitor.isCutOff(start + Duration(2)));
    CHECK_FALSE(monitor.isLost("e9", start + Duration(2)));
}

TEST_CASE("open connections count as silent only where new ones hang")
{
    PathMonitor monitor(policy);
    for (const char* upstream : { "e1", "e2", "e3" })
        monitor.onDirect(upstream, ConnectResult::TimedOut, start);
    CHECK_FALSE(monitor.isSilent(start));
    monitor.onReachedByOther("e1", quick, start);
    CHECK(monitor.isSilent(start));
    monitor.onDirect("e4", ConnectResult::Refused, start);
    CHECK(monitor.isCutOff(start));
    CHECK_FALSE(monitor.isSilent(start));
}

TEST_CASE("a lost path to an upstream that gets no more requests is forgotten")
{
    PathMonitor monitor(policy);
    monitor.onDirect("e1", ConnectResult::TimedOut, start);
    monitor.onReachedByOther("e1", quick, start);
    CHECK(monitor.isLost("e1", start));
    CHECK_FALSE(monitor.isLost("e1", start + policy.evidenceTime));
    monitor.expire(start + policy.evidenceTime);
    CHECK(monitor.shouldConnectDirectly("e1", start + policy.evidenceTime));
}

// LOST: a node whose link was full took slow connects for a lost path, and ended requests that upstreams were working on.
TEST_CASE("connects that take too long do not cut a node off to which upstreams' bytes arrive")
{
    PathMonitor monitor(policy);
    for (const char* upstream : { "e1", "e2", "e3", "e4" })
        monitor.onDirect(upstream, ConnectResult::TimedOut, start);
    monitor.onReachedByOther("e1", quick, start);
    CHECK(monitor.isCutOff(start));
    CHECK(monitor.isSilent(start));
    monitor.onReceived(start + Duration(1));
    CHECK_FALSE(monitor.isCutOff(start + Duration(2)));
    CHECK_FALSE(monitor.isSilent(start + Duration(2)));
    CHECK_FALSE(monitor.isLost("e9", start + Duration(2)));
}

TEST_CASE("connects that are refused cut a node off although bytes arrive on connections from before")
{
    PathMonitor monitor(policy);
    for (const char* upstream : { "e1", "e2", "e3" })
        monitor.onDirect(upstream, ConnectResult::Refused, start);
    monitor.onReceived(start + Duration(1));
    CHECK(monitor.isCutOff(start + Duration(2)));
}

TEST_CASE("bytes that arrived before connects failed do not speak against a lost path")
{
    PathMonitor monitor(policy);
    for (const char* upstream : { "e1", "e2", "e3" })
        monitor.onDirect(upstream, ConnectResult::TimedOut, start);
    monitor.onReachedByOther("e1", quick, start);
    monitor.onReceived(start - Duration(1));
    CHECK(monitor.isCutOff(start));
    CHECK(monitor.isSilent(start));
}

// LOST: a node whose link was full ended requests that upstreams were working on; others reach upstreams slowly over such a link, too.
TEST_CASE("open connections count as silent only if another node reaches an upstream quickly")
{
    PathMonitor monitor(policy);
    for (const char* upstream : { "e1", "e2", "e3" })
        monitor.onDirect(upstream, ConnectResult::TimedOut, start);
    monitor.onReachedByOther("e1", quick + Duration(1), start);
    CHECK(monitor.isCutOff(start));
    CHECK_FALSE(monitor.isSilent(start));
    monitor.onReachedByOther("e2", quick, start);
    CHECK(monitor.isSilent(start));
    const auto later = start + policy.evidenceTime;
    monitor.onReachedByOther("e1", quick + Duration(1), later);
    monitor.onReachedByOther("e2", quick + Duration(1), later);
    monitor.onReachedByOther("e3", quick + Duration(1), later);
    CHECK(monitor.isCutOff(later));
    CHECK_FALSE(monitor.isSilent(later));
}
