#include "CrashingPromptModel.h"

#include <catch2/catch.hpp>

using namespace bronzeswitch;

namespace {

using Parts = PromptQuarantine::Parts;

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr Duration confirmed { 1000 }; // Longer than peers take to confirm suspects.

// Puts parts in quarantine by losses at three upstreams.
TimePoint loseAtThreeUpstreams(PromptQuarantine& quarantine, const Parts& parts, TimePoint now)
{
    for (const char* upstream : { "e1", "e2", "e3" })
        quarantine.onLost(upstream, parts, now);
    quarantine.tick(now);
    quarantine.tick(now + confirmed);
    return now + confirmed;
}

} // namespace

TEST_CASE("a part of prompts that crashes every upstream stops reaching them soon after the third crash, at any size of the fleet")
{
    CrashingPromptModel::Options options;
    options.nodes = GENERATE(3, 9, 69, 195);
    options.engines = options.nodes + 3;
    options.requestsPerSecond = 9 * options.nodes;
    CrashingPromptModel fleet(options);
    fleet.run(std::chrono::seconds(3));
    fleet.setDeadlyShare(0.01);
    constexpr auto timeUntilAllKnow = std::chrono::seconds(3); // After the fifth crash.
    while (fleet.crashes() < 5 && fleet.now() < start + std::chrono::seconds(30))
        fleet.run(Duration(100));
    fleet.run(timeUntilAllKnow);
    const auto dispatchesThen = fleet.deadlyDispatches();
    fleet.run(std::chrono::seconds(20));
    CAPTURE(options.nodes, fleet.crashes());
    CHECK(fleet.deadlyDispatches() == dispatchesThen);
    CHECK(fleet.soundRefusals() == 0);
    for (int node = 0; node < options.nodes; ++node) {
        const auto entries = fleet.node(node).entries(fleet.now());
        REQUIRE(entries.size() == 1);
        CHECK(entries[0].parts == Parts { "dead" });
        CHECK(entries[0].generation == 1);
    }
}

TEST_CASE("parts of prompts that are in flight when many upstreams crash for another reason are not put in quarantine")
{
    CrashingPromptModel::Options options;
    options.nodes = GENERATE(9, 69);
    options.engines = 90;
    options.requestsPerSecond = 600;
    options.rackCrashShare = 0.3;
    CrashingPromptModel fleet(options);
    fleet.run(std::chrono::seconds(30));
    CAPTURE(options.nodes);
    CHECK(fleet.crashes() == 27);
    CHECK(fleet.soundRefusals() == 0);
}

TEST_CASE("requests are refused only if they have all parts that were always lost together, and an answer shows which are sound")
{
    PromptQuarantine quarantine;
    const auto now = loseAtThreeUpstreams(quarantine, { "first", "dead" }, start);
    CHECK(quarantine.remaining({ "first", "dead", "other" }, now));
    CHECK_FALSE(quarantine.remaining({ "first", "other" }, now));
    CHECK_FALSE(quarantine.remaining({ "dead" }, now));
    quarantine.onAnswered({ "first", "other" }, now);
    CHECK(quarantine.remaining({ "dead" }, now));
    CHECK_FALSE(quarantine.remaining({ "first" }, now));
}

TEST_CASE("a sound part that is in quarantine only together with another one is not refused by itself after a crash")
{
    PromptQuarantine quarantine;
    const auto now = loseAtThreeUpstreams(quarantine, { "first", "dead" }, start);
    quarantine.onLost("e4", { "first" }, now);
    quarantine.tick(now);
    quarantine.tick(now + confirmed);
    CHECK_FALSE(quarantine.remaining({ "first" }, now + confirmed));
    CHECK(quarantine.remaining({ "first", "dead" }, now + confirmed));
}

TEST_CASE("several losses at one upstream are one crash")
{
    PromptQuarantine quarantine;
    for (int request = 0; request < 10; ++request)
        quarantine.onLost("e1", { "part" }, start);
    quarantine.onLost("e2", { "part" }, start);
    CHECK(quarantine.tick(start).empty());
    quarantine.onLost("e1", { "part" }, start + std::chrono::seconds(5)); // It has restarted under the same name.
    CHECK(quarantine.tick(start + std::chrono::seconds(5)) == Parts { "part" });
}

