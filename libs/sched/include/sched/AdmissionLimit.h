#pragma once

#include <base/TimerService.h>

namespace bronzeswitch {

/**
 * Adapts the number of requests that an upstream may run at a time to the latency it shows.
 *
 * While the latency is above its target, the limit decreases by a factor. While the latency is well below the target and the
 * limit is used up, it increases by one. Between the two thresholds it stays the same, so that small changes of the latency
 * have no effect. Several failures in a row block the upstream for a short time; afterwards the limit restarts at one.
 */
class AdmissionLimit {
public:
    /** Latencies above which the limit decreases. */
    struct Targets {
        Duration firstToken { 910 };
        Duration betweenTokens { 25 };
    };

    AdmissionLimit(int slots, Targets);

    /**
     * Records the latency of a completed request and adjusts the limit.
     * @param firstToken time to the first token, 0 if it was not measured.
     * @param betweenTokens mean time between tokens, 0 if it was not measured.
     * @param inFlight requests that run at the upstream.
     */
    void onSample(Duration firstToken, std::chrono::microseconds betweenTokens, int inFlight, TimePoint now);

    /** Records a failed request; several in a row block the upstream for a while. */
    void onFailure(TimePoint now);

    /** Sets the highest value of the limit, from the configuration. */
    void setSlots(int slots);

    /** @return how many requests may run at a time; 0 while the upstream is blocked after failures. */
    int value(TimePoint now) const;

private:
    void adjust(int inFlight);

    int m_slots;
    Targets m_targets;
    double m_limit;
    double m_firstTokenMs = 0;
    double m_betweenTokensMs = 0;
    int m_failuresInRow = 0;
    TimePoint m_blockedUntil {};
    TimePoint m_nextAdjustment {};
};

} // namespace bronzeswitch
