#include <base/Hash.h>
#include <catch2/catch.hpp>
#include <ledger/Compactor.h>
#include <standin/MemoryLog.h>

using namespace bronzeswitch;

namespace {

constexpr Duration limit { 2000 };

ChangeRecord change(int64_t base, const std::string& author, const std::string& tier, int rank)
{
    ChangeRecord record { randomId(), author, base, {} };
    record.delta.upserts[{ "tier", tier }] = { { "rank", rank } };
    return record;
}

RolloutStepRecord step(int64_t base, RolloutStage stage, double share)
{
    return { randomId(), "r1", "check", "v1", "v2", "n1", base, stage, share, "test" };
}

struct Fixture {
    std::shared_ptr<MemoryLog> log = std::make_shared<MemoryLog>();
    LedgerFollower<MemoryLog> follower { log };

    RecordResult put(const ControlRecord& record)
    {
        log->append(controlStream, toJson(record));
        while (!follower.state()->findRecord(idOf(record)))
            follower.readOnce(Duration(0));
        return *follower.state()->findRecord(idOf(record));
    }
};

} // namespace

TEST_CASE("of two changes on the same base the first in the log wins and the other is named in the audit trail")
{
    Fixture fixture;
    const auto first = fixture.put(change(0, "anna", "urgent", 0));
    const auto second = fixture.put(change(0, "bruno", "urgent", 1));
    CHECK(first.accepted);
    CHECK_FALSE(second.accepted);
    const auto state = fixture.follower.state();
    CHECK(state->revision() == first.offset);
    CHECK(state->document().entries("tier").at("urgent").at("rank") == 0);
    CHECK_FALSE(state->findAudit(second.offset)->accepted);
    CHECK(state->findAudit(first.offset)->author == "anna");
}

TEST_CASE("a record that was appended twice counts once")
{
    Fixture fixture;
    const auto record = change(0, "anna", "urgent", 0);
    const auto first = fixture.put(record);
    fixture.log->append(controlStream, toJson(ControlRecord(record)));
    fixture.follower.readOnce(Duration(0));
    CHECK(fixture.follower.state()->revision() == first.offset);
    CHECK(fixture.follower.state()->audit().size() == 1);
}

TEST_CASE("an append with a lost answer is found and not written again")
{
    Fixture fixture;
    fixture.follower.start();
    fixture.log->setFaults({ false, Duration(0), 1 });
    const auto fate = submit(*fixture.log, fixture.follower, change(0, "anna", "urgent", 0), limit);
    REQUIRE(fate);
    CHECK(fate->accepted);
    CHECK(fixture.log->appendCount() == 1);
}

TEST_CASE("an append to a log that is down is known not to be written")
{
    Fixture fixture;
    fixture.log->setFaults({ true, Duration(0), 0 });
    const auto fate = submit(*fixture.log, fixture.follower, change(0, "anna", "urgent", 0), Duration(1));
    REQUIRE_FALSE(fate);
    CHECK(fate.error().code == ErrorCode::Unavailable);
    CHECK(fixture.log->appendCount() == 0);
}

TEST_CASE("final stages of a rollout are never left")
{
    for (const auto stage : { RolloutStage::Finished, RolloutStage::TakenBack }) {
        Fixture fixture;
        const auto first = fixture.put(step(0, RolloutStage::Canary, 0.05));
        const auto last = fixture.put(step(first.offset, stage, 0));
        REQUIRE(last.accepted);
        CHECK_FALSE(fixture.put(step(last.offset, RolloutStage::Canary, 0.05)).accepted);
        CHECK(fixture.follower.state()->rollouts().at("r1").step.stage == stage);
    }
}

TEST_CASE("of two holders that step a rollout from the same base one wins")
{
    Fixture fixture;
    const auto first = fixture.put(step(0, RolloutStage::Canary, 0.05));
    CHECK(fixture.put(step(first.offset, RolloutStage::TakenBack, 0)).accepted);
    CHECK_FALSE(fixture.put(step(first.offset, RolloutStage::Expanding, 0.25)).accepted);
}

TEST_CASE("a finished rollout sets the route's version until the configuration names another")
{
    Fixture fixture;
    fixture.put(step(0, RolloutStage::Finished, 1));
    const auto state = fixture.follower.state();
    CHECK(state->routeVersion("check", "v1") == "v2");
    CHECK(state->routeVersion("check", "v3") == "v3");
    CHECK(state->routeVersion("other", "v1") == "v1");
}

TEST_CASE("a lease passes only on the fencing number before it")
{
    Fixture fixture;
    const auto first = fixture.put(LeaseRecord { randomId(), "compaction", "n1", 0, Duration(5000) });
    CHECK_FALSE(fixture.put(LeaseRecord { randomId(), "compaction", "n2", 0, Duration(5000) }).accepted);
    const auto second = fixture.put(LeaseRecord { randomId(), "compaction", "n2", first.offset, Duration(5000) });
    CHECK(second.accepted);
    CHECK(second.offset > first.offset);
    CHECK(fixture.follower.state()->leases().at("compaction").holder == "n2");
}

