#include <atomic>
#include <catch2/catch.hpp>
#include <claims/ClaimHome.h>
#include <standin/MemoryLog.h>

using namespace bronzeswitch;

namespace {

constexpr Duration validity { 60000 };

// A home, and the responses that it sent to the requesting nodes.
struct Home {
    explicit Home(std::shared_ptr<MemoryLog> log, const std::string& self = "h1", std::vector<std::string> otherNodes = {})
        : peers(std::move(otherNodes))
    {
        ClaimHome<MemoryLog>::Options options;
        options.sendResponse = [this](const std::string& node, const ClaimResponse& response) {
            std::lock_guard lock(mutex);
            responses[{ node, response.id }] = response;
            changed.notify_all();
        };
        options.isLive = [this](const std::string& node) {
            std::lock_guard lock(mutex);
            return node != deadNode;
        };
        options.node = self;
        options.isPreferred = [this] { return isPreferred.load(); };
        options.knownPeers = [this] { return std::vector<std::string>(peers); };
        options.sendDeclaration = [this](const std::string& to, const ClaimDeclaration& declaration) { onDeclaration(to, declaration); };
        options.validity = [] { return validity; };
        options.streamEndOffsets = [this] { return endOffsets; };
        home = std::make_unique<ClaimHome<MemoryLog>>(0, std::move(log), options);
    }

    ClaimResponse request(
        const std::string& node, uint64_t id, const std::string& attempt, ClaimMode mode = ClaimMode::Claim, const std::string& key = "key")
    {
        home->onRequest(node, { id, key, attempt, mode });
        return wait(node, id);
    }

    ClaimResponse wait(const std::string& node, uint64_t id)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return responses.contains({ node, id }); });
        return responses.at({ node, id });
    }

    std::vector<std::string> peers;
    StreamEndOffsets endOffsets { std::nullopt, 0 };
    std::atomic<bool> isPreferred = true;
    std::function<void(const std::string&, const ClaimDeclaration&)> onDeclaration = [](const std::string&, const ClaimDeclaration&) {};
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, uint64_t>, ClaimResponse> responses;
    std::string deadNode;
    std::unique_ptr<ClaimHome<MemoryLog>> home;
};

// A batch that the owner n1#1 writes in term 1.
ClaimBatch ownerBatch(const std::string& id, std::vector<ClaimRecord> claims, std::vector<ClaimOutcome> outcomes = {})
{
    ClaimBatch batch;
    batch.id = id;
    batch.term = 1;
    batch.owner = "n1#1";
    batch.claims = std::move(claims);
    batch.outcomes = std::move(outcomes);
    return batch;
}

// A batch by which an owner takes the partition over from the owner of the base term.
ClaimBatch takeover(const std::string& owner, int64_t base, int64_t quietMs = 0)
{
    ClaimBatch batch;
    batch.id = owner + std::to_string(base);
    batch.term = base;
    batch.ownership = OwnershipRecord { owner, base, quietMs };
    return batch;
}

LogRecord record(int64_t offset, int64_t timeMs, const ClaimBatch& batch) { return { offset, timeMs, toJson(batch) }; }

} // namespace

TEST_CASE("the first claim of a key wins and its outcome answers every later request")
{
    Home home(std::make_shared<MemoryLog>());
    CHECK(home.request("n1", 1, "a1", ClaimMode::LookUp).state == ClaimState::Free);
    CHECK(home.request("n1", 2, "a1").state == ClaimState::Granted);
    home.home->onOutcome({ "key", "a1", 200, "text/plain", "signed" });
    const auto response = home.request("n2", 1, "a2");
    CHECK(response.state == ClaimState::Recorded);
    CHECK(response.status == 200);
    CHECK(response.body == "signed");
}

TEST_CASE("a request for a key with a running attempt waits for that attempt's outcome")
{
    Home home(std::make_shared<MemoryLog>());
    CHECK(home.request("n1", 1, "a1").state == ClaimState::Granted);
    home.home->onRequest("n2", { 1, "key", "a2", ClaimMode::Claim });
    home.home->onOutcome({ "key", "a1", 201, "", "" });
    CHECK(home.wait("n2", 1).state == ClaimState::Recorded);
}

