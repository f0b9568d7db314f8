#include <algorithm>
#include <sched/SpeedEstimate.h>

namespace bronzeswitch {

namespace {

constexpr double smoothingFactor = 0.2;

} // namespace

SpeedEstimate::SpeedEstimate(NominalSpeed nominal)
    : m_nominal(nominal)
    , m_betweenTokensMs(nominal.betweenTokensMs)
{
}

void SpeedEstimate::onResponse(double betweenTokensMs)
{
    if (betweenTokensMs <= 0)
        return;
    m_betweenTokensMs = m_isLearned ? m_betweenTokensMs + smoothingFactor * (betweenTokensMs - m_betweenTokensMs) : betweenTokensMs;
    m_isLearned = true;
}

void SpeedEstimate::onPeerEstimate(double betweenTokensMs)
{
    if (!m_isLearned && betweenTokensMs > 0)
        m_betweenTokensMs = betweenTokensMs;
}

void SpeedEstimate::onDispatch(int tokens, TimePoint now)
{
    const auto prefillTime = std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(prefillSeconds(tokens)));
    m_backlogUntil = std::max(now, m_backlogUntil) + prefillTime;
}

double SpeedEstimate::prefillSeconds(int tokens) const
{
    const double ratio = m_betweenTokensMs / m_nominal.betweenTokensMs;
    return tokens * ratio / m_nominal.prefillTokensPerSecond;
}

double SpeedEstimate::decodeSeconds(int tokens) const { return tokens * m_betweenTokensMs / millisecondsPerSecond; }

double SpeedEstimate::backlogSeconds(TimePoint now) const { return std::max(0.0, toSeconds(m_backlogUntil - now)); }

std::optional<double> SpeedEstimate::learned() const { return m_isLearned ? std::optional<double>(m_betweenTokensMs) : std::nullopt; }

} // namespace bronzeswitch