TEST_CASE("suspects are not put in quarantine if a peer has seen an answer, and an own answer ends a quarantine")
{
    PromptQuarantine quarantine;
    for (const char* upstream : { "e1", "e2", "e3" })
        quarantine.onLost(upstream, { "part" }, start);
    CHECK(quarantine.tick(start) == Parts { "part" });
    quarantine.onPeerAnswered({ "part" }, start);
    quarantine.tick(start + confirmed);
    CHECK_FALSE(quarantine.remaining({ "part" }, start + confirmed));
    const auto now = loseAtThreeUpstreams(quarantine, { "part" }, start + confirmed);
    CHECK(quarantine.remaining({ "part" }, now));
    quarantine.onAnswered({ "part" }, now);
    CHECK_FALSE(quarantine.remaining({ "part" }, now));
    CHECK(quarantine.answeredAmong({ "part", "other" }) == Parts { "part" });
}

TEST_CASE("a quarantine ends by itself, and one more crash under its parts starts a longer one")
{
    PromptQuarantine quarantine;
    auto now = loseAtThreeUpstreams(quarantine, { "part" }, start);
    const auto first = *quarantine.remaining({ "part" }, now);
    now += first;
    CHECK_FALSE(quarantine.remaining({ "part" }, now));
    CHECK(quarantine.entries(now).empty());
    quarantine.onLost("e9", { "part" }, now);
    CHECK(quarantine.isSuspect({ "part" }, now));
    quarantine.tick(now);
    now += confirmed;
    quarantine.tick(now);
    REQUIRE(quarantine.remaining({ "part" }, now));
    CHECK(*quarantine.remaining({ "part" }, now) > first);
    CHECK(quarantine.entries(now).at(0).generation == 2);
}

TEST_CASE("a peer's quarantine is taken over once, and passing it on doesn't extend it")
{
    PromptQuarantine quarantine;
    const QuarantineEntry entry { { "part" }, 1, 60000 };
    CHECK(quarantine.adopt(entry, start));
    CHECK_FALSE(quarantine.adopt(entry, start + Duration(500)));
    CHECK(quarantine.remaining({ "part" }, start + Duration(500)) == Duration(59500));
    const auto end = start + Duration(60000);
    CHECK_FALSE(quarantine.adopt({ { "part" }, 1, 300 }, end));
    CHECK_FALSE(quarantine.remaining({ "part" }, end));
    CHECK(quarantine.adopt({ { "part" }, 2, 300 }, end));
    CHECK_FALSE(quarantine.adopt({ {}, 1, 300 }, end));
    CHECK_FALSE(quarantine.adopt({ { "other" }, 0, 300 }, end));
    quarantine.onAnswered({ "sound" }, end);
    CHECK_FALSE(quarantine.adopt({ { "sound" }, 1, 300 }, end));
}

TEST_CASE("nodes that find the same parts at about the same time start one quarantine, not one after the other")
{
    PromptQuarantine quarantine;
    for (const char* upstream : { "e1", "e2", "e3" })
        quarantine.onLost(upstream, { "part" }, start);
    CHECK(quarantine.tick(start) == Parts { "part" });
    CHECK(quarantine.adopt({ { "part" }, 1, 60000 }, start + Duration(100)));
    quarantine.tick(start + confirmed);
    CHECK(quarantine.entries(start + confirmed).at(0).generation == 1);
}

TEST_CASE("a quarantine that an answer has ended is not taken over again from peers that don't know the answer yet")
{
    PromptQuarantine quarantine;
    const QuarantineEntry entry { { "first", "part" }, 1, 60000 };
    REQUIRE(quarantine.adopt(entry, start));
    quarantine.onPeerAnswered({ "first", "part" }, start);
    CHECK_FALSE(quarantine.adopt(entry, start + Duration(100)));
    CHECK(quarantine.entries(start + Duration(100)).empty());
    // The answer shows that the earlier crashes had other causes, so one more isn't enough.
    quarantine.onLost("e1", { "first", "part" }, start + Duration(200));
    CHECK(quarantine.tick(start + Duration(200)).empty());
    CHECK(quarantine.adopt({ { "first", "part" }, 2, 60000 }, start + Duration(300)));
}

TEST_CASE("what a node keeps of prompts is bounded")
{
    PromptQuarantine quarantine;
    for (int index = 0; index < 2000; ++index)
        loseAtThreeUpstreams(quarantine, { "part" + std::to_string(index) }, start + std::chrono::seconds(index));
    CHECK(quarantine.entries(start + std::chrono::seconds(2000)).size() <= 32);
}