TEST_CASE("two nodes that both act as the home grant a key once")
{
    auto log = std::make_shared<MemoryLog>();
    Home first(log);
    Home second(log);
    first.home->onRequest("n1", { 1, "key", "a1", ClaimMode::Claim });
    second.home->onRequest("n2", { 1, "key", "a2", ClaimMode::Claim });
    const auto firstState = first.wait("n1", 1).state;
    const auto secondState = second.wait("n2", 1).state;
    CHECK((firstState == ClaimState::Granted) != (secondState == ClaimState::Granted));
}

TEST_CASE("a claim that the same attempt resends to a new home is granted again")
{
    auto log = std::make_shared<MemoryLog>();
    {
        Home first(log);
        CHECK(first.request("n1", 1, "a1").state == ClaimState::Granted);
    }
    Home second(log);
    CHECK(second.request("n1", 1, "a1").state == ClaimState::Granted);
    CHECK(second.request("n2", 2, "a2").state == ClaimState::Running);
}

TEST_CASE("the outcome of a dead node's attempt is unknown, since it may have run")
{
    Home home(std::make_shared<MemoryLog>());
    CHECK(home.request("n1", 1, "a1").state == ClaimState::Granted);
    {
        std::lock_guard lock(home.mutex);
        home.deadNode = "n1";
    }
    CHECK(home.request("n2", 1, "a2").state == ClaimState::Unknown);
}

TEST_CASE("an attempt that is recorded as not run frees its key")
{
    Home home(std::make_shared<MemoryLog>());
    CHECK(home.request("n1", 1, "a1").state == ClaimState::Granted);
    home.home->onOutcome({ "key", "a1", 0, "", "" });
    CHECK(home.request("n2", 1, "a2").state == ClaimState::Granted);
}

TEST_CASE("a claim is granted in spite of a slow log or lost responses, but not while the log is down")
{
    struct Case {
        const char* name;
        LogFaults faults;
        ClaimState expected;
    };
    const Case cases[] = {
        { "down", { true, Duration(0), 0 }, ClaimState::Unavailable },
        { "slow", { false, Duration(100), 0 }, ClaimState::Granted },
        { "response lost after the append", { false, Duration(0), 1 }, ClaimState::Granted },
        { "three responses lost", { false, Duration(0), 3 }, ClaimState::Granted },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.name);
        auto log = std::make_shared<MemoryLog>();
        log->setFaults(entry.faults);
        Home home(log);
        CHECK(home.request("n1", 1, "a1").state == entry.expected);
    }
}

TEST_CASE("a request for a recorded outcome is answered while the log is down")
{
    auto log = std::make_shared<MemoryLog>();
    Home home(log);
    CHECK(home.request("n1", 1, "a1").state == ClaimState::Granted);
    home.home->onOutcome({ "key", "a1", 200, "", "done" });
    CHECK(home.request("n2", 1, "a2").state == ClaimState::Recorded);
    log->setFaults({ true, Duration(0), 0 });
    CHECK(home.request("n3", 1, "a3").state == ClaimState::Recorded);
}

TEST_CASE("claims that arrive during an append are batched into the next one")
{
    auto log = std::make_shared<MemoryLog>();
    log->setFaults({ false, Duration(50), 0 });
    Home home(log);
    constexpr uint64_t requests = 40;
    for (uint64_t id = 1; id <= requests; ++id)
        home.home->onRequest("n1", { id, "key-" + std::to_string(id), "a" + std::to_string(id), ClaimMode::Claim });
    for (uint64_t id = 1; id <= requests; ++id)
        CHECK(home.wait("n1", id).state == ClaimState::Granted);
    CHECK(log->appendCount() <= 3);
}

TEST_CASE("a key expires exactly at the end of its validity by the log's clock")
{
    ClaimPartition partition;
    partition.apply(record(1, 900, takeover("n1#1", 0)));
    partition.apply(record(2, 1000, ownerBatch("b1", { { "k", "a1", "n1", 500 } })));
    partition.apply(record(3, 1499, ownerBatch("b2", { { "k", "a2", "n2", 500 } })));
    CHECK(partition.find("k")->attempt == "a1");
    partition.apply(record(4, 1500, ownerBatch("b3", { { "k", "a3", "n3", 500 } })));
    CHECK(partition.find("k")->attempt == "a3");
}

