#include <atomic>
#include <catch2/catch.hpp>
#include <claims/ClaimHome.h>
#include <standin/MemoryLog.h>

using namespace bronzeswitch;

namespace {

constexpr Duration validity { 60000 };

// A home with its answers, as the asking nodes would get them.
struct Home {
    explicit Home(std::shared_ptr<MemoryLog> log, const std::string& self = "h1", std::vector<std::string> others = {})
        : peers(std::move(others))
    {
        ClaimHome<MemoryLog>::Options options;
        options.answer = [this](const std::string& node, const ClaimResponse& answer) {
            std::lock_guard lock(mutex);
            answers[{ node, answer.id }] = answer;
            changed.notify_all();
        };
        options.isLive = [this](const std::string& node) {
            std::lock_guard lock(mutex);
            return node != deadNode;
        };
        options.node = self;
        options.isPreferred = [this] { return isPreferred.load(); };
        options.knownPeers = [this] { return std::vector<std::string>(peers); };
        options.declare = [this](const std::string& to, const ClaimDeclaration& declaration) { onDeclare(to, declaration); };
        options.validity = [] { return validity; };
        options.streamEnds = [this] { return ends; };
        home = std::make_unique<ClaimHome<MemoryLog>>(0, std::move(log), options);
    }

    ClaimResponse ask(
        const std::string& node, uint64_t id, const std::string& attempt, ClaimMode mode = ClaimMode::Claim, const std::string& key = "key")
    {
        home->ask(node, { id, key, attempt, mode });
        return wait(node, id);
    }

    ClaimResponse wait(const std::string& node, uint64_t id)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return answers.contains({ node, id }); });
        return answers.at({ node, id });
    }

    std::vector<std::string> peers;
    StreamEnds ends { std::nullopt, 0 };
    std::atomic<bool> isPreferred = true;
    std::function<void(const std::string&, const ClaimDeclaration&)> onDeclare = [](const std::string&, const ClaimDeclaration&) {};
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, uint64_t>, ClaimResponse> answers;
    std::string deadNode;
    std::unique_ptr<ClaimHome<MemoryLog>> home;
};

ClaimBatch batchOf(const std::string& id, std::vector<ClaimRecord> claims, std::vector<ClaimOutcome> outcomes = {})
{
    ClaimBatch batch;
    batch.id = id;
    batch.term = 1;
    batch.owner = "n1#1";
    batch.claims = std::move(claims);
    batch.outcomes = std::move(outcomes);
    return batch;
}

ClaimBatch takeOver(const std::string& owner, int64_t base, int64_t quietMs = 0)
{
    ClaimBatch batch;
    batch.id = owner + std::to_string(base);
    batch.term = base;
    batch.ownership = OwnershipRecord { owner, base, quietMs };
    return batch;
}

LogRecord record(int64_t offset, int64_t timeMs, const ClaimBatch& batch) { return { offset, timeMs, toJson(batch) }; }

} // namespace

TEST_CASE("the first claim wins and its outcome answers every later ask")
{
    Home home(std::make_shared<MemoryLog>());
    CHECK(home.ask("n1", 1, "a1", ClaimMode::LookUp).state == ClaimState::Free);
    CHECK(home.ask("n1", 2, "a1").state == ClaimState::Granted);
    home.home->record({ "key", "a1", 200, "text/plain", "signed" });
    const auto answer = home.ask("n2", 1, "a2");
    CHECK(answer.state == ClaimState::Recorded);
    CHECK(answer.status == 200);
    CHECK(answer.body == "signed");
}

TEST_CASE("an ask joins the running attempt and gets its outcome")
{
    Home home(std::make_shared<MemoryLog>());
    CHECK(home.ask("n1", 1, "a1").state == ClaimState::Granted);
    home.home->ask("n2", { 1, "key", "a2", ClaimMode::Claim });
    home.home->record({ "key", "a1", 201, "", "" });
    CHECK(home.wait("n2", 1).state == ClaimState::Recorded);
}

