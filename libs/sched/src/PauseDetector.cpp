#include <sched/PauseDetector.h>

namespace bronzeswitch {

namespace {

constexpr Duration minPause { 400 }; // A VM with 0.084 of a core misses one or two ticks of 100 ms in normal use.

} // namespace

void PauseDetector::observe(TimePoint now)
{
    if (m_observedAt != TimePoint {} && now - m_observedAt >= minPause)
        m_pausedUntil = now;
    m_observedAt = now;
}

bool PauseDetector::overlaps(TimePoint from, TimePoint now) const
{
    const bool isResuming = m_observedAt != TimePoint {} && now - m_observedAt >= minPause;
    return isResuming || from <= m_pausedUntil;
}

} // namespace bronzeswitch
