#include <catch2/catch.hpp>
#include <operator/Publisher.h>
#include <operator/Table.h>
#include <standin/MemoryLog.h>

using namespace bronzeswitch;

namespace {

ConfigDocument documentWith(const std::string& tier, int rank)
{
    return *ConfigDocument::fromJson({ { "tier/" + tier, { { "rank", rank } } } });
}

} // namespace

TEST_CASE("a change is published once, and publishing an equal document appends nothing")
{
    auto log = std::make_shared<MemoryLog>();
    const auto firstPlan = Publisher<MemoryLog>(log).plan(documentWith("urgent", 0));
    REQUIRE(firstPlan);
    const auto published = Publisher<MemoryLog>(log).publish(*firstPlan, "anna");
    REQUIRE(published);
    CHECK(published->revision == 1);
    Publisher<MemoryLog> secondPublisher(log);
    const auto plan = secondPublisher.plan(documentWith("urgent", 0));
    CHECK(plan->delta.isEmpty());
    CHECK(secondPublisher.publish(*plan, "anna")->revision == 1);
    CHECK(log->appendCount() == 1);
}

TEST_CASE("one of two concurrent publications is accepted, and the other fails with a conflict that states the accepted change")
{
    auto log = std::make_shared<MemoryLog>();
    Publisher<MemoryLog> anna(log);
    Publisher<MemoryLog> bruno(log);
    const auto annasPlan = anna.plan(documentWith("urgent", 0));
    const auto brunosPlan = bruno.plan(documentWith("normal", 1));
    REQUIRE(anna.publish(*annasPlan, "anna"));
    const auto rejected = bruno.publish(*brunosPlan, "bruno");
    REQUIRE_FALSE(rejected);
    CHECK(rejected.error().code == ErrorCode::Conflict);
    CHECK_THAT(rejected.error().message, Catch::Contains("revision 1 by anna (set tier/urgent)"));
}

TEST_CASE("a change whose response was lost is found in the log, and an unreachable log is reported")
{
    auto log = std::make_shared<MemoryLog>();
    Publisher<MemoryLog> anna(log);
    const auto plan = anna.plan(documentWith("urgent", 0));
    log->setFaults({ false, Duration(0), 1 });
    CHECK(anna.publish(*plan, "anna")->revision == 1);
    CHECK(log->appendCount() == 1);
    log->setFaults({ true, Duration(0), 0 });
    CHECK(Publisher<MemoryLog>(log).plan(documentWith("urgent", 1)).error().code == ErrorCode::Unavailable);
}

TEST_CASE("a change is described with one line per entry")
{
    const auto before = documentWith("urgent", 0);
    ConfigDelta delta;
    delta.upserts[{ "tier", "urgent" }] = { { "rank", 2 } };
    delta.upserts[{ "tier", "normal" }] = { { "rank", 1 } };
    delta.removals.push_back({ "tier", "old" });
    CHECK(describeChange(before, delta) == "+ tier/normal {\"rank\":1}\n~ tier/urgent {\"rank\":0} -> {\"rank\":2}\n- tier/old\n");
}

TEST_CASE("a table is aligned and shows missing values as a dash")
{
    const nlohmann::json rows { { { "a", "x" }, { "b", 10 } }, { { "a", "longer" } } };
    CHECK(formatTable(rows, { { "a", "NAME" }, { "b", "COUNT" } }) == "NAME    COUNT\nx       10\nlonger  -\n");
}
