#include <catch2/catch.hpp>
#include <gateway/CallerFingerprint.h>
#include <gateway/SlotAllocator.h>
#include <thread>

using namespace bronzeswitch;

namespace {

constexpr const char* home = "127.0.0.1:2"; // The home node of the engine pool.

RoutingTablePointer routing(int engineSlots = 2)
{
    RoutingDocument document;
    document.version = 1;
    document.services = { { "reader", 10, engineSlots, 1 } };
    GatewayRoute route;
    route.name = "check";
    route.host = "ramp.example";
    route.pathPrefix = "/a/";
    route.services = { { "reader", 1 } };
    document.routes = { route };
    return RoutingTable::create(document).value();
}

RoutingTablePointer coldStartRouting(int engineSlots = 2)
{
    auto document = routing(engineSlots)->document();
    document.services[0].coldStart.perSecond = 10;
    return RoutingTable::create(document).value();
}

RoutingTablePointer plainRouting() { return routing(0); }

// An allocator whose engine pool has its home node at a peer, until the peer is found not to respond.
struct Fixture {
    explicit Fixture(const RoutingTablePointer& table = routing())
    {
        UpstreamDirectory directory;
        directory.put({ "e1", "reader", "127.0.0.1:9", "honda", "v1", 2, false, 1 });
        allocator.connect("127.0.0.1:1",
            { [this](const std::string&) { return isHomeSilent ? std::string("127.0.0.1:1") : std::string(home); },
                [this](const std::string&, const Message& message) { sent.push_back(message); },
                [this](const std::string&) { isHomeSilent = true; } });
        allocator.configure(*table, directory);
    }

    SlotRequest makeRequest()
    {
        SlotRequest result;
        result.id = allocator.nextRequestId();
        result.pool = "reader";
        result.route = "check";
        return result;
    }

    // Starts to wait for a slot. Once the loop has run, the outcome is in results.
    uint64_t acquire()
    {
        const auto request = makeRequest();
        asio::co_spawn(loop, allocator.acquire(request, monotonicNow() + Duration(20000)),
            [this](const std::exception_ptr&, tl::expected<SlotGrant, SlotRefusal> result) { results.push_back(std::move(result)); });
        loop.restart();
        loop.poll();
        return request.id;
    }

    template <typename Condition> bool runUntil(Condition condition)
    {
        const auto end = monotonicNow() + Duration(20000);
        while (!condition() && monotonicNow() < end)
            loop.run_one_for(std::chrono::milliseconds(20));
        return condition();
    }

    asio::io_context loop;
    LineWriter writer { -1, 4096 };
    DecisionLog log { "n1", writer, 10 };
    SlotAllocator allocator { loop.get_executor(), "honda", log };
    std::vector<Message> sent;
    std::vector<tl::expected<SlotGrant, SlotRefusal>> results;
    bool isHomeSilent = false;
};

} // namespace

TEST_CASE("a node decides on a slot request itself if the home node does not respond")
{
    Fixture fixture;
    fixture.acquire();
    REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
    CHECK(fixture.isHomeSilent);
    REQUIRE(fixture.results[0]);
    CHECK(fixture.results[0]->upstream == "e1");
    CHECK(fixture.allocator.running() == 1);
}

TEST_CASE("without the home node's answer no upstream with a request limit is used")
{
    Fixture fixture;
    fixture.allocator.setRequestLimits({ { "e1", 100 } });
    fixture.acquire();
    REQUIRE(fixture.runUntil([&] { return fixture.isHomeSilent && fixture.results.size() == 1; }));
    CHECK_FALSE(fixture.results[0]);
}

TEST_CASE("a pool of plain services has a home node while one of its upstreams has a request limit")
{
    Fixture fixture(plainRouting());
    fixture.acquire();
    CHECK(fixture.results.size() == 1);
    CHECK(fixture.sent.empty());
    fixture.allocator.setRequestLimits({ { "e1", 100 } });
    fixture.acquire();
    CHECK(fixture.results.size() == 1);
    CHECK(std::holds_alternative<SlotRequest>(fixture.sent.at(0)));
    fixture.allocator.setRequestLimits({});
    fixture.acquire();
    CHECK(fixture.sent.size() == 1);
}

TEST_CASE("without the home node's answer an upstream is used unless it may be cold")
{
    const bool isCold = GENERATE(false, true);
    Fixture fixture(coldStartRouting());
    fixture.allocator.setColdUntil("reader", "e1", isCold ? TimePoint::max() : TimePoint {});
    fixture.allocator.setColdStartRates("reader", ColdStartRates::withoutHome({ 10, 1.5, 5 }, 1), false);
    fixture.acquire();
    REQUIRE(fixture.runUntil([&] {
        fixture.allocator.tick();
        return fixture.results.size() == 1;
    }));
    CHECK(fixture.isHomeSilent);
    CHECK(fixture.results[0].has_value() != isCold);
}

