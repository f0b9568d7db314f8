#pragma once

#include <base/TimerService.h>

namespace bronzeswitch {

/**
 * Estimates the requests that an upstream runs for other schedulers, from the load that it reports.
 *
 * Load pattern: a burst fills every upstream of a pool, and a scheduler that sends a request a second learns of it. If reports
 * come only with responses, a scheduler that no longer sends gets no further report. The count that limits an upstream
 * therefore decreases to 0 within the lifetime of a report. A smoothed count, which decays more slowly, orders upstreams by load
 * and never limits them.
 *
 *     load.onReport(3, Duration(300), now);
 *     const bool isFull = own + load.limiting(now) >= slots;
 */
class UntrackedLoad {
public:
    /**
     * Records a report.
     * @param requests number of requests of other schedulers.
     * @param lifetime time until the report no longer limits the upstream.
     */
    void onReport(int requests, Duration lifetime, TimePoint now);

    /** @return requests of others that count against the upstream's limit. */
    int limiting(TimePoint now) const;

    /** @return the recent average of the reported requests. */
    double smoothed(TimePoint now) const;

private:
    int m_reported = 0;
    Duration m_lifetime { 0 };
    TimePoint m_reportedAt {};
    double m_smoothed = 0; /**< At the time of the last report. */
};

} // namespace bronzeswitch
