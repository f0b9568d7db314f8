#pragma once

#include <base/Hash.h>
#include <ledger/LedgerFollower.h>

#include <optional>

namespace bronzeswitch {

/**
 * Takes and renews leases through the control stream for one life of a node.
 *
 * The holder counts a lease from before it sent the record; others wait it out from after they read it. The fencing
 * number of a lease is the place of its newest record, so a later holder's is always higher.
 *
 *     LeaseKeeper<HttpLog> keeper(log, follower, "n1");
 *     if (auto fence = keeper.acquireOrRenew("orders/reader", Duration(10000)))
 *         order(*fence);
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
     * Holds a lease: takes it if it is free or has run out, renews it when due. May block on the log.
     * @return the fencing number while the lease is held, or nothing.
     */
    std::optional<int64_t> acquireOrRenew(const std::string& name, Duration duration)
    {
        const auto now = m_now();
        auto& lease = m_leases[name];
        look(name, lease, now);
        const bool isMine = lease.holder == m_holder;
        const bool isDue = !isMine || now >= lease.renewAt;
        const bool mayTake = isMine || lease.holder.empty() || now >= lease.othersUntil;
        if (isDue && mayTake)
            write(name, lease, duration);
        return fencingNumber(name);
    }

    /** @return the fencing number if the lease is held now for at least a time to come. */
    std::optional<int64_t> fencingNumber(const std::string& name, Duration atLeast = Duration(0)) const
    {
        const auto found = m_leases.find(name);
        const bool isHeld = found != m_leases.end() && found->second.holder == m_holder && m_now() + atLeast < found->second.heldUntil;
        return isHeld ? std::optional(found->second.fence) : std::nullopt;
    }

    /** @return when this life first held the lease without a break. */
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
        int64_t fence = 0;
        TimePoint othersUntil {}; /**< Before this another node's lease may still hold. */
        TimePoint heldUntil {};
        TimePoint heldSince = TimePoint::max();
        TimePoint renewAt {};
    };

    static constexpr Duration submitLimit { 2000 };
    static constexpr int renewalsPerLease = 3;
    static constexpr int marginShare = 10;

    void look(const std::string& name, Lease& lease, TimePoint now)
    {
        const auto state = m_follower.state();
        const auto found = state->leases().find(name);
        if (found == state->leases().end() || found->second.fence == lease.fence)
            return;
        lease.holder = found->second.holder;
        lease.fence = found->second.fence;
        lease.othersUntil = now + found->second.duration;
        if (lease.holder != m_holder)
            lease.heldSince = TimePoint::max();
    }

    void write(const std::string& name, Lease& lease, Duration duration)
    {
        const auto sent = m_now();
        const auto fate = submit(*m_log, m_follower, LeaseRecord { randomId(), name, m_holder, lease.fence, duration }, submitLimit);
        if (!fate || !fate->accepted)
            return;
        lease.holder = m_holder;
        lease.fence = fate->offset;
        lease.heldUntil = sent + duration - duration / marginShare;
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