TEST_CASE("a reader that missed trimmed records knows a key to be free only after the validity has passed")
{
    ClaimPartition partition;
    partition.onTrimmed(50, 10000);
    partition.apply(record(50, 10000, ownerBatch("b1", {})));
    CHECK_FALSE(partition.isHistoryComplete(500));
    partition.apply(record(51, 10499, ownerBatch("b2", {})));
    CHECK_FALSE(partition.isHistoryComplete(500));
    partition.apply(record(52, 10500, ownerBatch("b3", {})));
    CHECK(partition.isHistoryComplete(500));
}

TEST_CASE("claims of an owner whose term has ended are ignored, its outcomes are applied")
{
    ClaimPartition partition;
    partition.apply(record(1, 900, takeover("n1#1", 0)));
    partition.apply(record(2, 1000, ownerBatch("b1", { { "k1", "a1", "n1", 500 } })));
    partition.apply(record(3, 1000, takeover("n2#1", 1)));
    CHECK(partition.owner() == "n2#1");
    partition.apply(record(4, 1000, ownerBatch("b2", { { "k2", "a2", "n1", 500 } }, { { "k1", "a1", 200, "", "" } })));
    CHECK_FALSE(partition.find("k2"));
    CHECK(partition.find("k1")->outcome->status == 200);
}

TEST_CASE("two takeovers on the same base: the first in the log is accepted")
{
    ClaimPartition partition;
    partition.apply(record(1, 900, takeover("n1#1", 0)));
    partition.apply(record(2, 900, takeover("n2#1", 0)));
    CHECK(partition.owner() == "n1#1");
    CHECK(partition.term() == 1);
}

TEST_CASE("a reader that missed the takeover learns the owner from its next batch")
{
    ClaimPartition partition;
    partition.onTrimmed(50, 10000);
    auto batch = ownerBatch("b1", { { "k", "a1", "n1", 500 } });
    batch.term = 7;
    partition.apply(record(50, 10000, batch));
    CHECK(partition.owner() == "n1#1");
    CHECK(partition.term() == 7);
    CHECK(partition.find("k"));
}

TEST_CASE("an ownership that the log has trimmed is taken over only after no owner has written for the stated time")
{
    for (const int64_t quietMs : { 499, 500 }) {
        ClaimPartition fullReader;
        fullReader.apply(record(1, 10000, takeover("n1#1", 0)));
        ClaimPartition lateReader;
        lateReader.onTrimmed(2, 10000);
        const auto takeoverRecord = record(2, 10000 + quietMs, takeover("n2#1", unknownBase, 500));
        fullReader.apply(takeoverRecord);
        lateReader.apply(takeoverRecord);
        CHECK(fullReader.owner() == (quietMs < 500 ? "n1#1" : "n2#1"));
        CHECK(lateReader.owner() == (quietMs < 500 ? "" : "n2#1"));
    }
}

TEST_CASE("a home whose stream was trimmed answers unknown until the validity has passed")
{
    auto log = std::make_shared<MemoryLog>();
    {
        Home first(log);
        CHECK(first.request("n1", 1, "a1").state == ClaimState::Granted);
    }
    log->trim(ClaimPartition::streamOf(0), 100);
    Home second(log);
    CHECK(second.request("n2", 1, "a2").state == ClaimState::Unknown);
    // The home appends an empty batch to get the log's time, from which the validity counts.
    while (log->appendCount() < 2)
        std::this_thread::yield();
    log->advanceClock(validity);
    ClaimState state = ClaimState::Unknown;
    for (uint64_t id = 2; state == ClaimState::Unknown; ++id)
        state = second.request("n2", id, "a2").state;
    CHECK(state == ClaimState::Granted);
}