TEST_CASE("two homes that both believe to be the home grant a key once")
{
    auto log = std::make_shared<MemoryLog>();
    Home first(log);
    Home second(log);
    first.home->ask("n1", { 1, "key", "a1", ClaimMode::Claim });
    second.home->ask("n2", { 1, "key", "a2", ClaimMode::Claim });
    const auto one = first.wait("n1", 1).state;
    const auto two = second.wait("n2", 1).state;
    CHECK((one == ClaimState::Granted) != (two == ClaimState::Granted));
}

TEST_CASE("asking again with the same attempt at a new home is granted again")
{
    auto log = std::make_shared<MemoryLog>();
    {
        Home first(log);
        CHECK(first.ask("n1", 1, "a1").state == ClaimState::Granted);
    }
    Home second(log);
    CHECK(second.ask("n1", 1, "a1").state == ClaimState::Granted);
    CHECK(second.ask("n2", 2, "a2").state == ClaimState::Running);
}

TEST_CASE("the attempt of a dead node is unknown, since it may have run")
{
    Home home(std::make_shared<MemoryLog>());
    CHECK(home.ask("n1", 1, "a1").state == ClaimState::Granted);
    {
        std::lock_guard lock(home.mutex);
        home.deadNode = "n1";
    }
    CHECK(home.ask("n2", 1, "a2").state == ClaimState::Unknown);
}

TEST_CASE("an attempt that was not run frees its key")
{
    Home home(std::make_shared<MemoryLog>());
    CHECK(home.ask("n1", 1, "a1").state == ClaimState::Granted);
    home.home->record({ "key", "a1", 0, "", "" });
    CHECK(home.ask("n2", 1, "a2").state == ClaimState::Granted);
}

TEST_CASE("faults of the log: what an ask is answered")
{
    struct Case {
        const char* name;
        LogFaults faults;
        ClaimState expected;
    };
    const Case cases[] = {
        { "down", { true, Duration(0), 0 }, ClaimState::Unavailable },
        { "slow", { false, Duration(100), 0 }, ClaimState::Granted },
        { "answer lost after the effect", { false, Duration(0), 1 }, ClaimState::Granted },
        { "three answers lost", { false, Duration(0), 3 }, ClaimState::Granted },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.name);
        auto log = std::make_shared<MemoryLog>();
        log->setFaults(entry.faults);
        Home home(log);
        CHECK(home.ask("n1", 1, "a1").state == entry.expected);
    }
}

TEST_CASE("a recorded outcome is answered while the log is down")
{
    auto log = std::make_shared<MemoryLog>();
    Home home(log);
    CHECK(home.ask("n1", 1, "a1").state == ClaimState::Granted);
    home.home->record({ "key", "a1", 200, "", "done" });
    CHECK(home.ask("n2", 1, "a2").state == ClaimState::Recorded);
    log->setFaults({ true, Duration(0), 0 });
    CHECK(home.ask("n3", 1, "a3").state == ClaimState::Recorded);
}

TEST_CASE("claims that arrive together are committed together")
{
    auto log = std::make_shared<MemoryLog>();
    log->setFaults({ false, Duration(50), 0 });
    Home home(log);
    constexpr uint64_t asks = 40;
    for (uint64_t id = 1; id <= asks; ++id)
        home.home->ask("n1", { id, "key-" + std::to_string(id), "a" + std::to_string(id), ClaimMode::Claim });
    for (uint64_t id = 1; id <= asks; ++id)
        CHECK(home.wait("n1", id).state == ClaimState::Granted);
    CHECK(log->appendCount() <= 3);
}

