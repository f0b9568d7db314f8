#include <base/Hash.h>
#include <catch2/catch.hpp>
#include <ledger/Compactor.h>
#include <standin/MemoryLog.h>

using namespace bronzeswitch;

namespace {

constexpr Duration timeout { 2000 };

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

// A log with a follower, which is driven by append() unless a test starts its thread.
struct Fixture {
    std::shared_ptr<MemoryLog> log = std::make_shared<MemoryLog>();
    LedgerFollower<MemoryLog> follower { log };

    RecordResult append(const ControlRecord& record)
    {
        log->append(controlStream, toJson(record));
        while (!follower.state()->findRecord(idOf(record)))
            follower.readOnce(Duration(0));
        return *follower.state()->findRecord(idOf(record));
    }
};

} // namespace

TEST_CASE("two changes on the same base: the first in the log is accepted and the other is audited as rejected")
{
    Fixture fixture;
    const auto first = fixture.append(change(0, "anna", "urgent", 0));
    const auto second = fixture.append(change(0, "bruno", "urgent", 1));
    CHECK(first.accepted);
    CHECK_FALSE(second.accepted);
    const auto state = fixture.follower.state();
    CHECK(state->revision() == first.offset);
    CHECK(state->document().entries("tier").at("urgent").at("rank") == 0);
    CHECK_FALSE(state->findAudit(second.offset)->accepted);
    CHECK(state->findAudit(first.offset)->author == "anna");
}

TEST_CASE("a record that is appended twice is applied once")
{
    Fixture fixture;
    const auto record = change(0, "anna", "urgent", 0);
    const auto first = fixture.append(record);
    fixture.log->append(controlStream, toJson(ControlRecord(record)));
    fixture.follower.readOnce(Duration(0));
    CHECK(fixture.follower.state()->revision() == first.offset);
    CHECK(fixture.follower.state()->audit().size() == 1);
}

TEST_CASE("a record whose append response is lost is found in the log and not appended again")
{
    Fixture fixture;
    fixture.follower.start();
    fixture.log->setFaults({ false, Duration(0), 1 });
    const auto result = submit(*fixture.log, fixture.follower, change(0, "anna", "urgent", 0), timeout);
    REQUIRE(result);
    CHECK(result->accepted);
    CHECK(fixture.log->appendCount() == 1);
}

TEST_CASE("an append to an unreachable log fails as certainly not appended")
{
    Fixture fixture;
    fixture.log->setFaults({ true, Duration(0), 0 });
    const auto result = submit(*fixture.log, fixture.follower, change(0, "anna", "urgent", 0), Duration(1));
    REQUIRE_FALSE(result);
    CHECK(result.error().code == ErrorCode::Unavailable);
    CHECK(fixture.log->appendCount() == 0);
}

TEST_CASE("a rollout in a final stage rejects every further step")
{
    for (const auto stage : { RolloutStage::Finished, RolloutStage::TakenBack }) {
        Fixture fixture;
        const auto first = fixture.append(step(0, RolloutStage::Canary, 0.05));
        const auto last = fixture.append(step(first.offset, stage, 0));
        REQUIRE(last.accepted);
        CHECK_FALSE(fixture.append(step(last.offset, RolloutStage::Canary, 0.05)).accepted);
        CHECK(fixture.follower.state()->rollouts().at("r1").step.stage == stage);
    }
}

TEST_CASE("two steps of a rollout on the same base: the first in the log is accepted and the other rejected")
{
    Fixture fixture;
    const auto first = fixture.append(step(0, RolloutStage::Canary, 0.05));
    CHECK(fixture.append(step(first.offset, RolloutStage::TakenBack, 0)).accepted);
    CHECK_FALSE(fixture.append(step(first.offset, RolloutStage::Expanding, 0.25)).accepted);
}

TEST_CASE("a finished rollout sets the route's version until the configured version changes")
{
    Fixture fixture;
    fixture.append(step(0, RolloutStage::Finished, 1));
    const auto state = fixture.follower.state();
    CHECK(state->routeVersion("check", "v1") == "v2");
    CHECK(state->routeVersion("check", "v3") == "v3");
    CHECK(state->routeVersion("other", "v1") == "v1");
}