TEST_CASE("an outcome of an attempt that did not win the key is ignored")
{
    ClaimPartition partition;
    partition.apply(record(1, 900, takeover("n1#1", 0)));
    partition.apply(record(2, 1000, ownerBatch("b1", { { "k", "a1", "n1", 500 } }, { { "k", "a9", 200, "", "" } })));
    CHECK_FALSE(partition.find("k")->outcome);
}

TEST_CASE("a batch that is converted to JSON and back is the same, and malformed JSON is rejected")
{
    auto batch = ownerBatch("b", { { "k", "a", "n", 5 } }, { { "k", "a", 200, "t", "body" } });
    batch.ownership = OwnershipRecord { "n1#1", 4, 9 };
    batch.endedEpisode = "ep";
    batch.peers = { "n2", "n3" };
    CHECK(*claimBatchFromJson(toJson(batch)) == batch);
    const nlohmann::json broken[]
        = { nullptr, 3, { { "id", "x" } }, { { "id", "x" }, { "claims", { { 1, 2 } } }, { "outcomes", nlohmann::json::array() } } };
    for (const auto& value : broken)
        CHECK_FALSE(claimBatchFromJson(value));
}

namespace {

// Two homes on one log. The second one's promises reach the first while isLinked is set.
struct Pair {
    explicit Pair(std::shared_ptr<MemoryLog> sharedLog)
        : log(std::move(sharedLog))
        , first(log, "h1", { "h2" })
        , second(log, "h2", { "h1" })
    {
        second.isPreferred = false;
        first.onDeclaration = [this](const std::string&, const ClaimDeclaration& declaration) {
            if (isLinked && second.home->onDeclaration(declaration))
                first.home->onDeclarationAck("h2", { declaration.partition, declaration.episode, declaration.round });
        };
    }

    void disconnectLog() { log->setFaults({ true, Duration(0), 0 }); }
    void reconnectLog() { log->setFaults({}); }

    std::shared_ptr<MemoryLog> log;
    std::atomic<bool> isLinked = true;
    Home first;
    Home second;
};

} // namespace

TEST_CASE("the owner grants claims without the log once every known node has promised not to take over")
{
    Pair pair(std::make_shared<MemoryLog>());
    REQUIRE(pair.first.request("n1", 1, "a0", ClaimMode::Claim, "earlier").state == ClaimState::Granted);
    pair.disconnectLog();
    CHECK(pair.first.request("n1", 2, "a1").state == ClaimState::Granted);
    pair.first.home->onOutcome({ "key", "a1", 200, "", "done" });
    CHECK(pair.first.request("n2", 3, "a2").state == ClaimState::Recorded);
    CHECK(pair.second.request("n3", 4, "a3").state == ClaimState::Unavailable);
    pair.reconnectLog();
    // The next owner finds in the log what was granted while it was unreachable.
    pair.first.isPreferred = false;
    pair.second.isPreferred = true;
    ClaimState state = ClaimState::Unavailable;
    for (uint64_t id = 5; state == ClaimState::Unavailable; ++id)
        state = pair.second.request("n3", id, "a4").state;
    CHECK(state == ClaimState::Recorded);
}

TEST_CASE("an owner that may miss claims of the previous owner's episode does not release the partition")
{
    auto log = std::make_shared<MemoryLog>();
    Pair pair(log);
    REQUIRE(pair.first.request("n1", 1, "a0", ClaimMode::Claim, "earlier").state == ClaimState::Granted);
    pair.disconnectLog();
    REQUIRE(pair.first.request("n1", 2, "a1").state == ClaimState::Granted);
    // The owner dies before it could log its grant. The other node takes over and is then no longer preferred as the owner.
    pair.first.home.reset();
    pair.reconnectLog();
    pair.second.isPreferred = true;
    ClaimState state = ClaimState::Unavailable;
    for (uint64_t id = 3; state == ClaimState::Unavailable; ++id)
        state = pair.second.request("n2", id, "a2").state;
    CHECK(state == ClaimState::Unknown);
    pair.second.isPreferred = false;
    pair.second.home->onMembersChanged();
    Home restarted(log, "h1", { "h2" });
    CHECK(restarted.request("n3", 1, "a3").state != ClaimState::Granted);
    CHECK(pair.second.home->isOwner());
}