TEST_CASE("a pool of plain services with a cold start has a home node, and no upstream is used before the rates are set")
{
    Fixture fixture(coldStartRouting(0));
    fixture.acquire();
    CHECK(std::holds_alternative<SlotRequest>(fixture.sent.at(0)));
    fixture.isHomeSilent = true; // This node becomes the home.
    fixture.acquire();
    fixture.allocator.tick();
    CHECK(fixture.results.empty());
}

// LATE: a node that had been frozen used a grant of a second ago together with new ones.
TEST_CASE("a grant tells how old it is, as counted from the request")
{
    Fixture fixture(coldStartRouting());
    const auto id = fixture.acquire();
    std::this_thread::sleep_for(Duration(60));
    fixture.allocator.onMessage(home, SlotGrant { id, "e1", "stable", "", 20 });
    REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
    CHECK(fixture.results[0]->waitedMs == 20);
    const auto other = fixture.acquire();
    std::this_thread::sleep_for(Duration(60));
    fixture.allocator.onMessage(home, SlotGrant { other, "e1", "stable", "" }); // Of a node of the last version.
    REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 2; }));
    CHECK(fixture.results[1]->waitedMs >= 60);
}

TEST_CASE("a grant that arrives while its caller disconnects is returned unused")
{
    Fixture fixture;
    const auto id = fixture.acquire();
    REQUIRE(std::holds_alternative<SlotRequest>(fixture.sent.at(0)));
    fixture.allocator.onMessage(home, SlotGrant { id, "e1", "stable", "" });
    fixture.allocator.cancel(id);
    REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
    CHECK_FALSE(fixture.results[0]);
    CHECK(fixture.allocator.running() == 0);
    CHECK(std::get<SlotRelease>(fixture.sent.back()).id == id);
}

TEST_CASE("a late grant for a finished request is returned, a duplicate grant of a slot in use is not")
{
    Fixture fixture;
    const auto id = fixture.acquire();
    fixture.allocator.onMessage(home, SlotGrant { id, "e1", "stable", "" });
    REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
    const auto before = fixture.sent.size();
    fixture.allocator.onMessage(home, SlotGrant { id, "e1", "stable", "" });
    CHECK(fixture.sent.size() == before);
    fixture.allocator.onMessage(home, SlotGrant { id + 7, "e1", "stable", "" });
    REQUIRE(fixture.sent.size() == before + 1);
    CHECK(std::get<SlotRelease>(fixture.sent.back()).id == id + 7);
}

// ROUTE: after a quick restart, the home's grant to a request of the earlier start was used for a request to another service.
TEST_CASE("a grant to a request of a node's earlier start is not taken by one of its next start")
{
    Fixture earlier;
    const auto earlierId = earlier.acquire();
    Fixture fixture;
    const auto id = fixture.acquire();
    fixture.allocator.onMessage(home, SlotRefusal { earlierId, RefusalReason::NoUpstream, 0 });
    fixture.allocator.onMessage(home, SlotGrant { earlierId, "e1", "stable", "" });
    fixture.loop.poll();
    CHECK(fixture.results.empty());
    CHECK(std::get<SlotRelease>(fixture.sent.back()).id == earlierId);
    fixture.allocator.onMessage(home, SlotGrant { id, "e1", "stable", "" });
    REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
    CHECK(fixture.results[0]);
}

TEST_CASE("slots of a lost peer become free although their release was never received")
{
    Fixture fixture;
    const auto request = fixture.makeRequest();
    fixture.allocator.onMessage(home, request);
    REQUIRE(std::holds_alternative<SlotGrant>(fixture.sent.back()));
    fixture.allocator.onMessage(home, request);
    CHECK(std::holds_alternative<SlotGrant>(fixture.sent.back()));
    fixture.allocator.onPeerLost(home);
    auto other = request;
    other.id = request.id + 1;
    fixture.allocator.onMessage("127.0.0.1:3", other);
    CHECK(std::holds_alternative<SlotGrant>(fixture.sent.back()));
}

