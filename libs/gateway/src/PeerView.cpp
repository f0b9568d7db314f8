#include <algorithm>
#include <base/Hash.h>
#include <gateway/PeerView.h>

namespace bronzeswitch {

std::tuple<int, uint64_t, std::string> nodeRankKey(const std::string& address, int capacity)
{
    return { -capacity, stableHash(address), address };
}

PeerView::PeerView(PeerTimeouts timeouts, DelegatePolicy delegatePolicy)
    : m_timeouts(timeouts)
    , m_delegatePolicy(delegatePolicy)
{
}

void PeerView::setOwnNode(OwnNode own)
{
    m_own = std::move(own);
    m_peers.erase(m_own.address);
}

void PeerView::addAddress(const std::string& address, bool isSeed, TimePoint now)
{
    if (address == m_own.address || address.empty())
        return;
    auto [entry, isNew] = m_peers.try_emplace(address);
    if (isNew)
        entry->second.added = now;
    entry->second.isSeed = entry->second.isSeed || isSeed;
}

bool PeerView::onReport(const std::string& address, const NodeReport& report, TimePoint now)
{
    if (address == m_own.address)
        return false;
    addAddress(address, false, now);
    auto& peer = m_peers.at(address);
    const bool isSameIncarnation = peer.hasReported && peer.report.incarnation == report.incarnation;
    const bool isOutdated = peer.hasReported
        && (report.incarnation < peer.report.incarnation || (isSameIncarnation && report.sequence <= peer.report.sequence));
    if (isOutdated)
        return false;
    const bool isNewlyLive = !peer.isLive;
    if (report.isDelegate && (isNewlyLive || !peer.report.isDelegate))
        peer.delegateSince = now;
    peer.report = report;
    peer.hasReported = true;
    peer.isLive = true;
    peer.lastReport = now;
    for (const auto& other : report.peers) {
        if (isRelevant(other))
            addAddress(other.address, false, now);
    }
    adoptRegisteredNodes(report);
    return isNewlyLive;
}

bool PeerView::isFromLaterStart(const std::string& address, const NodeReport& report) const
{
    const auto peer = m_peers.find(address);
    return peer != m_peers.end() && peer->second.isLive && report.incarnation > peer->second.report.incarnation;
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

bool PeerView::isDelegate() const
{
    const auto own = nodeRankKey(m_own.address, m_own.capacity);
    const auto rank = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) {
        const auto& [address, peer] = entry;
        const bool isCandidate = peer.isLive && peer.report.isReady && !peer.report.isDraining && isInOwnDataCentre(peer);
        return isCandidate && nodeRankKey(address, peer.report.capacity) < own;
    });
    return m_delegatePolicy.isDelegate(knownNodeCount(), static_cast<int>(rank));
}

ReportTargets PeerView::reportTargets() const
{
    ReportTargets targets;
    const bool isOwnDelegate = isDelegate();
    for (const auto& [address, peer] : m_peers) {
        if (!peer.hasReported || peer.report.isDelegate)
            targets.withLoads.push_back(address);
        else if (isOwnDelegate || isInOwnDataCentre(peer))
            targets.withoutLoads.push_back(address);
    }
    return targets;
}

std::vector<NamedPeer> PeerView::nextPeersToName(std::size_t count, const std::string& dataCentre)
{
    std::vector<NamedPeer> named;
    for (const auto& [address, peer] : m_peers) {
        if (peer.isLive && (peer.report.isDelegate || peer.report.dataCentre == dataCentre))
            named.push_back({ address, peer.report.dataCentre, peer.report.isDelegate });
    }
    if (named.size() <= count)
        return named;
    // Each node begins at its own address, so that all nodes together name all peers from the start.
    const auto& last = m_lastNamed.empty() ? m_own.address : m_lastNamed;
    const auto next = std::upper_bound(
        named.begin(), named.end(), last, [](const std::string& address, const NamedPeer& peer) { return address < peer.address; });
    std::rotate(named.begin(), next, named.end());
    named.resize(count);
    m_lastNamed = named.back().address;
    return named;
}

std::vector<NamedPeer> PeerView::newDelegates() const
{
    std::vector<NamedPeer> result;
    if (knownNodeCount() <= m_delegatePolicy.smallFleet)
        return result;
    for (const auto& [address, peer] : m_peers) {
        const bool isNew = peer.delegateSince != TimePoint {} && m_now - peer.delegateSince <= m_timeouts.newDelegateTime;
        if (isNew && peer.isLive && peer.report.isDelegate)
            result.push_back({ address, peer.report.dataCentre, true });
    }
    return result;
}

