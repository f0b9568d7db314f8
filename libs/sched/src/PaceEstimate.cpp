#include <algorithm>
#include <cmath>
#include <sched/PaceEstimate.h>

namespace bronzeswitch {

namespace {

constexpr Duration paceLifetime { 600 }; // Disturbances of shared machines change at about this interval.
constexpr double averageSeconds = 5; // Time constant of the average: several such intervals, so that it is steady.
constexpr double maxWeight = 0.2; // Of a single report in the average, however long the one before is ago.
constexpr double minPace = 0.1; // Stated values beyond these bounds are errors.
constexpr double maxPace = 20;

} // namespace

void PaceEstimate::onPace(double pace, TimePoint measuredAt)
{
    if (m_isKnown && measuredAt < m_measuredAt)
        return;
    record(pace, measuredAt);
    m_isFromPeer = false;
}

void PaceEstimate::onPeerPace(const Report& report, TimePoint now)
{
    const auto measuredAt = now - report.age;
    if (m_isKnown && measuredAt <= m_measuredAt)
        return;
    record(report.pace, measuredAt);
    m_isFromPeer = true;
}

void PaceEstimate::record(double pace, TimePoint measuredAt)
{
    m_last = std::clamp(pace, minPace, maxPace);
    const double weight = std::min(maxWeight, 1 - std::exp(-toSeconds(measuredAt - m_measuredAt) / averageSeconds));
    m_average = m_isKnown ? m_average + weight * (m_last - m_average) : m_last;
    m_measuredAt = measuredAt;
    m_isKnown = true;
}

double PaceEstimate::present(TimePoint now) const
{
    const double left = std::clamp(1 - toSeconds(now - m_measuredAt) / toSeconds(paceLifetime), 0.0, 1.0);
    return m_average + left * (m_last - m_average);
}

double PaceEstimate::expectedSeconds(double seconds, TimePoint now) const
{
    const double left = toSeconds(m_measuredAt + paceLifetime - now);
    if (!m_isKnown || left <= 0)
        return seconds;
    const double ratio = present(now) / m_average;
    return seconds * ratio <= left ? seconds * ratio : left + (seconds - left / ratio);
}

std::optional<PaceEstimate::Report> PaceEstimate::report(TimePoint now) const
{
    if (!m_isKnown || m_isFromPeer || now - m_measuredAt > paceLifetime)
        return std::nullopt;
    return Report { m_last, std::chrono::duration_cast<Duration>(now - m_measuredAt) };
}

} // namespace bronzeswitch