TEST_CASE("a lease record is accepted only if its base is the lease's current fencing number")
{
    Fixture fixture;
    const auto first = fixture.append(LeaseRecord { randomId(), "compaction", "n1", 0, Duration(5000) });
    CHECK_FALSE(fixture.append(LeaseRecord { randomId(), "compaction", "n2", 0, Duration(5000) }).accepted);
    const auto second = fixture.append(LeaseRecord { randomId(), "compaction", "n2", first.offset, Duration(5000) });
    CHECK(second.accepted);
    CHECK(second.offset > first.offset);
    CHECK(fixture.follower.state()->leases().at("compaction").holder == "n2");
}

TEST_CASE("an unreadable record changes nothing but the audit trail")
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

TEST_CASE("a state that is converted to JSON and back is the same")
{
    Fixture fixture;
    fixture.append(change(0, "anna", "urgent", 0));
    fixture.append(step(0, RolloutStage::Canary, 0.05));
    fixture.append(LeaseRecord { randomId(), "compaction", "n1", 0, Duration(5000) });
    const auto state = fixture.follower.state();
    const auto copy = LedgerState::fromJson(state->toJson());
    REQUIRE(copy);
    CHECK(copy->toJson() == state->toJson());
}

TEST_CASE("a peer's state is not adopted if it is older")
{
    Fixture fixture;
    fixture.append(change(0, "anna", "urgent", 0));
    const LedgerState old = *fixture.follower.state();
    const auto second = fixture.append(change(old.revision(), "anna", "urgent", 2));
    fixture.follower.adopt(old);
    CHECK(fixture.follower.state()->revision() == second.offset);
}

TEST_CASE("a node that starts while the log is down adopts the state of a peer")
{
    Fixture running;
    running.append(change(0, "anna", "urgent", 0));
    LedgerFollower<MemoryLog> starting(running.log);
    running.log->setFaults({ true, Duration(0), 0 });
    CHECK_FALSE(starting.readOnce(Duration(0)));
    CHECK_FALSE(starting.isReady());
    starting.adopt(*running.follower.state());
    CHECK(starting.isReady());
    CHECK(starting.state()->revision() == running.follower.state()->revision());
}

TEST_CASE("a follower that starts after the log was trimmed recovers the state from a confirmed snapshot")
{
    Fixture fixture;
    const auto first = fixture.append(change(0, "anna", "urgent", 0));
    fixture.follower.start();
    Compactor<MemoryLog> compactor(fixture.log, fixture.follower);
    const auto snapshot = compactor.compact(timeout);
    REQUIRE(snapshot);
    fixture.log->trim(controlStream, *snapshot);
    LedgerFollower<MemoryLog> restarted(fixture.log);
    REQUIRE(restarted.readOnce(Duration(0)));
    CHECK(restarted.isReady());
    CHECK(restarted.state()->revision() == first.offset);
    CHECK(restarted.state()->document() == fixture.follower.state()->document());
}

TEST_CASE("a follower does not recover from an unconfirmed snapshot")
{
    Fixture fixture;
    const auto first = fixture.append(change(0, "anna", "urgent", 0));
    const LedgerState old = *fixture.follower.state();
    fixture.append(change(first.offset, "bruno", "normal", 1));
    const auto snapshot = fixture.append(SnapshotRecord { randomId(), old.toJson() });
    fixture.log->trim(controlStream, snapshot.offset);
    LedgerFollower<MemoryLog> restarted(fixture.log);
    CHECK_FALSE(restarted.readOnce(Duration(0)));
    CHECK_FALSE(restarted.isReady());
}

TEST_CASE("a follower whose next record was trimmed keeps its state until it can recover a newer one")
{
    Fixture fixture;
    fixture.append(change(0, "anna", "urgent", 0));
    LedgerFollower<MemoryLog> slow(fixture.log);
    REQUIRE(slow.readOnce(Duration(0)));
    const auto known = slow.state()->revision();
    const auto second = fixture.append(change(known, "anna", "urgent", 3));
    fixture.log->trim(controlStream, second.offset + 1);
    fixture.log->append(controlStream, toJson(ControlRecord(change(known, "carla", "urgent", 4))));
    CHECK_FALSE(slow.readOnce(Duration(0)));
    CHECK(slow.state()->revision() == known);
    fixture.follower.start();
    const auto snapshot = Compactor<MemoryLog>(fixture.log, fixture.follower).compact(timeout);
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
