#include <algorithm>
#include <sched/RequestRateLimit.h>

namespace bronzeswitch {

namespace {

constexpr double bucketSeconds = 0.5; // What the limit allows in this time may be used at once, besides one request.
constexpr double minPerSecond = 0.2;

} // namespace

void RequestRateLimit::set(std::optional<double> perSecond, TimePoint now)
{
    m_tokens = m_perSecond ? tokens(now) : 0;
    m_countedAt = now;
    m_perSecond = perSecond;
    if (m_perSecond)
        m_perSecond = std::max(*m_perSecond, minPerSecond);
}

double RequestRateLimit::tokens(TimePoint now) const
{
    const double capacity = 1 + *m_perSecond * bucketSeconds;
    return std::min(capacity, m_tokens + *m_perSecond * toSeconds(now - m_countedAt));
}

void RequestRateLimit::onGrant(TimePoint now)
{
    if (!m_perSecond)
        return;
    m_tokens = tokens(now) - 1;
    m_countedAt = now;
}

} // namespace bronzeswitch
