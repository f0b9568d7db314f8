#pragma once

#include <gateway/StateFetchPolicy.h>

#include <algorithm>
#include <map>

namespace bronzeswitch {

/**
 * The attempts of one node to fetch newer state from its peers: decides when the next one starts, and at which peer.
 *
 *     if (const auto address = plan.start(holders, behindFor, now, random))
 *         fetchFrom(*address); // Calls onProgress() and onEnd().
 */
class StateFetchPlan {
public:
    explicit StateFetchPlan(const StateFetchPolicy& policy)
        : m_policy(policy)
    {
    }

    const StateFetchPolicy& policy() const { return m_policy; }

    /**
     * Starts an attempt if one is due.
     * @param holders peers that have the state.
     * @param behindFor time since this node has known that it lacks the state.
     * @return the address of the peer to fetch from, or nothing.
     */
    template <typename Random>
    std::optional<std::string> start(const std::vector<StateHolder>& holders, Duration behindFor, TimePoint now, Random& random)
    {
        if (!isDue(now))
            return std::nullopt;
        auto address = m_policy.choosePeer(usable(holders, now), behindFor, random);
        if (address)
            m_attempts[*address] = now;
        return address;
    }

    /** Records that a part of the state has arrived from a peer. */
    void onProgress(const std::string& address, TimePoint now)
    {
        if (const auto attempt = m_attempts.find(address); attempt != m_attempts.end())
            attempt->second = now;
    }

    /** Records the end of the attempt at a peer. @param hasFailed the peer did not respond, or not with its state. */
    void onEnd(const std::string& address, bool hasFailed, TimePoint now)
    {
        m_attempts.erase(address);
        if (hasFailed)
            m_avoidedUntil[address] = now + m_policy.avoidanceTime;
        std::erase_if(m_avoidedUntil, [&](const auto& entry) { return entry.second <= now; });
    }

    /** @return true if an attempt is running. */
    bool isFetching() const { return !m_attempts.empty(); }

private:
    /** @return true if all running attempts have stalled. The time limit of an attempt bounds their number. */
    bool isDue(TimePoint now) const
    {
        return std::all_of(
            m_attempts.begin(), m_attempts.end(), [&](const auto& attempt) { return now - attempt.second >= m_policy.stallTime; });
    }

    /** @return the holders that are not being asked, without those to avoid as long as there are others. */
    std::vector<StateHolder> usable(std::vector<StateHolder> holders, TimePoint now) const
    {
        std::erase_if(holders, [&](const StateHolder& holder) { return m_attempts.contains(holder.address); });
        auto preferred = holders;
        std::erase_if(preferred, [&](const StateHolder& holder) {
            const auto avoided = m_avoidedUntil.find(holder.address);
            return avoided != m_avoidedUntil.end() && now < avoided->second;
        });
        return preferred.empty() ? holders : preferred;
    }

    StateFetchPolicy m_policy;
    std::map<std::string, TimePoint> m_attempts; /**< When each running attempt last made progress, by the peer's address. */
    std::map<std::string, TimePoint> m_avoidedUntil; /**< Peers that did not respond. */
};

} // namespace bronzeswitch