TEST_CASE("an unreadable record is skipped and audited")
{
    const nlohmann::json broken[] = { nullptr, 5, { { "type", "change" } }, { { "type", "nonsense" }, { "id", "x" } },
        { { "type", "change" }, { "id", 7 }, { "author", "a" }, { "base", 0 }, { "delta", 1 } } };
    for (const auto& data : broken) {
        Fixture fixture;
        fixture.log->append(controlStream, data);
        fixture.follower.readOnce(Duration(0));
        CHECK(fixture.follower.state()->nextOffset() == 2);
        CHECK(fixture.follower.state()->revision() == 0);
        CHECK(fixture.follower.state()->audit().size() == 1);
    }
}

TEST_CASE("a state survives its JSON form")
{
    Fixture fixture;
    fixture.put(change(0, "anna", "urgent", 0));
    fixture.put(step(0, RolloutStage::Canary, 0.05));
    fixture.put(LeaseRecord { randomId(), "compaction", "n1", 0, Duration(5000) });
    const auto state = fixture.follower.state();
    const auto copy = LedgerState::fromJson(state->toJson());
    REQUIRE(copy);
    CHECK(copy->toJson() == state->toJson());
}

TEST_CASE("a peer's older state is not adopted")
{
    Fixture fixture;
    fixture.put(change(0, "anna", "urgent", 0));
    const LedgerState old = *fixture.follower.state();
    const auto second = fixture.put(change(old.revision(), "anna", "urgent", 2));
    fixture.follower.adopt(old);
    CHECK(fixture.follower.state()->revision() == second.offset);
}

TEST_CASE("a starting node takes its state from a peer while the log is down")
{
    Fixture running;
    running.put(change(0, "anna", "urgent", 0));
    LedgerFollower<MemoryLog> starting(running.log);
    running.log->setFaults({ true, Duration(0), 0 });
    CHECK_FALSE(starting.readOnce(Duration(0)));
    CHECK_FALSE(starting.isReady());
    starting.adopt(*running.follower.state());
    CHECK(starting.isReady());
    CHECK(starting.state()->revision() == running.follower.state()->revision());
}

TEST_CASE("a snapshot carries the state past the log's retention")
{
    Fixture fixture;
    const auto first = fixture.put(change(0, "anna", "urgent", 0));
    fixture.follower.start();
    Compactor<MemoryLog> compactor(fixture.log, fixture.follower);
    const auto snapshot = compactor.compact(limit);
    REQUIRE(snapshot);
    fixture.log->trim(controlStream, *snapshot);
    LedgerFollower<MemoryLog> late(fixture.log);
    REQUIRE(late.readOnce(Duration(0)));
    CHECK(late.isReady());
    CHECK(late.state()->revision() == first.offset);
    CHECK(late.state()->document() == fixture.follower.state()->document());
}

TEST_CASE("an unconfirmed snapshot is not trusted")
{
    Fixture fixture;
    const auto first = fixture.put(change(0, "anna", "urgent", 0));
    const LedgerState old = *fixture.follower.state();
    fixture.put(change(first.offset, "bruno", "normal", 1));
    const auto snapshot = fixture.put(SnapshotRecord { randomId(), old.toJson() });
    fixture.log->trim(controlStream, snapshot.offset);
    LedgerFollower<MemoryLog> late(fixture.log);
    CHECK_FALSE(late.readOnce(Duration(0)));
    CHECK_FALSE(late.isReady());
}

TEST_CASE("a reader that retention has passed keeps its state until it can rebuild a newer one")
{
    Fixture fixture;
    fixture.put(change(0, "anna", "urgent", 0));
    LedgerFollower<MemoryLog> slow(fixture.log);
    REQUIRE(slow.readOnce(Duration(0)));
    const auto known = slow.state()->revision();
    const auto second = fixture.put(change(known, "anna", "urgent", 3));
    fixture.log->trim(controlStream, second.offset + 1);
    fixture.log->append(controlStream, toJson(ControlRecord(change(known, "carla", "urgent", 4))));
    CHECK_FALSE(slow.readOnce(Duration(0)));
    CHECK(slow.state()->revision() == known);
    fixture.follower.start();
    const auto snapshot = Compactor<MemoryLog>(fixture.log, fixture.follower).compact(limit);
    REQUIRE(snapshot);
    REQUIRE(slow.readOnce(Duration(0)));
    CHECK(slow.state()->revision() == second.offset);
}

TEST_CASE("a follower of an empty log is ready with an empty state")
{
    Fixture fixture;
    REQUIRE(fixture.follower.readOnce(Duration(0)));
    CHECK(fixture.follower.isReady());
    CHECK(fixture.follower.state()->revision() == 0);
}