TEST_CASE("a key expires by the log's clock and not before")
{
    ClaimPartition partition;
    partition.apply(record(1, 900, takeOver("n1#1", 0)));
    partition.apply(record(2, 1000, batchOf("b1", { { "k", "a1", "n1", 500 } })));
    partition.apply(record(3, 1499, batchOf("b2", { { "k", "a2", "n2", 500 } })));
    CHECK(partition.find("k")->attempt == "a1");
    partition.apply(record(4, 1500, batchOf("b3", { { "k", "a3", "n3", 500 } })));
    CHECK(partition.find("k")->attempt == "a3");
}

TEST_CASE("a reader that retention has passed vouches only after the validity")
{
    ClaimPartition partition;
    partition.noteRetention(50, 10000);
    partition.apply(record(50, 10000, batchOf("b1", {})));
    CHECK_FALSE(partition.canVouch(500));
    partition.apply(record(51, 10499, batchOf("b2", {})));
    CHECK_FALSE(partition.canVouch(500));
    partition.apply(record(52, 10500, batchOf("b3", {})));
    CHECK(partition.canVouch(500));
}

TEST_CASE("claims of an owner whose term is over are void, its outcomes are not")
{
    ClaimPartition partition;
    partition.apply(record(1, 900, takeOver("n1#1", 0)));
    partition.apply(record(2, 1000, batchOf("b1", { { "k1", "a1", "n1", 500 } })));
    partition.apply(record(3, 1000, takeOver("n2#1", 1)));
    CHECK(partition.owner() == "n2#1");
    partition.apply(record(4, 1000, batchOf("b2", { { "k2", "a2", "n1", 500 } }, { { "k1", "a1", 200, "", "" } })));
    CHECK_FALSE(partition.find("k2"));
    CHECK(partition.find("k1")->outcome->status == 200);
}

TEST_CASE("of two take-overs on one base the first in the log wins")
{
    ClaimPartition partition;
    partition.apply(record(1, 900, takeOver("n1#1", 0)));
    partition.apply(record(2, 900, takeOver("n2#1", 0)));
    CHECK(partition.owner() == "n1#1");
    CHECK(partition.term() == 1);
}

TEST_CASE("a reader that missed the take-over learns the owner from its next batch")
{
    ClaimPartition partition;
    partition.noteRetention(50, 10000);
    auto batch = batchOf("b1", { { "k", "a1", "n1", 500 } });
    batch.term = 7;
    partition.apply(record(50, 10000, batch));
    CHECK(partition.owner() == "n1#1");
    CHECK(partition.term() == 7);
    CHECK(partition.find("k"));
}

TEST_CASE("a forgotten ownership passes only after a quiet time")
{
    for (const int64_t quiet : { 499, 500 }) {
        ClaimPartition whole;
        whole.apply(record(1, 10000, takeOver("n1#1", 0)));
        ClaimPartition late;
        late.noteRetention(2, 10000);
        const auto take = record(2, 10000 + quiet, takeOver("n2#1", forgottenBase, 500));
        whole.apply(take);
        late.apply(take);
        CHECK(whole.owner() == (quiet < 500 ? "n1#1" : "n2#1"));
        CHECK(late.owner() == (quiet < 500 ? "" : "n2#1"));
    }
}

TEST_CASE("a home whose stream was forgotten refuses with unknown until the validity has passed")
{
    auto log = std::make_shared<MemoryLog>();
    {
        Home first(log);
        CHECK(first.ask("n1", 1, "a1").state == ClaimState::Granted);
    }
    log->trim(ClaimPartition::streamOf(0), 100);
    Home second(log);
    CHECK(second.ask("n2", 1, "a2").state == ClaimState::Unknown);
    // The home appends an empty batch to learn the log's time; the validity counts from there.
    while (log->appendCount() < 2)
        std::this_thread::yield();
    log->advanceClock(validity);
    ClaimState state = ClaimState::Unknown;
    for (uint64_t id = 2; state == ClaimState::Unknown; ++id)
        state = second.ask("n2", id, "a2").state;
    CHECK(state == ClaimState::Granted);
}

