#include <catch2/catch.hpp>
#include <gateway/SlotAllocator.h>

using namespace bronzeswitch;

namespace {

constexpr const char* home = "127.0.0.1:2";

RoutingTablePointer routing()
{
    RoutingDocument document;
    document.version = 1;
    document.services = { { "reader", 10, 2, 1 } };
    GatewayRoute route;
    route.name = "check";
    route.host = "ramp.example";
    route.pathPrefix = "/a/";
    route.services = { { "reader", 1 } };
    document.routes = { route };
    return RoutingTable::create(document).value();
}

// A desk whose engine pool has its home at a peer, or at nobody that answers.
struct Desk {
    Desk()
    {
        UpstreamDirectory directory;
        directory.put({ "e1", "reader", "127.0.0.1:9", "honda", "v1", 2, false, 1 });
        desk.connect("127.0.0.1:1",
            { [this](const std::string&) { return isSilent ? std::string("127.0.0.1:1") : std::string(home); },
                [this](const std::string&, const Message& message) { sent.push_back(message); },
                [this](const std::string&) { isSilent = true; } });
        desk.configure(*routing(), directory);
    }

    SlotRequest ask()
    {
        SlotRequest result;
        result.id = desk.nextRequestId();
        result.pool = "reader";
        result.route = "check";
        return result;
    }

    // Starts to wait for a place; the result shows when the loop has run.
    uint64_t acquire()
    {
        const auto placeAsk = ask();
        asio::co_spawn(loop, desk.acquire(placeAsk, monotonicNow() + Duration(20000)),
            [this](const std::exception_ptr&, tl::expected<SlotGrant, SlotRefusal> result) { results.push_back(std::move(result)); });
        loop.poll();
        return placeAsk.id;
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
    SlotAllocator desk { loop.get_executor(), "honda", log };
    std::vector<Message> sent;
    std::vector<tl::expected<SlotGrant, SlotRefusal>> results;
    bool isSilent = false;
};

} // namespace

TEST_CASE("a home that gives no word is left out and the ask is decided here")
{
    Desk site;
    site.acquire();
    REQUIRE(site.runUntil([&] { return site.results.size() == 1; }));
    CHECK(site.isSilent);
    REQUIRE(site.results[0]);
    CHECK(site.results[0]->upstream == "e1");
    CHECK(site.desk.running() == 1);
}

TEST_CASE("a grant that comes in the moment in which the caller leaves goes back unused")
{
    Desk site;
    const auto id = site.acquire();
    REQUIRE(std::holds_alternative<SlotRequest>(site.sent.at(0)));
    site.desk.onMessage(home, SlotGrant { id, "e1", "stable", "" });
    site.desk.cancel(id);
    REQUIRE(site.runUntil([&] { return site.results.size() == 1; }));
    CHECK_FALSE(site.results[0]);
    CHECK(site.desk.running() == 0);
    CHECK(std::get<SlotRelease>(site.sent.back()).id == id);
}

TEST_CASE("a late grant for an ask that is over goes back, a repeated one of a used place does not")
{
    Desk site;
    const auto id = site.acquire();
    site.desk.onMessage(home, SlotGrant { id, "e1", "stable", "" });
    REQUIRE(site.runUntil([&] { return site.results.size() == 1; }));
    const auto before = site.sent.size();
    site.desk.onMessage(home, SlotGrant { id, "e1", "stable", "" });
    CHECK(site.sent.size() == before);
    site.desk.onMessage(home, SlotGrant { id + 7, "e1", "stable", "" });
    REQUIRE(site.sent.size() == before + 1);
    CHECK(std::get<SlotRelease>(site.sent.back()).id == id + 7);
}

TEST_CASE("places of a peer whose ends were never heard become free again")
{
    Desk site;
    const auto ask = site.ask();
    site.desk.onMessage(home, ask);
    REQUIRE(std::holds_alternative<SlotGrant>(site.sent.back()));
    site.desk.onMessage(home, ask);
    CHECK(std::holds_alternative<SlotGrant>(site.sent.back()));
    site.desk.onPeerLost(home);
    auto other = ask;
    other.id = ask.id + 1;
    site.desk.onMessage("127.0.0.1:3", other);
    CHECK(std::holds_alternative<SlotGrant>(site.sent.back()));
}

TEST_CASE("a trial leaves out upstreams that warm up, since they show nothing of their version")
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