TEST_CASE("without the log, an owner that lacks a promise and a node that is not the owner answer unavailable")
{
    Pair pair(std::make_shared<MemoryLog>());
    pair.isLinked = false;
    REQUIRE(pair.first.request("n1", 1, "a0", ClaimMode::Claim, "earlier").state == ClaimState::Granted);
    pair.disconnectLog();
    CHECK(pair.first.request("n1", 2, "a1").state == ClaimState::Unavailable);
    CHECK(pair.second.request("n1", 3, "a2").state == ClaimState::Unavailable);
}

TEST_CASE("an attempt granted without the log that is recorded as not run frees its key at once")
{
    Pair pair(std::make_shared<MemoryLog>());
    REQUIRE(pair.first.request("n1", 1, "a0", ClaimMode::Claim, "earlier").state == ClaimState::Granted);
    pair.disconnectLog();
    CHECK(pair.first.request("n1", 2, "a1").state == ClaimState::Granted);
    pair.first.home->onOutcome({ "key", "a1", 0, "", "" });
    CHECK(pair.first.request("n1", 3, "a2").state == ClaimState::Granted);
}

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
const ClaimTiming timing { Duration(1000) };
const StreamEndOffsets knownToAll { std::nullopt, 0 };

ClaimPartition ownedBy(const std::string& owner)
{
    ClaimPartition partition;
    partition.apply(record(1, 1000, takeover(owner, 0)));
    return partition;
}

} // namespace

TEST_CASE("a partition is taken over only after its owner's lease has expired")
{
    const auto partition = ownedBy("h1#1");
    ClaimOwnership other("h2", timing);
    other.onCaughtUp(partition, start, knownToAll);
    CHECK_FALSE(other.mayTakeOver(partition, validity, start + Duration(999)));
    CHECK(other.mayTakeOver(partition, validity, start + Duration(1000)));
}

TEST_CASE("a node that the owner may not have known does not take over")
{
    const auto partition = ownedBy("h1#1");
    ClaimOwnership restarted("h2", timing);
    restarted.onCaughtUp(partition, start, {});
    CHECK_FALSE(restarted.mayTakeOver(partition, validity, start + Duration(5000)));
    ClaimOwnership newcomer("h3", timing);
    newcomer.onCaughtUp(partition, start, { std::nullopt, 2 });
    CHECK_FALSE(newcomer.mayTakeOver(partition, validity, start + Duration(5000)));
}

TEST_CASE("a newly started node takes over only if the owner has listed it as a peer since this start")
{
    auto partition = ownedBy("h1#1");
    auto renewal = ownerBatch("r", {});
    renewal.owner = "h1#1";
    renewal.peers = { "h2", "h3" };
    partition.apply(record(2, 1000, renewal));
    struct Case {
        const char* node;
        int64_t endOffsetAtStart;
        bool mayTakeOver;
    };
    const Case cases[] = { { "h2", 1, true }, { "h2", 2, true }, { "h2", 3, false }, { "h4", 1, false }, { "h1", 3, false } };
    for (const auto& entry : cases) {
        CAPTURE(entry.node, entry.endOffsetAtStart);
        ClaimOwnership restarted(entry.node, timing);
        restarted.onCaughtUp(partition, start, { entry.endOffsetAtStart, std::nullopt });
        CHECK(restarted.mayTakeOver(partition, validity, start + Duration(1000)) == entry.mayTakeOver);
    }
}

TEST_CASE("a takeover discards the peers that the previous owner listed")
{
    auto partition = ownedBy("h1#1");
    auto renewal = ownerBatch("r", {});
    renewal.peers = { "h2", "h3" };
    partition.apply(record(2, 1000, renewal));
    partition.apply(record(3, 1000, takeover("h3#1", 1)));
    CHECK(partition.listedPeers().empty());
}

TEST_CASE("the owner lists its peers again after the duration of a lease and when they change")
{
    auto partition = ownedBy("h1#1");
    auto renewal = ownerBatch("r", {});
    renewal.peers = { "h2" };
    partition.apply(record(2, 1000, renewal));
    ClaimOwnership owner("h1", timing);
    owner.onAppended(partition, renewal, start, start);
    CHECK(owner.isPeerListDue(partition, { "h2" }, start + timing.leaseDuration));
    CHECK(owner.isPeerListDue(partition, { "h2", "h3" }, start + Duration(10)));
}