TEST_CASE("an outcome of another attempt is ignored")
{
    ClaimPartition partition;
    partition.apply(record(1, 900, takeOver("n1#1", 0)));
    partition.apply(record(2, 1000, batchOf("b1", { { "k", "a1", "n1", 500 } }, { { "k", "a9", 200, "", "" } })));
    CHECK_FALSE(partition.find("k")->outcome);
}

TEST_CASE("a batch survives its JSON form and nonsense is refused")
{
    auto batch = batchOf("b", { { "k", "a", "n", 5 } }, { { "k", "a", 200, "t", "body" } });
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

// Two homes whose declarations and promises reach each other while a test lets them.
struct Pair {
    explicit Pair(std::shared_ptr<MemoryLog> memoryLog)
        : log(std::move(memoryLog))
        , first(log, "h1", { "h2" })
        , second(log, "h2", { "h1" })
    {
        second.isPreferred = false;
        first.onDeclare = [this](const std::string&, const ClaimDeclaration& declaration) {
            if (isLinked && second.home->onDeclare(declaration))
                first.home->onDeclareAck("h2", { declaration.partition, declaration.episode, declaration.round });
        };
    }

    void cutLog() { log->setFaults({ true, Duration(0), 0 }); }
    void restoreLog() { log->setFaults({}); }

    std::shared_ptr<MemoryLog> log;
    std::atomic<bool> isLinked = true;
    Home first;
    Home second;
};

} // namespace

TEST_CASE("the owner goes on without the log once every known node has promised")
{
    Pair pair(std::make_shared<MemoryLog>());
    REQUIRE(pair.first.ask("n1", 1, "a0", ClaimMode::Claim, "earlier").state == ClaimState::Granted);
    pair.cutLog();
    CHECK(pair.first.ask("n1", 2, "a1").state == ClaimState::Granted);
    pair.first.home->record({ "key", "a1", 200, "", "done" });
    CHECK(pair.first.ask("n2", 3, "a2").state == ClaimState::Recorded);
    CHECK(pair.second.ask("n3", 4, "a3").state == ClaimState::Unavailable);
    pair.restoreLog();
    // The next owner finds in the log what was granted without it.
    pair.first.isPreferred = false;
    pair.second.isPreferred = true;
    ClaimState state = ClaimState::Unavailable;
    for (uint64_t id = 5; state == ClaimState::Unavailable; ++id)
        state = pair.second.ask("n3", id, "a4").state;
    CHECK(state == ClaimState::Recorded);
}

TEST_CASE("an owner that a stretch without the log leaves in doubt keeps the partition until the validity has passed")
{
    auto log = std::make_shared<MemoryLog>();
    Pair pair(log);
    REQUIRE(pair.first.ask("n1", 1, "a0", ClaimMode::Claim, "earlier").state == ClaimState::Granted);
    pair.cutLog();
    REQUIRE(pair.first.ask("n1", 2, "a1").state == ClaimState::Granted);
    // The owner dies with its grant unwritten; the other takes over and learns that it isn't preferred.
    pair.first.home.reset();
    pair.restoreLog();
    pair.second.isPreferred = true;
    ClaimState state = ClaimState::Unavailable;
    for (uint64_t id = 3; state == ClaimState::Unavailable; ++id)
        state = pair.second.ask("n2", id, "a2").state;
    CHECK(state == ClaimState::Unknown);
    pair.second.isPreferred = false;
    pair.second.home->onMembersChanged();
    Home restarted(log, "h1", { "h2" });
    CHECK(restarted.ask("n3", 1, "a3").state != ClaimState::Granted);
    CHECK(pair.second.home->isOwner());
}

TEST_CASE("without every promise the owner refuses, and a node that is no owner always does")
{
    Pair pair(std::make_shared<MemoryLog>());
    pair.isLinked = false;
    REQUIRE(pair.first.ask("n1", 1, "a0", ClaimMode::Claim, "earlier").state == ClaimState::Granted);
    pair.cutLog();
    CHECK(pair.first.ask("n1", 2, "a1").state == ClaimState::Unavailable);
    CHECK(pair.second.ask("n1", 3, "a2").state == ClaimState::Unavailable);
}

