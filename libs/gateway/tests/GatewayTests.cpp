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

RoutingDocument makeDocument()
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
    organisation.apiKeys = { "k1", "k2" };
    result.organisations = { organisation };
    return result;
}

UpstreamEntry makeEntry(const std::string& id) { return { id, "records", "127.0.0.1:9", "honda", "v1", 4, false, 1 }; }

NodeReport makeReport(uint64_t sequence, int64_t incarnation = 1)
{
    NodeReport report;
    report.node = "n2";
    report.incarnation = incarnation;
    report.sequence = sequence;
    report.isReady = true;
    return report;
}

} // namespace

TEST_CASE("a request takes the route with the longest matching prefix, and a prefix matches whole path segments")
{
    const auto table = RoutingTable::create(makeDocument());
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
    auto invalid = makeDocument();
    invalid.routes[0].pathPrefix = "a/";
    invalid.routes[1].services = { { "nowhere", 1 } };
    const auto table = RoutingTable::create(invalid);
    REQUIRE_FALSE(table);
    CHECK(table.error().size() == 2);
}

TEST_CASE("only complete, consecutive events are returned, and a partial event is discarded before the stream is resumed")
{
    EventStream stream(std::nullopt);
    CHECK(stream.push("id: 1\nda").events.empty());
    const auto batch = stream.push("ta: a\n\nid: 2\ndata: b\n\nid: 3\n");
    CHECK_FALSE(batch.error);
    CHECK(batch.events == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK_FALSE(stream.isAtEventBoundary());
    stream.discardPartialEvent();
    CHECK(stream.lastEventId() == 2);
    CHECK(stream.push("id: 3\ndata: c\n\n").events == "id: 3\ndata: c\n\n");
    CHECK(stream.push("id: 3\ndata: c\n\n").error);
    EventStream later(7);
    CHECK(later.push("id: 9\ndata: x\n\n").error);
}

TEST_CASE("an event without an identifier does not follow one with an identifier, a comment does")
{
    EventStream stream(std::nullopt);
    CHECK_FALSE(stream.push("data: a\n\nid: 1\ndata: b\n\n: still here\n\n").error);
    CHECK(stream.eventCount() == 1);
    CHECK(stream.push("event: error\ndata: c\n\n").error);
    EventStream resumed(3);
    CHECK(resumed.push("data: error text\n\n").error);
}

// ORDER: events that were counted but not returned were missing in a stream that another upstream resumed.
TEST_CASE("the events before a malformed one are returned together with the error, and no others are counted")
{
    const auto malformed = GENERATE(as<std::string> {}, "id: \x9b\xff\ndata: \xe1\x07\n\n", "id: 5\ndata: e\n\n", "id: 1\ndata: a\n\n",
        "data: text\n\n", std::string(300UL * 1024, 'x'));
    EventStream stream(std::nullopt);
    CHECK(stream.push("id: 1\ndata: a\n\n").events == "id: 1\ndata: a\n\n");
    const auto batch = stream.push("id: 2\ndata: b\n\nid: 3\ndata: c\n\n" + malformed + "id: 4\ndata: d\n\n");
    CHECK(batch.events == "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    REQUIRE(batch.error);
    CHECK(batch.error->code == ErrorCode::Protocol);
    CHECK(stream.lastEventId() == 3);
    CHECK(stream.eventCount() == 3);
    stream.discardPartialEvent();
    CHECK(stream.push("id: 4\ndata: d\n\n").events == "id: 4\ndata: d\n\n");
}

TEST_CASE("retries of all nodes together stay within the allowance")
{
    const RetryAllowance allowance { 0.2, 60, Duration(10000) };
    constexpr int nodes = 9;
    int retries = 0;
    int requests = 0;
    for (int node = 0; node < nodes; ++node) {
        RetryBudget budget(allowance);
        for (int i = 0; i < 100; ++i) {
            budget.onRequest(start + Duration(i));
            ++requests;
            retries += budget.take(nodes, start + Duration(i)) ? 1 : 0;
        }
    }
    CHECK(retries > 0);
    CHECK(retries <= allowance.ratio * requests + allowance.slack);
}

// Guards against a node that hears no other yet and retries as often as all nodes together may.
TEST_CASE("a node that doesn't know how many nodes there are uses no part of the retry slack")
{
    const RetryAllowance allowance { 0.2, 60, Duration(10000) };
    RetryBudget budget(allowance);
    budget.onRequest(start);
    CHECK_FALSE(budget.take(std::nullopt, start));
    for (int i = 0; i < 100; ++i)
        budget.onRequest(start);
    CHECK(budget.take(std::nullopt, start));
}

TEST_CASE("a newer report replaces the last one, and older reports are ignored")
{
    PeerView view({});
    view.setOwnNode({ "127.0.0.1:1", "honda", 0 });
    CHECK(view.onReport("127.0.0.1:2", makeReport(5), start));
    CHECK_FALSE(view.onReport("127.0.0.1:2", makeReport(6), start));
    auto olderReport = makeReport(4);
    olderReport.routingVersion = 9;
    view.onReport("127.0.0.1:2", olderReport, start);
    CHECK(view.newestRoutingHolders(0, "honda").empty());
    CHECK_FALSE(view.onReport("127.0.0.1:1", makeReport(1), start));
    view.expire(start);
    CHECK(view.responsivePeers() == std::vector<std::string> { "127.0.0.1:2" });
    view.suspect("127.0.0.1:2", start + Duration(1));
    CHECK(view.responsivePeers().empty());
    view.expire(start + Duration(1200));
    CHECK(view.responsivePeers().empty()); // No report since the suspicion.
    CHECK(view.expire(start + Duration(2000)) == std::vector<std::string> { "127.0.0.1:2" });
    CHECK(view.liveNodeCount() == 1);
    CHECK(view.knownNodeCount() == 2);
}

TEST_CASE("an entry that expired while the directory was unreachable is kept if it returns within the grace period")
{
    UpstreamDirectory directory;
    directory.put(makeEntry("e1"));
    directory.put(makeEntry("e2"));
    CHECK_FALSE(directory.put(makeEntry("e2")));
    const auto grace = start + Duration(2000);
    CHECK_FALSE(directory.remove("e1", start, grace));
    CHECK_FALSE(directory.remove("e2", start, grace));
    directory.put(makeEntry("e2"));
    CHECK_FALSE(directory.expire(start + Duration(1000)));
    CHECK(directory.expire(grace));
    CHECK_FALSE(directory.find("e1"));
    CHECK(directory.find("e2"));
    CHECK(directory.remove("e2", grace, start));
}

TEST_CASE("an entry that its upstream wrote before the known one is outdated, and after a removal so is the last one")
{
    constexpr int64_t born = 1780000000000;
    const auto entryOf = [](int64_t startedAt, std::optional<int64_t> sequence, bool isDraining) {
        auto entry = makeEntry("e1");
        entry.startedAt = startedAt;
        entry.sequence = sequence;
        entry.isDraining = isDraining;
        return entry;
    };
    UpstreamDirectory directory;
    directory.put(entryOf(born, 5, true));
    CHECK_FALSE(directory.put(entryOf(born, 4, false)));
    CHECK_FALSE(directory.put(entryOf(born - 1, 9, false)));
    CHECK(directory.find("e1")->isDraining);
    directory.remove("e1", start, {});
    CHECK_FALSE(directory.put(entryOf(born, 5, false)));
    CHECK(directory.put(entryOf(born, 6, false)));
    directory.remove("e1", start, {});
    CHECK(directory.put(entryOf(born + 1, 1, false)));
    directory.remove("e1", start, {});
    CHECK(directory.put(entryOf(born, std::nullopt, false))); // Without a number the order is unknown.
}

TEST_CASE("an upstream whose entry returns within the grace period may write it with the same number")
{
    UpstreamDirectory directory;
    auto entry = makeEntry("e1");
    entry.startedAt = 1780000000000;
    entry.sequence = 5;
    directory.put(entry);
    directory.remove("e1", start, start + Duration(2000));
    directory.put(entry);
    CHECK_FALSE(directory.expire(start + Duration(2000)));
}

TEST_CASE("that an upstream leaves holds for its earlier starts too, and ends with a later one")
{
    UpstreamDirectory directory;
    auto entry = makeEntry("e1");
    entry.startedAt = 7;
    directory.setLeaving("e1", 7);
    directory.put(entry);
    CHECK(directory.find("e1")->isDraining);
    entry.startedAt = 6;
    directory.put(entry);
    CHECK(directory.find("e1")->isDraining);
    entry.startedAt = 8;
    directory.put(entry);
    CHECK_FALSE(directory.find("e1")->isDraining);
}

TEST_CASE("one node reads the directory, others take over one after the other, and none waits longer than 1.5 s")
{
    const SourceReadPolicy policy;
    constexpr int nodes = 91;
    int directoryReaders = 0;
    for (int rank = 0; rank < nodes; ++rank)
        directoryReaders += policy.shouldReadDirectory(rank, policy.readInterval);
    CHECK(directoryReaders == 1);
    for (int rank = 1; rank < nodes; ++rank) {
        CHECK(policy.maxSilence(rank) >= policy.maxSilence(rank - 1));
        CHECK(policy.maxSilence(rank) < Duration(1500));
    }
    CHECK(policy.maxSilence(2) > policy.maxSilence(1));
}

TEST_CASE("a few nodes read the routing from the source, and so does each node that hears nothing from its peers")
{
    const SourceReadPolicy policy;
    int routingReaders = 0;
    for (int rank = 0; rank < 91; ++rank) {
        routingReaders += policy.shouldWatchRouting(rank, 1, Duration(0));
        CHECK(policy.shouldWatchRouting(rank, 1, policy.maxSilence(rank)));
        CHECK(policy.shouldWatchRouting(rank, 0, Duration(0)));
    }
    CHECK(routingReaders == policy.routingWatchers);
}
