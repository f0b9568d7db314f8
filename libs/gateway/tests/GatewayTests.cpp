#include <catch2/catch.hpp>
#include <gateway/EventStream.h>
#include <gateway/PeerView.h>
#include <gateway/RetryBudget.h>
#include <gateway/RoutingTable.h>
#include <gateway/SourceReadPolicy.h>
#include <gateway/UpstreamDirectory.h>
#include <map>
#include <numeric>
#include <random>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);

RoutingDocument document()
{
    RoutingDocument result;
    result.version = 4;
    result.services = { { "records", 10, 0, 1 } };
    GatewayRoute shortRoute;
    shortRoute.name = "short";
    shortRoute.host = "ramp.example";
    shortRoute.pathPrefix = "/a/";
    shortRoute.services = { { "records", 1 } };
    auto longRoute = shortRoute;
    longRoute.name = "long";
    longRoute.pathPrefix = "/a/b/";
    result.routes = { shortRoute, longRoute };
    GatewayOrganisation organisation;
    organisation.name = "crews";
    organisation.keys = { "k1", "k2" };
    result.organisations = { organisation };
    return result;
}

UpstreamEntry entry(const std::string& id) { return { id, "records", "127.0.0.1:9", "honda", "v1", 4, false, 1 }; }

NodeReport reportOf(uint64_t sequence, int64_t incarnation = 1)
{
    NodeReport report;
    report.node = "n2";
    report.incarnation = incarnation;
    report.sequence = sequence;
    report.isReady = true;
    return report;
}

} // namespace

TEST_CASE("the longest prefix of a host wins, and a prefix ends at a slash")
{
    const auto table = RoutingTable::create(document());
    REQUIRE(table);
    CHECK((*table)->findRoute("ramp.example", "/a/b/c")->name == "long");
    CHECK((*table)->findRoute("ramp.example:80", "/a/bc?x=/a/b/")->name == "short");
    CHECK_FALSE((*table)->findRoute("ramp.example", "/ab/c"));
    CHECK_FALSE((*table)->findRoute("other.example", "/a/b/c"));
    CHECK((*table)->findOrganisation("k2")->name == "crews");
    CHECK_FALSE((*table)->findOrganisation("k3"));
}

TEST_CASE("all findings of a routing document are reported together")
{
    auto wrong = document();
    wrong.routes[0].pathPrefix = "a/";
    wrong.routes[1].services = { { "nowhere", 1 } };
    const auto table = RoutingTable::create(wrong);
    REQUIRE_FALSE(table);
    CHECK(table.error().size() == 2);
}

TEST_CASE("events pass whole, in order, and an unfinished one is dropped before the stream goes on")
{
    EventStream stream(std::nullopt);
    CHECK(stream.push("id: 1\nda")->empty());
    CHECK(*stream.push("ta: a\n\nid: 2\ndata: b\n\nid: 3\n") == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK_FALSE(stream.isWhole());
    stream.restart();
    CHECK(stream.lastEventId() == 2);
    CHECK(*stream.push("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    CHECK_FALSE(stream.push("id: 3\ndata: c\n\n"));
    EventStream later(7);
    CHECK_FALSE(later.push("id: 9\ndata: x\n\n"));
}

TEST_CASE("repeats of all nodes together stay inside the allowance")
{
    const RetryAllowance allowance { 0.2, 60, Duration(10000) };
    constexpr int nodes = 9;
    int repeats = 0;
    int requests = 0;
    for (int node = 0; node < nodes; ++node) {
        RetryBudget budget(allowance);
        for (int i = 0; i < 100; ++i) {
            budget.onRequest(start + Duration(i));
            ++requests;
            repeats += budget.take(nodes, start + Duration(i)) ? 1 : 0;
        }
    }
    CHECK(repeats > 0);
    CHECK(repeats <= allowance.ratio * requests + allowance.slack);
}

TEST_CASE("reports replace each other and old ones are ignored")
{
    PeerView view({});
    view.setOwnAddress("127.0.0.1:1");
    CHECK(view.onReport("127.0.0.1:2", reportOf(5), start));
    CHECK_FALSE(view.onReport("127.0.0.1:2", reportOf(6), start));
    auto old = reportOf(4);
    old.routingVersion = 9;
    view.onReport("127.0.0.1:2", old, start);
    std::string address;
    CHECK_FALSE(view.newestRoutingPeer(0, address));
    CHECK_FALSE(view.onReport("127.0.0.1:1", reportOf(1), start));
    view.expire(start);
    CHECK(view.responsivePeers() == std::vector<std::string> { "127.0.0.1:2" });
    view.suspect("127.0.0.1:2", start + Duration(1));
    CHECK(view.responsivePeers().empty());
    view.expire(start + Duration(1200));
    CHECK(view.responsivePeers().empty()); // Not heard since.
    CHECK(view.expire(start + Duration(2000)) == std::vector<std::string> { "127.0.0.1:2" });
    CHECK(view.liveNodeCount() == 1);
    CHECK(view.knownNodeCount() == 2);
}

TEST_CASE("an entry that lapsed while the directory was away may come back within its grace")
{
    UpstreamDirectory directory;
    directory.put(entry("e1"));
    directory.put(entry("e2"));
    CHECK_FALSE(directory.put(entry("e2")));
    const auto grace = start + Duration(2000);
    CHECK_FALSE(directory.remove("e1", start, grace));
    CHECK_FALSE(directory.remove("e2", start, grace));
    directory.put(entry("e2"));
    CHECK_FALSE(directory.expire(start + Duration(1000)));
    CHECK(directory.expire(grace));
    CHECK_FALSE(directory.find("e1"));
    CHECK(directory.find("e2"));
    CHECK(directory.remove("e2", grace, start));
}

TEST_CASE("one node reads the directory, the next ones step in one after the other, and nobody waits past a second and a half")
{
    const SourceReadPolicy turns;
    constexpr int nodes = 91;
    int reading = 0;
    for (int rank = 0; rank < nodes; ++rank)
        reading += turns.shouldReadDirectory(rank, turns.readInterval);
    CHECK(reading == 1);
    for (int rank = 1; rank < nodes; ++rank) {
        CHECK(turns.maxSilence(rank) >= turns.maxSilence(rank - 1));
        CHECK(turns.maxSilence(rank) < Duration(1500));
    }
    CHECK(turns.maxSilence(2) > turns.maxSilence(1));
}

TEST_CASE("a few nodes wait for the routing, and each one that hears nothing any more")
{
    const SourceReadPolicy turns;
    int waiting = 0;
    for (int rank = 0; rank < 91; ++rank) {
        waiting += turns.shouldWatchRouting(rank, Duration(0));
        CHECK(turns.shouldWatchRouting(rank, turns.maxSilence(rank)));
    }
    CHECK(waiting == turns.routingWatchers);
}
