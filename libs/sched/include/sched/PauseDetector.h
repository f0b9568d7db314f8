#pragma once

#include <base/TimerService.h>

namespace bronzeswitch {

/**
 * Detects pauses of this node itself, during which it measured its own silence instead of the upstreams' speed.
 *
 * Load pattern: a frozen or starved VM resumes and finds many responses at once, each seemingly late by the length of the pause.
 *
 *     pauses.observe(now); // At a regular interval.
 *     if (!pauses.overlaps(sentAt, now))
 *         estimate.onResponse(...);
 */
class PauseDetector {
public:
    /** Notes that the node runs. A longer time since the last call was a pause. */
    void observe(TimePoint now);

    /** @return true if the node paused at any time since `from`, also if `observe` was not called since the pause. */
    bool overlaps(TimePoint from, TimePoint now) const;

private:
    TimePoint m_observedAt {};
    TimePoint m_pausedUntil {};
};

} // namespace bronzeswitch
