#include <catch2/catch.hpp>
#include <gateway/PromptGuard.h>
#include <net/Async.h>
#include <net/LineWriter.h>

#include <thread>

using namespace bronzeswitch;

namespace {

// A guard whose node knows no other.
struct PromptGuardFixture {
    PromptGuardFixture()
    {
        guard.connect(
            { [](const Message&) {}, [](const std::string&, const Message&) {}, [] {}, [this] { return reachedAt; }, [] { return true; } });
    }

    void runFor(Duration time)
    {
        for (const auto end = monotonicNow() + time; monotonicNow() < end; std::this_thread::sleep_for(Duration(10)))
            guard.tick();
    }

    LineWriter writer { -1, 1U << 20U };
    DecisionLog log { "n1", writer, 0 };
    PromptGuard guard { log };
    TimePoint reachedAt {};
};

} // namespace

TEST_CASE("prompts that are lost with the path to several engines are not put in quarantine")
{
    PromptGuardFixture fixture;
    for (const char* upstream : { "e1", "e2", "e3", "e4" })
        fixture.guard.onLostWithOthers(upstream, { "part" });
    fixture.runFor(Duration(2500));
    CHECK(fixture.guard.entries().empty());
    fixture.reachedAt = monotonicNow();
    fixture.runFor(Duration(300));
    CHECK(fixture.guard.entries().empty());
}

TEST_CASE("prompts that are lost with several engines count once another engine is reached")
{
    PromptGuardFixture fixture;
    for (const char* upstream : { "e1", "e2", "e3", "e4" })
        fixture.guard.onLostWithOthers(upstream, { "part" });
    fixture.reachedAt = monotonicNow() + std::chrono::hours(1);
    while (fixture.guard.entries().empty())
        fixture.runFor(Duration(10));
    CHECK(fixture.guard.entries().front().parts == std::vector<std::string> { "part" });
}
