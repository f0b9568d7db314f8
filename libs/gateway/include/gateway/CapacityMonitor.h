#pragma once

#include <gateway/DecisionLog.h>
#include <sched/PoolScheduler.h>

#include <cstddef>
#include <map>
#include <string>

namespace bronzeswitch {

/**
 * Shows operators which upstreams the pools have found to take fewer requests than their slots allow.
 *
 * Writes an event when a pool's learned limits have changed, at most one a second and pool, which names a bounded number of upstreams.
 *
 *     monitor.update(pools, now); // At a regular interval.
 */
class CapacityMonitor {
public:
    explicit CapacityMonitor(DecisionLog& log)
        : m_log(log)
    {
    }

    /** Compares the pools' learned limits with the last ones, at most once a second. */
    void update(const std::map<std::string, PoolScheduler>& pools, TimePoint now);

    /** @return the number of pools that learn the capacity of their upstreams. */
    std::size_t learningPools() const { return m_learningPools; }

    /** @return the number of upstreams with a limit below their slots. */
    std::size_t limitedUpstreams() const { return m_limitedUpstreams; }

    /** @return the slots of these upstreams that get no requests. */
    int withheldSlots() const { return m_withheldSlots; }

private:
    using Limits = std::map<std::string, LearnedLimit>; /**< By upstream. */

    void writeChange(const std::string& pool, const Limits&);

    DecisionLog& m_log;
    TimePoint m_nextUpdate {};
    std::map<std::string, Limits> m_limits; /**< By pool. */
    std::size_t m_learningPools = 0;
    std::size_t m_limitedUpstreams = 0;
    int m_withheldSlots = 0;
};

} // namespace bronzeswitch