std::vector<std::string> PeerView::readyPeers() const
{
    std::vector<std::string> result;
    for (const auto& [address, peer] : m_peers) {
        if (peer.isLive && peer.report.isDelegate && peer.report.isReady && !peer.report.isDraining)
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

std::vector<std::string> PeerView::peersReachingSource(const std::string& dataCentre) const
{
    std::vector<std::string> result;
    for (const auto& [address, peer] : m_peers) {
        const bool isWanted = dataCentre.empty() || peer.report.dataCentre == dataCentre;
        if (isWanted && peer.isLive && peer.report.isSourceReachable)
            result.push_back(address);
    }
    return result;
}

std::vector<std::string> PeerView::peersWithPaths() const
{
    std::vector<std::string> result;
    for (const auto& [address, peer] : m_peers) {
        if (peer.isLive && peer.report.isReady && !peer.report.isDraining && !peer.report.isCutOff)
            result.push_back(address);
    }
    return result;
}

std::string PeerView::dataCentreOf(const std::string& address) const
{
    const auto peer = m_peers.find(address);
    return peer == m_peers.end() ? std::string() : peer->second.report.dataCentre;
}

int PeerView::capacityOf(const std::string& address) const
{
    const auto peer = m_peers.find(address);
    return peer == m_peers.end() || !peer->second.isLive ? 0 : peer->second.report.capacity;
}

bool PeerView::isSilent(const std::string& address, TimePoint now) const
{
    const auto peer = m_peers.find(address);
    return peer != m_peers.end() && now - peer->second.lastReport > m_timeouts.silentTimeout;
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

int PeerView::liveNodeCount() const
{
    int count = directLiveNodeCount();
    for (const auto& [address, peer] : m_peers) {
        if (peer.isLive)
            count = std::max(count, peer.report.liveNodes);
    }
    return count;
}

int PeerView::directNodeCount() const
{
    return 1 + static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(), [](const auto& entry) { return entry.second.hasReported; }));
}

int PeerView::knownNodeCount() const
{
    int count = std::max(directNodeCount(), m_registeredNodes);
    for (const auto& [address, peer] : m_peers) {
        if (peer.isLive)
            count = std::max(count, peer.report.knownNodes);
    }
    return count;
}

void PeerView::setRegisteredNodes(int count, bool wasRegistered)
{
    m_registeredNodes = count;
    m_wasRegistered = wasRegistered;
    updateFleetKnown();
}

// The registrar's number counts; without one, any number does for a node that knows none.
void PeerView::adoptRegisteredNodes(const NodeReport& report)
{
    m_hasHeardPeer = true;
    if (report.registeredNodes > 0 && (report.isRegistrar || m_registeredNodes == 0))
        m_registeredNodes = report.registeredNodes;
    updateFleetKnown();
}

void PeerView::updateFleetKnown()
{
    const bool isOnlyNode = m_registeredNodes == 1;
    m_isFleetKnown = m_isFleetKnown || (m_registeredNodes > 0 && (isOnlyNode || m_wasRegistered || m_hasHeardPeer));
}

std::vector<StateHolder> PeerView::newestRoutingHolders(int64_t newerThan, const std::string& dataCentre) const
{
    int64_t newest = newerThan;
    std::vector<StateHolder> holders;
    for (const auto& [address, peer] : m_peers) {
        if (!peer.isLive || peer.report.routingVersion <= newerThan || peer.report.routingVersion < newest)
            continue;
        if (peer.report.routingVersion > newest)
            holders.clear();
        newest = peer.report.routingVersion;
        holders.push_back({ address, peer.report.dataCentre == dataCentre });
    }
    return holders;
}

const NodeReport* PeerView::newestDirectoryPeer(const SourcePosition& newerThan, std::string& address) const
{
    const NodeReport* best = nullptr;
    for (const auto& [key, peer] : m_peers) {
        if (!peer.isLive || peer.report.directoryPosition <= newerThan
            || (best && peer.report.directoryPosition <= best->directoryPosition))
            continue;
        best = &peer.report;
        address = key;
    }
    return best;
}

} // namespace bronzeswitch
