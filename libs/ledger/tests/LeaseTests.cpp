#include <catch2/catch.hpp>
#include <ledger/LeaseKeeper.h>
#include <standin/MemoryLog.h>

using namespace bronzeswitch;

namespace {

constexpr Duration lease { 9000 };
const TimePoint start = TimePoint() + std::chrono::hours(1);

// A node with a driven clock that follows a shared log.
struct Holder {
    Holder(const std::shared_ptr<MemoryLog>& log, const std::string& name)
        : follower(log)
        , keeper(log, follower, name)
    {
        follower.start();
        keeper.setClock([this] { return now; });
    }

    std::optional<int64_t> hold(const MemoryLog& log)
    {
        follower.waitForOffset(log.appendCount(), Duration(5000));
        return keeper.acquireOrRenew("orders", lease);
    }

    TimePoint now = start;
    LedgerFollower<MemoryLog> follower;
    LeaseKeeper<MemoryLog> keeper;
};

} // namespace

TEST_CASE("a lease passes on only after it has run out, with a higher fencing number")
{
    auto log = std::make_shared<MemoryLog>();
    Holder first(log, "n1");
    Holder second(log, "n2");
    const auto fence = first.hold(*log);
    REQUIRE(fence);
    CHECK_FALSE(second.hold(*log));
    second.now += lease - Duration(1);
    CHECK_FALSE(second.hold(*log));
    second.now += Duration(1);
    const auto next = second.hold(*log);
    REQUIRE(next);
    CHECK(*next > *fence);
}

TEST_CASE("a paused holder knows that its lease has run out, and can't renew one that was taken")
{
    auto log = std::make_shared<MemoryLog>();
    Holder first(log, "n1");
    Holder second(log, "n2");
    REQUIRE(first.hold(*log));
    second.hold(*log);
    second.now += lease;
    REQUIRE(second.hold(*log));
    first.now += lease * 2;
    CHECK_FALSE(first.keeper.fencingNumber("orders"));
    CHECK_FALSE(first.hold(*log));
}

TEST_CASE("a holder renews and an order needs time left on the lease")
{
    auto log = std::make_shared<MemoryLog>();
    Holder first(log, "n1");
    const auto fence = first.hold(*log);
    first.now += lease / 3;
    const auto renewed = first.hold(*log);
    REQUIRE(renewed);
    CHECK(*renewed > *fence);
    CHECK(first.keeper.fencingNumber("orders", lease / 2));
    CHECK_FALSE(first.keeper.fencingNumber("orders", lease));
    CHECK(first.keeper.heldSince("orders") == start);
}

TEST_CASE("of two that take a lease at once one holds it")
{
    auto log = std::make_shared<MemoryLog>();
    Holder first(log, "n1");
    Holder second(log, "n2");
    const bool isFirst = first.keeper.acquireOrRenew("orders", lease).has_value();
    const bool isSecond = second.keeper.acquireOrRenew("orders", lease).has_value();
    CHECK(isFirst != isSecond);
}

TEST_CASE("a lease by fault of the log")
{
    struct Case {
        const char* name;
        LogFaults faults;
        bool isHeld;
    };
    const Case cases[] = { { "down", { true, Duration(0), 0 }, false }, { "answer lost", { false, Duration(0), 1 }, true },
        { "slow", { false, Duration(50), 0 }, true } };
    for (const auto& entry : cases) {
        CAPTURE(entry.name);
        auto log = std::make_shared<MemoryLog>();
        Holder first(log, "n1");
        log->setFaults(entry.faults);
        CHECK(first.keeper.acquireOrRenew("orders", lease).has_value() == entry.isHeld);
    }
}
