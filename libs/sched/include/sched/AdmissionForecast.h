#pragma once

#include <base/TimerService.h>

#include <map>
#include <optional>

namespace bronzeswitch {

/**
 * Forecasts how long a request will wait for a slot of a pool.
 *
 * Load pattern: a pool whose slots are all in use while requests arrive faster than slots become free. The rate at which slots become
 * free is measured as releases per slot and second in use, so it holds for a pool that has just become full too, and a pool in which
 * nothing is released any more soon has no forecast. Higher ranks take their slots first: what was granted to them lately isn't
 * available to lower ones.
 *
 * The measurement depends on running requests only, not on refused ones, so refusals don't keep a wrong forecast alive. A pause of
 * the node is not measured.
 *
 * Not thread-safe. The caller passes in the current time.
 *
 *     forecast.onRelease(now);
 *     forecast.setSlotsInUse(slots, now);
 *     const auto wait = forecast.expectedWait({ 12, 1, false }, now);
 */
class AdmissionForecast {
public:
    /** A place in the queue. */
    struct Position {
        double requestsAhead = 0;
        int rank = 0; /**< 0 is the highest. */
        bool isLate = false; /**< Behind the requests of its rank that can still meet their target. */
    };

    /** Sets the number of slots in use from now on. Call after each change, and at a regular interval. */
    void setSlotsInUse(int slots, TimePoint now);

    /**
     * Sets how many further requests run at the upstreams that another scheduler has granted. While they are a considerable part, there is
     * no forecast, since their end isn't seen here: after a change of the pool's home, or while two homes don't hear each other.
     */
    void setForeignRequests(int requests) { m_foreignRequests = requests; }

    /** Counts a slot that has become free because its request has ended. */
    void onRelease(TimePoint now);

    /** Counts a granted slot. @param isLate whether the request had missed its target before. */
    void onGrant(int rank, bool isLate, TimePoint now);

    /** @return the slots of the whole pool that become free in a second, or none if too little was measured lately. */
    std::optional<double> slotsPerSecond(TimePoint now) const;

    /** @return the part of slotsPerSecond() that remains for a rank, and for its late requests. */
    std::optional<double> slotsPerSecondFor(int rank, bool isLate, TimePoint now) const;

    /** @return the expected time until a queued request gets a slot if all are in use; none if too little was measured lately. */
    std::optional<Duration> expectedWait(const Position&, TimePoint now) const;

    /** @return true if a considerable part of the slots has gone to lower ranks lately. */
    bool servesRanksBelow(int rank, TimePoint now) const;

private:
    struct Grants {
        double onTime = 0;
        double late = 0;
    };

    void advance(TimePoint now);
    double grantsPerSecond(double grants) const;

    TimePoint m_updatedAt {};
    int m_slotsInUse = 0;
    int m_foreignRequests = 0;
    double m_measuredSeconds = 0; /**< This and the following sums decay exponentially. */
    double m_slotSeconds = 0; /**< Slots in use, integrated over time. */
    double m_releases = 0;
    std::map<int, Grants> m_grants; /**< By rank. */
};

} // namespace bronzeswitch
