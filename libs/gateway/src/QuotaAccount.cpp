#include <algorithm>
#include <gateway/QuotaAccount.h>

namespace bronzeswitch {

QuotaAccount::QuotaAccount(TimePoint now)
    : m_refilled(now)
{
}

void QuotaAccount::refill(const TokenQuota& quota, double silentShare, TimePoint now)
{
    const double rate = quota.ratePerSecond * (1 - std::clamp(silentShare, 0.0, 1.0));
    if (!m_isStarted)
        m_level = quota.burst;
    m_isStarted = true;
    m_level = std::min(quota.burst, m_level + rate * toSeconds(now - m_refilled));
    m_refilled = now;
}

bool QuotaAccount::take(const TokenQuota& quota, int tokens, int64_t peerTokens, double silentShare, TimePoint now)
{
    refill(quota, silentShare, now);
    m_level -= static_cast<double>(peerTokens - m_peerTokens);
    m_peerTokens = peerTokens;
    // A request larger than the whole burst would never fit, so it may take what a full bucket holds.
    if (m_level < std::min<double>(tokens, quota.burst))
        return false;
    m_level -= tokens;
    m_ownTokens += tokens;
    return true;
}

} // namespace bronzeswitch
