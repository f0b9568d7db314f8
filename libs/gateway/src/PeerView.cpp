#include <algorithm>
#include <gateway/PeerView.h>

namespace bronzeswitch {

PeerView::PeerView(PeerTimeouts timeouts)
    : m_timeouts(timeouts)
{
}

void PeerView::setOwnAddress(const std::string& address)
{
    m_ownAddress = address;
    m_peers.erase(address);
}

void PeerView::addAddress(const std::string& address, bool isSeed, TimePoint now)
{
    if (address == m_ownAddress || address.empty())
        return;
    auto [entry, isNew] = m_peers.try_emplace(address);
    if (isNew)
        entry->second.added = now;
    entry->second.isSeed = entry->second.isSeed || isSeed;
}

bool PeerView::onReport(const std::string& address, const NodeReport& report, TimePoint now)
{
    if (address == m_ownAddress)
        return false;
    addAddress(address, false, now);
    auto& peer = m_peers.at(address);
    const bool isSameIncarnation = peer.hasReported && peer.report.incarnation == report.incarnation;
    const bool isOutdated = peer.hasReported
        && (report.incarnation < peer.report.incarnation || (isSameIncarnation && report.sequence <= peer.report.sequence));
    if (isOutdated)
        return false;
    const bool isNewlyLive = !peer.isLive;
    peer.report = report;
    peer.hasReported = true;
    peer.isLive = true;
    peer.lastReport = now;
    for (const auto& other : report.peers)
        addAddress(other, false, now);
    return isNewlyLive;
}

std::vector<std::string> PeerView::expire(TimePoint now)
{
    m_now = now;
    std::vector<std::string> lost;
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        auto& peer = entry->second;
        if (peer.isLive && now - peer.lastReport > m_timeouts.liveTimeout) {
            peer.isLive = false;
            lost.push_back(entry->first);
        }
        const auto lastSign = peer.hasReported ? peer.lastReport : peer.added;
        const bool isExpired = !peer.isSeed && now - lastSign > m_timeouts.forgetTimeout;
        if (!isExpired) {
            ++entry;
            continue;
        }
        entry = m_peers.erase(entry);
    }
    return lost;
}

std::vector<std::string> PeerView::addresses() const
{
    std::vector<std::string> result;
    for (const auto& [address, peer] : m_peers)
        result.push_back(address);
    return result;
}

std::vector<std::string> PeerView::livePeers() const
{
    std::vector<std::string> result;
    for (const auto& [address, peer] : m_peers) {
        if (peer.isLive)
            result.push_back(address);
    }
    return result;
}

std::vector<std::string> PeerView::nextPeersToName(std::size_t count)
{
    auto named = livePeers();
    if (named.size() <= count)
        return named;
    // Each node begins at its own address, so that all nodes together name all peers from the start.
    const auto& last = m_lastNamed.empty() ? m_ownAddress : m_lastNamed;
    std::rotate(named.begin(), std::upper_bound(named.begin(), named.end(), last), named.end());
    named.resize(count);
    m_lastNamed = named.back();
    return named;
}

std::vector<std::string> PeerView::readyPeers() const
{
    std::vector<std::string> result;
    for (const auto& [address, peer] : m_peers) {
        if (peer.isLive && peer.report.isReady && !peer.report.isDraining)
            result.push_back(address);
    }
    return result;
}

std::vector<std::string> PeerView::responsivePeers() const
{
    auto result = readyPeers();
    std::erase_if(result, [this](const std::string& address) { return isSuspected(m_peers.at(address)); });
    return result;
}

std::vector<std::string> PeerView::filterByCapacity(std::vector<std::string> addresses, int ownCapacity) const
{
    const auto capacityOf = [&](const std::string& address) {
        const auto peer = m_peers.find(address);
        return peer == m_peers.end() ? ownCapacity : peer->second.report.capacity;
    };
    int maxCapacity = 0;
    for (const auto& address : addresses)
        maxCapacity = std::max(maxCapacity, capacityOf(address));
    std::erase_if(addresses, [&](const std::string& address) { return 2 * capacityOf(address) < maxCapacity; });
    return addresses;
}

std::vector<std::string> PeerView::peersReachingSource() const
{
    std::vector<std::string> result;
    for (const auto& [address, peer] : m_peers) {
        if (peer.isLive && peer.report.isSourceReachable)
            result.push_back(address);
    }
    return result;
}

void PeerView::suspect(const std::string& address, TimePoint now)
{
    if (const auto found = m_peers.find(address); found != m_peers.end())
        found->second.suspected = now;
}

bool PeerView::isSuspected(const Peer& peer) const
{
    return peer.suspected != TimePoint {} && (peer.lastReport < peer.suspected || m_now < peer.suspected + m_timeouts.minSuspicionTime);
}

int PeerView::knownNodeCount() const
{
    return 1 + static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(), [](const auto& entry) { return entry.second.hasReported; }));
}

const NodeReport* PeerView::newestRoutingPeer(int64_t newerThan, std::string& address) const
{
    const NodeReport* best = nullptr;
    for (const auto& [key, peer] : m_peers) {
        if (!peer.isLive || peer.report.routingVersion <= newerThan || (best && peer.report.routingVersion <= best->routingVersion))
            continue;
        best = &peer.report;
        address = key;
    }
    return best;
}

const NodeReport* PeerView::newestDirectoryPeer(int64_t newerThan, std::string& address) const
{
    const NodeReport* best = nullptr;
    for (const auto& [key, peer] : m_peers) {
        if (!peer.isLive || peer.report.directoryOffset <= newerThan || (best && peer.report.directoryOffset <= best->directoryOffset))
            continue;
        best = &peer.report;
        address = key;
    }
    return best;
}

} // namespace bronzeswitch
