#pragma once

#include <sched/AdmissionForecast.h>
#include <sched/PoolQueue.h>
#include <sched/ReturnSchedule.h>

#include <cstdint>
#include <map>
#include <optional>

namespace bronzeswitch {

/** The parts of the admission control of a pool; all are off by default. */
struct AdmissionSettings {
    /** Whether requests that would start too late are refused when they arrive. Needs one scheduler for all requests of the pool. */
    bool refusesEarly = false;
    /** Whether a request that can start only after its target, but while its caller still waits, is kept instead of refused. */
    bool servesLate = false;
    /** Whether refused callers get a place in a schedule of return times. */
    bool schedulesReturns = false;
    /**
     * Part of the slots that are reserved for returning callers. They go first, and most have missed their target by then, so newcomers
     * need the rest to be served in time.
     */
    double returnShare = 0.25;
    /** Whether lower ranks lose their share of the work while requests of any rank are refused or late. */
    bool shedsByRank = false;
    /** Time constant with which the work granted to organisations is forgotten; 0 to compare the work of all time. */
    Duration fairShareWindow { 0 };
    /** Whether these settings apply only once an upstream of the pool has stated its pace. */
    bool oncePaceIsStated = false;

    bool operator==(const AdmissionSettings&) const = default;
};

/** The shortest times that an upstream of the pool needs for a request once it has a slot. */
struct FastestTimes {
    double serviceSeconds = 0; /**< Of the whole response. */
    double firstTokenSeconds = 0;
};

/** What the admission control of a pool has done since its start, and its current forecast. */
struct AdmissionStatus {
    uint64_t refusedEarly = 0; /**< Refused at arrival, because the forecast start was too late. */
    uint64_t refusedWaiting = 0; /**< Refused after they had waited. */
    uint64_t probes = 0; /**< Let through against an estimate. */
    ReturnSchedule::Counts returns;
    std::size_t reservedReturns = 0;
    double slotsPerSecond = 0; /**< 0 if not known. */
    bool isShedding = false; /**< Requests were refused for overload a short time ago. */
    int highestRankRefused = 0; /**< The most urgent rank that was refused since isShedding began. */
    Duration forecastAge { 0 }; /**< Time since the measurement was last updated. */

    bool operator==(const AdmissionStatus&) const = default;
};

/**
 * Decides which requests to a pool are refused, when, and when their callers should come back.
 *
 * Load pattern: for some seconds, more requests arrive than the pool can run. A request that would start after its target latency is
 * refused when it arrives, while its caller can still be served at another time. A request of a rank is kept as long as lower ranks
 * get slots, even if it will be late: it takes theirs. A share of the requests that would be refused is let through, so that a wrong
 * estimate is corrected. While no slot is free, a caller that comes back before its return time is refused like before.
 *
 * Not thread-safe. The caller passes in the current time.
 *
 *     if (const auto reason = control.refusalAtArrival(waiter, times, queue, now))
 *         refuse(*reason, control.retryAfter(waiter, *reason, fallback, now));
 */
class AdmissionControl {
public:
    void configure(const AdmissionSettings& settings) { m_settings = settings; }

    /** Marks a request whose caller was refused before and comes back at its return time, or before it. */
    void recogniseReturn(Waiter&, TimePoint now);

    /**
     * Decides whether a request is infeasible: no upstream can run it, start it while its caller waits, or end it before its deadline.
     * @param times none if no upstream is usable for the request.
     */
    static std::optional<RefusalReason> refusalIfInfeasible(const Waiter&, const std::optional<FastestTimes>&, TimePoint now);

    /** Decides whether an infeasible request is let through, because only an estimate speaks against it. @return true if it is. */
    bool makeProbe(Waiter&, RefusalReason);

    /**
     * Decides at arrival whether a request would start too late. Must be asked only if no free slot can take the request.
     * @param isQueued whether the queue already contains the request.
     */
    std::optional<RefusalReason> refusalIfLate(const Waiter&, const FastestTimes&, const PoolQueue&, bool isQueued, TimePoint now);

    /** @return true if a slot at an upstream comes too late for the request. @param firstTokenSeconds expected at that upstream. */
    bool isTooLate(const Waiter&, double firstTokenSeconds, TimePoint now) const;

    /** @return the late requests that will not start while their callers wait, or not soon enough. They are no longer in the queue. */
    std::vector<Waiter> removeHopeless(PoolQueue&, TimePoint now) const;

    /**
     * Decides when the caller of a refused request should come back, and counts the refusal.
     * @param estimatedWait time until the queue has been worked off, if that is not forecast.
     */
    Duration retryAfter(const Waiter&, RefusalReason, Duration estimatedWait, TimePoint now);

    /** @return whether retryAfter() ignores its estimated wait, which is costly to determine. */
    bool hasForecast(TimePoint now) const;

    void onGrant(const Waiter&, TimePoint now);
    void onRelease(DispatchOutcome, Duration held, TimePoint now);
    void setSlotsInUse(std::size_t slots, TimePoint now) { m_forecast.setSlotsInUse(static_cast<int>(slots), now); }

    /** @param foreignRequests see AdmissionForecast::setForeignRequests(). */
    void setForeignRequests(int foreignRequests) { m_forecast.setForeignRequests(foreignRequests); }

    /** Applies the settings to the queue and removes what has expired. @param lowerRankShare of the pool's plan. */
    void tick(PoolQueue&, double lowerRankShare, TimePoint now);

    AdmissionStatus status(TimePoint now) const;

private:
    AdmissionSettings m_settings;
    AdmissionForecast m_forecast;
    ReturnSchedule m_returns;
    std::map<int, uint64_t> m_unpromising; /**< Requests that an estimate spoke against, by rank. */
    uint64_t m_infeasible = 0; /**< Requests that an estimate of the service time spoke against. */
    uint64_t m_refusedEarly = 0;
    uint64_t m_refusedWaiting = 0;
    uint64_t m_probes = 0;
    TimePoint m_sheddingUntil {};
    int m_highestRankRefused = 0;
    TimePoint m_updatedAt {};
};

} // namespace bronzeswitch
