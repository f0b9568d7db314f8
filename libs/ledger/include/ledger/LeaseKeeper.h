#pragma once

#include <base/Hash.h>
#include <ledger/LedgerFollower.h>

#include <optional>

namespace bronzeswitch {

/**
 * Acquires and renews leases through the control stream, for one incarnation (run of the process) of a node.
 *
 * The holder counts a lease's duration from before it sent the record; other nodes count it from after they read the record.
 * So the holder's lease ends first, and no clocks are compared. The fencing number of a lease is the offset of its newest
 * record, so every later holder has a higher one. Not synchronised.
 *
 *     LeaseKeeper<HttpAppendLog> keeper(log, follower, "n1");
 *     if (auto fencingNumber = keeper.acquireOrRenew("orders/reader", Duration(10000)))
 *         sendOrder(*fencingNumber);
 */
template <AppendLog Log> class LeaseKeeper {
public:
    LeaseKeeper(std::shared_ptr<Log> log, const LedgerFollower<Log>& follower, const std::string& node)
        : m_log(std::move(log))
        , m_follower(follower)
        , m_holder(node + "#" + randomId())
    {
    }

    /**
     * Acquires a lease that is free or expired, or renews one that this incarnation holds when renewal is due. May block on the log.
     * @return the fencing number if this node holds the lease now, else nothing.
     */
    std::optional<int64_t> acquireOrRenew(const std::string& name, Duration duration)
    {
        const auto now = m_now();
        auto& lease = m_leases[name];
        refresh(name, lease, now);
        const bool isOwnLease = lease.holder == m_holder;
        const bool isDue = !isOwnLease || now >= lease.renewAt;
        const bool mayAcquire = isOwnLease || lease.holder.empty() || now >= lease.othersHoldUntil;
        if (isDue && mayAcquire)
            submitLease(name, lease, duration);
        return fencingNumber(name);
    }

    /** @return the fencing number if this node holds the lease and more than minRemaining of it is left, else nothing. */
    std::optional<int64_t> fencingNumber(const std::string& name, Duration minRemaining = Duration(0)) const
    {
        const auto found = m_leases.find(name);
        const bool isHeld = found != m_leases.end() && found->second.holder == m_holder && m_now() + minRemaining < found->second.heldUntil;
        return isHeld ? std::optional(found->second.fencingNumber) : std::nullopt;
    }

    /** @return since when this incarnation has been the lease's last known holder, or TimePoint::max() if it is not. */
    TimePoint heldSince(const std::string& name) const
    {
        const auto found = m_leases.find(name);
        return found == m_leases.end() ? TimePoint::max() : found->second.heldSince;
    }

    /** Replaces the clock, for tests. */
    void setClock(std::function<TimePoint()> now) { m_now = std::move(now); }

private:
    struct Lease {
        std::string holder;
        int64_t fencingNumber = 0;
        TimePoint othersHoldUntil {}; /**< Until then another holder's lease may be valid. */
        TimePoint heldUntil {};
        TimePoint heldSince = TimePoint::max();
        TimePoint renewAt {};
    };

    static constexpr Duration submitTimeout { 2000 };
    static constexpr int renewalsPerLease = 3;
    static constexpr int leaseMarginDivisor = 10; // The holder's lease ends this fraction of its duration early.

    // Updates the local view of a lease from the newest state.
    void refresh(const std::string& name, Lease& lease, TimePoint now)
    {
        const auto state = m_follower.state();
        const auto found = state->leases().find(name);
        if (found == state->leases().end() || found->second.fencingNumber == lease.fencingNumber)
            return;
        lease.holder = found->second.holder;
        lease.fencingNumber = found->second.fencingNumber;
        lease.othersHoldUntil = now + found->second.duration;
        if (lease.holder != m_holder)
            lease.heldSince = TimePoint::max();
    }

    void submitLease(const std::string& name, Lease& lease, Duration duration)
    {
        const auto sent = m_now();
        const auto result
            = submit(*m_log, m_follower, LeaseRecord { randomId(), name, m_holder, lease.fencingNumber, duration }, submitTimeout);
        if (!result || !result->accepted)
            return;
        lease.holder = m_holder;
        lease.fencingNumber = result->offset;
        lease.heldUntil = sent + duration - duration / leaseMarginDivisor;
        lease.renewAt = sent + duration / renewalsPerLease;
        lease.heldSince = std::min(lease.heldSince, m_now());
    }

    std::shared_ptr<Log> m_log;
    const LedgerFollower<Log>& m_follower;
    const std::string m_holder;
    std::map<std::string, Lease> m_leases;
    std::function<TimePoint()> m_now = [] { return TimePoint(std::chrono::steady_clock::now()); };
};

} // namespace bronzeswitch