TEST_CASE("a promise blocks a takeover for its time; an owner that took over during an episode may miss claims for the validity")
{
    auto partition = ownedBy("h1#1");
    ClaimOwnership other("h2", timing);
    other.onCaughtUp(partition, start, knownToAll);
    REQUIRE(other.promise({ 0, "h1#1", "ep", 1, 1000 }, partition, start + Duration(900)));
    CHECK_FALSE(other.mayTakeOver(partition, validity, start + Duration(1899)));
    CHECK(other.mayTakeOver(partition, validity, start + Duration(1900)));
    const auto ownershipRecord = other.beginTakeover(partition, validity);
    ClaimBatch batch;
    batch.id = "t";
    batch.term = 1;
    batch.ownership = ownershipRecord;
    partition.apply(record(2, 2000, batch));
    REQUIRE(other.owns(partition));
    other.onAppended(partition, batch, start + Duration(1900), start + Duration(1950));
    CHECK(other.mayMissClaims(Duration(500), start + Duration(2000)));
    CHECK_FALSE(other.mayMissClaims(Duration(500), start + Duration(2450)));
}

TEST_CASE("a node whose own takeover may still reach the log does not promise")
{
    const auto partition = ownedBy("h1#1");
    ClaimOwnership other("h2", timing);
    other.onCaughtUp(partition, start, knownToAll);
    other.beginTakeover(partition, validity);
    CHECK_FALSE(other.promise({ 0, "h1#1", "ep", 1, 1000 }, partition, start));
}

TEST_CASE("an owner grants claims without the log only during its lease, which a full round of promises extends")
{
    ClaimPartition partition;
    ClaimOwnership owner("h1", timing);
    ClaimBatch batch;
    batch.id = "t";
    batch.ownership = owner.beginTakeover(partition, validity);
    partition.apply(record(1, 1000, batch));
    owner.onAppended(partition, batch, start, start);
    CHECK_FALSE(owner.mayGrantWithoutLog(partition, start + Duration(100)));
    const auto first = owner.nextDeclaration(partition, 0, { "h2", "h3" }, start + Duration(500));
    REQUIRE(first);
    owner.onAck("h2", { 0, first->episode, first->round });
    CHECK_FALSE(owner.mayGrantWithoutLog(partition, start + Duration(600)));
    owner.onAck("h3", { 0, first->episode, first->round });
    CHECK(owner.mayGrantWithoutLog(partition, start + Duration(1399)));
    CHECK_FALSE(owner.mayGrantWithoutLog(partition, start + Duration(1400)));
    CHECK_FALSE(owner.nextDeclaration(partition, 0, { "h2" }, start + Duration(1400)));
}

TEST_CASE("an owner grants claims through a log outage of 30 min while every round gets all promises")
{
    ClaimPartition partition;
    ClaimOwnership owner("h1", timing);
    ClaimBatch batch;
    batch.id = "t";
    batch.ownership = owner.beginTakeover(partition, validity);
    partition.apply(record(1, 1000, batch));
    owner.onAppended(partition, batch, start, start);
    int granted = 0;
    int rounds = 0;
    constexpr Duration step { 100 };
    constexpr Duration outage = std::chrono::minutes(30);
    constexpr Duration responseDelay { 50 };
    for (Duration time = step; time <= outage; time += step) {
        if (const auto declaration = owner.nextDeclaration(partition, 0, { "h2" }, start + time)) {
            ++rounds;
            owner.onAck("h2", { 0, declaration->episode, declaration->round });
        }
        granted += owner.mayGrantWithoutLog(partition, start + time + responseDelay);
    }
    CHECK(granted == outage / step);
    // A round is due after a third of the lease, which is 400 ms when rounded up to the step of the clock.
    CHECK(rounds == outage / Duration(400));
    // Without promises for the next round, granting stops when the lease expires.
    CHECK_FALSE(owner.mayGrantWithoutLog(partition, start + outage + timing.leaseDuration));
}
