#include <gateway/SuspectedUpstreams.h>

namespace bronzeswitch {

void SuspectedUpstreams::removePeer(const std::string& peer)
{
    m_counts.removePeer(peer);
    m_peerSuspects.erase(peer);
}

std::vector<std::string> SuspectedUpstreams::byCounts(TimePoint now)
{
    const auto suspects = m_counts.suspects(now);
    return { suspects.begin(), suspects.end() };
}

bool SuspectedUpstreams::update(TimePoint now)
{
    auto suspects = m_counts.suspects(now);
    for (const auto& [peer, peerSuspects] : m_peerSuspects)
        suspects.insert(peerSuspects.begin(), peerSuspects.end());
    if (suspects == m_all)
        return false;
    m_all = std::move(suspects);
    return true;
}

} // namespace bronzeswitch