// Other deployments state neither, and are to be served as before.
TEST_CASE("a pool learns capacities only if its engines' memory is configured or its upstreams state their pace")
{
    auto document = routing()->document();
    const auto modeOf = [&] {
        const auto table = RoutingTable::create(document).value();
        return makePoolPlan(*table, UpstreamDirectory(), *table->findService("reader"), "honda").capacityLearning;
    };
    CHECK(modeOf() == CapacityLearning::OncePaceIsStated);
    document.services[0].memoryTokens = 444000;
    CHECK(modeOf() == CapacityLearning::Always);
    Fixture fixture(plainRouting());
    fixture.allocator.reportLoad("reader", "e1", { 1, 0, Duration(0), "" });
    fixture.allocator.tick();
    CHECK(fixture.allocator.capacity().learningPools() == 0);
    fixture.allocator.reportLoad("reader", "e1", { 1, 0, Duration(0), "", 1, 2.5 });
    REQUIRE(fixture.allocator.loads().size() == 1);
    CHECK(fixture.allocator.loads()[0].pacePercent == 250);
}

// A home that doesn't know the tokens of requests that another node granted would fill an engine's memory twice.
TEST_CASE("a node reports the tokens that its requests hold at engines with a configured memory")
{
    auto document = routing()->document();
    document.services[0].memoryTokens = 444000;
    Fixture fixture(RoutingTable::create(document).value());
    auto request = fixture.makeRequest();
    request.promptTokens = 700;
    request.outputTokens = 50;
    fixture.isHomeSilent = true;
    asio::co_spawn(fixture.loop, fixture.allocator.acquire(request, monotonicNow() + Duration(20000)),
        [&](const std::exception_ptr&, tl::expected<SlotGrant, SlotRefusal> result) { fixture.results.push_back(std::move(result)); });
    REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
    CHECK(fixture.allocator.loads().at(0).heldTokens == 750);
    fixture.allocator.release("e1", { request.id, DispatchOutcome::Cancelled, 0, 0, 0, 0 });
    for (const auto& load : fixture.allocator.loads())
        CHECK(load.heldTokens == 0);
}

TEST_CASE("a trial excludes upstreams that are warming up, since their latency says nothing about their version")
{
    UpstreamDirectory directory;
    directory.put({ "old", "reader", "127.0.0.1:9", "honda", "v1", 2, false, false });
    directory.put({ "warm", "reader", "127.0.0.1:8", "honda", "v2", 2, false, false });
    directory.put({ "cold", "reader", "127.0.0.1:7", "honda", "v2", 2, false, true });
    const VersionRule rule { "v2", RolloutPhase::Trial, "reader@1" };
    const auto table = routing();
    const auto plan = makePoolPlan(*table, directory, *table->findService("reader"), "honda", &rule);
    std::map<std::string, std::string> versions;
    for (const auto& upstream : plan.upstreams)
        versions[upstream.name] = upstream.version;
    CHECK(versions.at("warm") == plan.versions.at(0).candidate);
    CHECK(versions.at("cold") != plan.versions.at(0).candidate);
    CHECK(versions.at("cold") != plan.versions.at(0).stable);
}

TEST_CASE("admission control is enabled only for engines with streams, and shedding by rank only where ranks differ")
{
    RoutingDocument document = routing()->document();
    const auto settingsOf = [&] {
        const auto table = RoutingTable::create(document).value();
        return makePoolPlan(*table, {}, *table->findService("reader"), "honda").admission;
    };
    CHECK(settingsOf() == AdmissionSettings {});
    document.routes[0].kind = RequestKind::Stream;
    CHECK(settingsOf().refusesEarly);
    CHECK_FALSE(settingsOf().shedsByRank);
    document.routes.push_back(document.routes[0]);
    document.routes[1].name = "draft";
    document.routes[1].pathPrefix = "/b/";
    document.routes[1].rank = 1;
    CHECK(settingsOf().shedsByRank);
    document.services[0].engineSlots = 0;
    CHECK(settingsOf() == AdmissionSettings {});
}

TEST_CASE("a caller that tries again has the same fingerprint, whatever time it has left")
{
    SlotRequest request;
    request.organisation = "north";
    request.route = "check";
    const auto plain = callerFingerprint(request, "/a/1", "{}");
    request.deadlineMs = 4000;
    request.id = 9;
    CHECK(callerFingerprint(request, "/a/1", "{}") == plain);
    CHECK(callerFingerprint(request, "/a/2", "{}") != plain);
    CHECK(callerFingerprint(request, "/a/1", "[]") != plain);
    request.prefixes = { { 1, 64 }, { 2, 128 } };
    const auto prompt = callerFingerprint(request, "/a/1", "{}");
    CHECK(prompt != plain);
    CHECK(callerFingerprint(request, "/a/1", "other") == prompt);
    request.organisation = "south";
    CHECK(callerFingerprint(request, "/a/1", "{}") != prompt);
}