TEST_CASE("an attempt without the log that was not run frees its key at once")
{
    Pair pair(std::make_shared<MemoryLog>());
    REQUIRE(pair.first.ask("n1", 1, "a0", ClaimMode::Claim, "earlier").state == ClaimState::Granted);
    pair.cutLog();
    CHECK(pair.first.ask("n1", 2, "a1").state == ClaimState::Granted);
    pair.first.home->record({ "key", "a1", 0, "", "" });
    CHECK(pair.first.ask("n1", 3, "a2").state == ClaimState::Granted);
}

namespace {

const TimePoint zero = TimePoint() + std::chrono::hours(1);
const ClaimTiming timing { Duration(1000) };
const StreamEnds longListed { std::nullopt, 0 };

ClaimPartition ownedBy(const std::string& owner)
{
    ClaimPartition partition;
    partition.apply(record(1, 1000, takeOver(owner, 0)));
    return partition;
}

} // namespace

TEST_CASE("a partition is taken over only when its owner's lease has run out")
{
    const auto partition = ownedBy("h1#1");
    ClaimOwnership other("h2", timing);
    other.onCaughtUp(partition, zero, longListed);
    CHECK_FALSE(other.mayTakeOver(partition, validity, zero + Duration(999)));
    CHECK(other.mayTakeOver(partition, validity, zero + Duration(1000)));
}

TEST_CASE("a node that may not have been known to the owner does not take over")
{
    const auto partition = ownedBy("h1#1");
    ClaimOwnership young("h2", timing);
    young.onCaughtUp(partition, zero, {});
    CHECK_FALSE(young.mayTakeOver(partition, validity, zero + Duration(5000)));
    ClaimOwnership late("h3", timing);
    late.onCaughtUp(partition, zero, { std::nullopt, 2 });
    CHECK_FALSE(late.mayTakeOver(partition, validity, zero + Duration(5000)));
}

TEST_CASE("a node that the owner has named since it started takes over, however young; an earlier life's name does not count")
{
    auto partition = ownedBy("h1#1");
    auto renewal = batchOf("r", {});
    renewal.owner = "h1#1";
    renewal.peers = { "h2", "h3" };
    partition.apply(record(2, 1000, renewal));
    struct Case {
        const char* node;
        int64_t startEnd;
        bool mayTakeOver;
    };
    const Case cases[] = { { "h2", 1, true }, { "h2", 2, true }, { "h2", 3, false }, { "h4", 1, false }, { "h1", 3, false } };
    for (const auto& entry : cases) {
        CAPTURE(entry.node, entry.startEnd);
        ClaimOwnership young(entry.node, timing);
        young.onCaughtUp(partition, zero, { entry.startEnd, std::nullopt });
        CHECK(young.mayTakeOver(partition, validity, zero + Duration(1000)) == entry.mayTakeOver);
    }
}

TEST_CASE("the names of an earlier owner's peers say nothing about the next one")
{
    auto partition = ownedBy("h1#1");
    auto renewal = batchOf("r", {});
    renewal.peers = { "h2", "h3" };
    partition.apply(record(2, 1000, renewal));
    partition.apply(record(3, 1000, takeOver("h3#1", 1)));
    CHECK(partition.namedPeers().empty());
}

TEST_CASE("the owner names its peers with its take-over, again after a lease and when they change")
{
    auto partition = ownedBy("h1#1");
    auto renewal = batchOf("r", {});
    renewal.peers = { "h2" };
    partition.apply(record(2, 1000, renewal));
    ClaimOwnership owner("h1", timing);
    owner.onAppended(partition, renewal, zero, zero);
    CHECK(owner.isNamingDue(partition, { "h2" }, zero + timing.lease));
    CHECK(owner.isNamingDue(partition, { "h2", "h3" }, zero + Duration(10)));
}

