#include <algorithm>
#include <gateway/PathMonitor.h>

namespace bronzeswitch {

bool PathMonitor::isEvidence(const Failure& failure, TimePoint now) const
{
    // Open connections may live on while new ones are refused.
    const auto lastSign = failure.result == ConnectResult::Refused ? m_lastReached : std::max(m_lastReached, m_lastReceived);
    return failure.at > std::max(lastSign, now - m_policy.evidenceTime);
}

bool PathMonitor::isCutOff(TimePoint now) const
{
    const auto count = std::count_if(m_failed.begin(), m_failed.end(), [&](const auto& item) { return isEvidence(item.second, now); });
    return static_cast<std::size_t>(count) >= m_policy.minUpstreams;
}

bool PathMonitor::isLost(const std::string& upstream, TimePoint now) const
{
    const auto failed = m_failed.find(upstream);
    const bool isEvidenceFresh = failed != m_failed.end() && now - failed->second.at < m_policy.evidenceTime;
    return (m_retestAt.contains(upstream) && isEvidenceFresh) || isCutOff(now);
}

void PathMonitor::expire(TimePoint now)
{
    std::erase_if(m_failed, [&](const auto& item) { return now - item.second.at >= m_policy.evidenceTime; });
    std::erase_if(m_retestAt, [&](const auto& retest) { return !m_failed.contains(retest.first); });
}

bool PathMonitor::shouldConnectDirectly(const std::string& upstream, TimePoint now)
{
    if (isCutOff(now)) {
        if (now < m_nextTest)
            return false;
        m_nextTest = now + m_policy.retestInterval / 2;
        return true;
    }
    const auto lost = m_retestAt.find(upstream);
    if (lost == m_retestAt.end())
        return true;
    if (now < lost->second)
        return false;
    lost->second = now + m_policy.retestInterval;
    return true;
}

void PathMonitor::onDirect(const std::string& upstream, ConnectResult result, TimePoint now)
{
    if (result == ConnectResult::Refused)
        m_lastRefused = now;
    if (result != ConnectResult::Connected) {
        m_failed[upstream] = { now, result };
        return;
    }
    m_lastReached = now;
    m_retestAt.erase(upstream);
    m_failed.erase(upstream);
}

bool PathMonitor::isSilent(TimePoint now) const
{
    const bool isProven = now - m_lastProof < m_policy.evidenceTime;
    return isProven && isCutOff(now) && now - m_lastRefused >= m_policy.evidenceTime;
}

void PathMonitor::onReachedByOther(const std::string& upstream, Duration taken, TimePoint now)
{
    if (taken <= m_policy.quickReach)
        m_lastProof = now;
    m_failed[upstream].at = now; // Also while this node does not try its own path, so that it stays cut off until a test succeeds.
    m_retestAt.try_emplace(upstream, now + m_policy.retestInterval);
}

bool PathMonitor::onBroken(const std::string& upstream, TimePoint now)
{
    m_broken[upstream] = now;
    std::erase_if(m_broken, [&](const auto& event) { return event.second <= now - m_policy.burstTime; });
    return isLost(upstream, now) || m_broken.size() >= m_policy.minUpstreams;
}

} // namespace bronzeswitch
