#include <algorithm>
#include <cmath>
#include <sched/AdmissionLimit.h>

namespace bronzeswitch {

namespace {

constexpr double smoothingFactor = 0.2;
constexpr double decreaseFactor = 0.85;
constexpr double increaseThreshold = 0.85; // Share of the target latency below which the limit may increase.
constexpr double minLimitShare = 0.25; // Lowest limit that slow responses lead to, as a share of the slots.
constexpr int failuresUntilBlocked = 3;
constexpr Duration blockDuration { 2000 };
constexpr Duration adjustmentInterval { 500 };

// Exponential moving average; the first sample sets the value.
void smooth(double& value, double sample) { value = value > 0 ? value + smoothingFactor * (sample - value) : sample; }

} // namespace

AdmissionLimit::AdmissionLimit(int slots, Targets targets)
    : m_slots(slots)
    , m_targets(targets)
    , m_limit(slots)
{
}

void AdmissionLimit::setSlots(int slots)
{
    const bool isAtMaximum = m_limit >= m_slots;
    m_slots = slots;
    m_limit = isAtMaximum ? slots : std::min<double>(m_limit, slots);
}

void AdmissionLimit::onSample(Duration firstToken, std::chrono::microseconds betweenTokens, int inFlight, TimePoint now)
{
    m_failuresInRow = 0;
    if (firstToken.count() > 0)
        smooth(m_firstTokenMs, static_cast<double>(firstToken.count()));
    if (betweenTokens.count() > 0)
        smooth(m_betweenTokensMs, std::chrono::duration<double, std::milli>(betweenTokens).count());
    if (now < m_nextAdjustment)
        return;
    m_nextAdjustment = now + adjustmentInterval;
    adjust(inFlight);
}

void AdmissionLimit::adjust(int inFlight)
{
    const double latencyRatio = std::max(m_firstTokenMs / static_cast<double>(m_targets.firstToken.count()),
        m_betweenTokensMs / static_cast<double>(m_targets.betweenTokens.count()));
    const double minLimit = std::max(1.0, std::floor(m_slots * minLimitShare));
    if (latencyRatio > 1)
        m_limit = std::max(std::min(minLimit, m_limit), m_limit * decreaseFactor);
    else if (latencyRatio < increaseThreshold && inFlight + 1 >= static_cast<int>(m_limit))
        m_limit = std::min<double>(m_slots, m_limit + 1);
}

void AdmissionLimit::onFailure(TimePoint now)
{
    if (++m_failuresInRow < failuresUntilBlocked)
        return;
    m_failuresInRow = 0;
    m_blockedUntil = now + blockDuration;
    m_limit = 1;
}

int AdmissionLimit::value(TimePoint now) const { return now < m_blockedUntil ? 0 : static_cast<int>(m_limit); }

} // namespace bronzeswitch
