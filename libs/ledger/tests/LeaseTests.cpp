#include <catch2/catch.hpp>
#include <ledger/LeaseKeeper.h>
#include <standin/MemoryLog.h>

using namespace bronzeswitch;

namespace {

constexpr Duration leaseDuration { 9000 };
const TimePoint start = TimePoint() + std::chrono::hours(1);

// A node that follows a shared log and uses leases by a clock that the test sets.
struct LeaseHolder {
    LeaseHolder(const std::shared_ptr<MemoryLog>& log, const std::string& name)
        : follower(log)
        , keeper(log, follower, name)
    {
        follower.start();
        keeper.setClock([this] { return now; });
    }

    std::optional<int64_t> acquireOrRenew(const MemoryLog& log)
    {
        follower.waitForOffset(log.appendCount(), Duration(5000));
        return keeper.acquireOrRenew("orders", leaseDuration);
    }

    TimePoint now = start;
    LedgerFollower<MemoryLog> follower;
    LeaseKeeper<MemoryLog> keeper;
};

} // namespace

TEST_CASE("a lease changes its holder only after it has expired, with a higher fencing number")
{
    auto log = std::make_shared<MemoryLog>();
    LeaseHolder first(log, "n1");
    LeaseHolder second(log, "n2");
    const auto firstNumber = first.acquireOrRenew(*log);
    REQUIRE(firstNumber);
    CHECK_FALSE(second.acquireOrRenew(*log));
    second.now += leaseDuration - Duration(1);
    CHECK_FALSE(second.acquireOrRenew(*log));
    second.now += Duration(1);
    const auto nextNumber = second.acquireOrRenew(*log);
    REQUIRE(nextNumber);
    CHECK(*nextNumber > *firstNumber);
}

TEST_CASE("a holder that was paused sees that its lease has expired, and can't renew it once another node has acquired it")
{
    auto log = std::make_shared<MemoryLog>();
    LeaseHolder first(log, "n1");
    LeaseHolder second(log, "n2");
    REQUIRE(first.acquireOrRenew(*log));
    second.acquireOrRenew(*log);
    second.now += leaseDuration;
    REQUIRE(second.acquireOrRenew(*log));
    first.now += leaseDuration * 2;
    CHECK_FALSE(first.keeper.fencingNumber("orders"));
    CHECK_FALSE(first.acquireOrRenew(*log));
}

TEST_CASE("a renewal raises the fencing number, which is returned only while enough of the lease is left")
{
    auto log = std::make_shared<MemoryLog>();
    LeaseHolder first(log, "n1");
    const auto firstNumber = first.acquireOrRenew(*log);
    first.now += leaseDuration / 3;
    const auto renewed = first.acquireOrRenew(*log);
    REQUIRE(renewed);
    CHECK(*renewed > *firstNumber);
    CHECK(first.keeper.fencingNumber("orders", leaseDuration / 2));
    CHECK_FALSE(first.keeper.fencingNumber("orders", leaseDuration));
    CHECK(first.keeper.heldSince("orders") == start);
}

TEST_CASE("two nodes that acquire a free lease at once: exactly one gets it")
{
    auto log = std::make_shared<MemoryLog>();
    LeaseHolder first(log, "n1");
    LeaseHolder second(log, "n2");
    const bool hasFirst = first.keeper.acquireOrRenew("orders", leaseDuration).has_value();
    const bool hasSecond = second.keeper.acquireOrRenew("orders", leaseDuration).has_value();
    CHECK(hasFirst != hasSecond);
}

TEST_CASE("a lease is acquired in spite of a slow log or a lost response, but not while the log is down")
{
    struct Case {
        const char* name;
        LogFaults faults;
        bool isHeld;
    };
    const Case cases[] = { { "down", { true, Duration(0), 0 }, false }, { "response lost", { false, Duration(0), 1 }, true },
        { "slow", { false, Duration(50), 0 }, true } };
    for (const auto& entry : cases) {
        CAPTURE(entry.name);
        auto log = std::make_shared<MemoryLog>();
        LeaseHolder first(log, "n1");
        log->setFaults(entry.faults);
        CHECK(first.keeper.acquireOrRenew("orders", leaseDuration).has_value() == entry.isHeld);
    }
}
