#include <algorithm>
#include <cmath>
#include <sched/UntrackedLoad.h>

namespace bronzeswitch {

namespace {

constexpr double smoothingFactor = 0.3;
constexpr double smoothedDecaySeconds = 2; // Time constant; an upstream that was busy is tried again after a while.

} // namespace

void UntrackedLoad::onReport(int requests, Duration lifetime, TimePoint now)
{
    const double before = smoothed(now);
    m_smoothed = before + smoothingFactor * (requests - before);
    m_reported = requests;
    m_lifetime = lifetime;
    m_reportedAt = now;
}

int UntrackedLoad::limiting(TimePoint now) const
{
    const double lifetime = toSeconds(m_lifetime);
    const double left = lifetime - toSeconds(now - m_reportedAt);
    if (left <= 0)
        return 0;
    return static_cast<int>(std::ceil(m_reported * std::min(1.0, left / lifetime)));
}

double UntrackedLoad::smoothed(TimePoint now) const
{
    return m_smoothed * std::exp(-std::max(0.0, toSeconds(now - m_reportedAt)) / smoothedDecaySeconds);
}

} // namespace bronzeswitch