TEST_CASE("a promise holds for its time, and makes the next owner suspect until the stretch has ended in the log")
{
    auto partition = ownedBy("h1#1");
    ClaimOwnership other("h2", timing);
    other.onCaughtUp(partition, zero, longListed);
    REQUIRE(other.promise({ 0, "h1#1", "ep", 1, 1000 }, partition, zero + Duration(900)));
    CHECK_FALSE(other.mayTakeOver(partition, validity, zero + Duration(1899)));
    CHECK(other.mayTakeOver(partition, validity, zero + Duration(1900)));
    const auto record2 = other.takeOver(partition, validity);
    ClaimBatch batch;
    batch.id = "t";
    batch.term = 1;
    batch.ownership = record2;
    partition.apply(record(2, 2000, batch));
    REQUIRE(other.owns(partition));
    other.onAppended(partition, batch, zero + Duration(1900), zero + Duration(1950));
    CHECK(other.isSuspect(Duration(500), zero + Duration(2000)));
    CHECK_FALSE(other.isSuspect(Duration(500), zero + Duration(2450)));
}

TEST_CASE("a node whose own take-over may still reach the log promises nothing")
{
    const auto partition = ownedBy("h1#1");
    ClaimOwnership other("h2", timing);
    other.onCaughtUp(partition, zero, longListed);
    other.takeOver(partition, validity);
    CHECK_FALSE(other.promise({ 0, "h1#1", "ep", 1, 1000 }, partition, zero));
}

TEST_CASE("an owner grants from memory only inside its lease, which a full round of promises extends")
{
    ClaimPartition partition;
    ClaimOwnership owner("h1", timing);
    ClaimBatch batch;
    batch.id = "t";
    batch.ownership = owner.takeOver(partition, validity);
    partition.apply(record(1, 1000, batch));
    owner.onAppended(partition, batch, zero, zero);
    CHECK_FALSE(owner.mayGrantFromMemory(partition, zero + Duration(100)));
    const auto first = owner.nextDeclaration(partition, 0, { "h2", "h3" }, zero + Duration(500));
    REQUIRE(first);
    owner.onAck("h2", { 0, first->episode, first->round });
    CHECK_FALSE(owner.mayGrantFromMemory(partition, zero + Duration(600)));
    owner.onAck("h3", { 0, first->episode, first->round });
    CHECK(owner.mayGrantFromMemory(partition, zero + Duration(1399)));
    CHECK_FALSE(owner.mayGrantFromMemory(partition, zero + Duration(1400)));
    CHECK_FALSE(owner.nextDeclaration(partition, 0, { "h2" }, zero + Duration(1400)));
}

TEST_CASE("an owner grants through an outage of half an hour as long as every round is promised")
{
    ClaimPartition partition;
    ClaimOwnership owner("h1", timing);
    ClaimBatch batch;
    batch.id = "t";
    batch.ownership = owner.takeOver(partition, validity);
    partition.apply(record(1, 1000, batch));
    owner.onAppended(partition, batch, zero, zero);
    int granted = 0;
    int rounds = 0;
    constexpr Duration step { 100 };
    constexpr Duration outage = std::chrono::minutes(30);
    constexpr Duration answer { 50 };
    for (Duration time = step; time <= outage; time += step) {
        if (const auto declaration = owner.nextDeclaration(partition, 0, { "h2" }, zero + time)) {
            ++rounds;
            owner.onAck("h2", { 0, declaration->episode, declaration->round });
        }
        granted += owner.mayGrantFromMemory(partition, zero + time + answer);
    }
    CHECK(granted == outage / step);
    // A third of the lease, rounded up to the step of the clock.
    CHECK(rounds == outage / Duration(400));
    // The first round that is not promised ends it with the lease.
    CHECK_FALSE(owner.mayGrantFromMemory(partition, zero + outage + timing.lease));
}
