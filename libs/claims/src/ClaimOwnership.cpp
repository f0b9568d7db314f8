#include <algorithm>
#include <base/Hash.h>
#include <claims/ClaimOwnership.h>

namespace bronzeswitch {

namespace {

constexpr int renewalsPerLease = 3;
constexpr int leaseMarginDivisor = 10; // An owner's lease ends this fraction of its duration early.
constexpr char incarnationSeparator = '#';
constexpr size_t incarnationIdLength = 12;

} // namespace

ClaimOwnership::ClaimOwnership(const std::string& node, ClaimTiming timing)
    : m_owner(node + incarnationSeparator + randomId().substr(0, incarnationIdLength))
    , m_node(node)
    , m_timing(timing)
{
}

std::string ClaimOwnership::nodeOf(const std::string& owner) { return owner.substr(0, owner.rfind(incarnationSeparator)); }

bool ClaimOwnership::owns(const ClaimPartition& partition) const { return partition.owner() == m_owner; }

void ClaimOwnership::onCaughtUp(const ClaimPartition& partition, TimePoint now, const StreamEndOffsets& streamEndOffsets)
{
    m_streamEndOffsets = streamEndOffsets;
    if (!owns(partition))
        m_leaseEnd = {};
    if (m_pendingTakeoverBase && partition.term() != *m_pendingTakeoverBase)
        m_pendingTakeoverBase.reset();
    if (partition.lastRenewalOffset() == m_seenRenewalOffset)
        return;
    m_seenRenewalOffset = partition.lastRenewalOffset();
    m_seenRenewalTime = now;
}

bool ClaimOwnership::mayTakeOver(const ClaimPartition& partition, Duration validity, TimePoint now) const
{
    if (owns(partition) || now < m_promisedUntil)
        return false;
    if (partition.isOwnershipTrimmed())
        return partition.isHistoryComplete(validity.count());
    if (partition.owner().empty())
        return true;
    const bool isLeaseExpired = m_seenRenewalOffset > 0 && now - m_seenRenewalTime >= m_timing.leaseDuration;
    return isLeaseExpired && wasKnownToOwner(partition);
}

// An owner that knew this incarnation would have requested a promise from it before granting anything without the log.
bool ClaimOwnership::wasKnownToOwner(const ClaimPartition& partition) const
{
    const auto& peers = partition.listedPeers();
    const bool isListed = std::find(peers.begin(), peers.end(), m_node) != peers.end();
    const bool isThisIncarnationListed
        = isListed && m_streamEndOffsets.atStart && partition.peerListOffset() >= *m_streamEndOffsets.atStart;
    const bool wasKnownToAll = m_streamEndOffsets.whenKnownToAll && partition.lastRenewalOffset() >= *m_streamEndOffsets.whenKnownToAll;
    return isThisIncarnationListed || wasKnownToAll;
}

bool ClaimOwnership::isPeerListDue(const ClaimPartition& partition, const std::vector<std::string>& peers, TimePoint now) const
{
    return partition.listedPeers() != peers || now - m_lastPeerListSent >= m_timing.leaseDuration;
}

OwnershipRecord ClaimOwnership::beginTakeover(const ClaimPartition& partition, Duration validity)
{
    m_pendingTakeoverBase = partition.term();
    if (partition.isOwnershipTrimmed())
        return { m_owner, unknownBase, validity.count() };
    return { m_owner, partition.term(), 0 };
}

void ClaimOwnership::onNotAppended(const ClaimBatch& batch)
{
    if (batch.ownership)
        m_pendingTakeoverBase.reset();
}

void ClaimOwnership::onAppended(const ClaimPartition& partition, const ClaimBatch& batch, TimePoint sent, TimePoint now)
{
    if (!owns(partition))
        return;
    if (!batch.peers.empty())
        m_lastPeerListSent = sent;
    const bool isNewOwner = m_leaseEnd == TimePoint();
    if (isNewOwner && hasOpenEpisode(partition))
        m_mayMissClaimsSince = now;
    m_lastRenewalSent = sent;
    m_leaseEnd = sent + m_timing.leaseDuration - m_timing.leaseDuration / leaseMarginDivisor;
}

bool ClaimOwnership::isRenewalDue(const ClaimPartition& partition, TimePoint now) const
{
    return owns(partition) && now - m_lastRenewalSent >= m_timing.leaseDuration / renewalsPerLease;
}

std::optional<ClaimDeclaration> ClaimOwnership::nextDeclaration(
    const ClaimPartition& partition, int partitionNumber, const std::vector<std::string>& peers, TimePoint now)
{
    const bool isLeaseExpired = now >= m_leaseEnd;
    if (!owns(partition) || isLeaseExpired)
        return std::nullopt;
    if (m_round && now - m_roundSent < m_timing.leaseDuration / renewalsPerLease)
        return std::nullopt;
    if (m_episode.empty())
        m_episode = randomId();
    ++m_round;
    m_roundSent = now;
    m_missingAcks = { peers.begin(), peers.end() };
    if (m_missingAcks.empty())
        onAck("", { partitionNumber, m_episode, m_round });
    return ClaimDeclaration { partitionNumber, m_owner, m_episode, m_round, m_timing.leaseDuration.count() };
}

void ClaimOwnership::onAck(const std::string& from, const ClaimDeclarationAck& ack)
{
    if (ack.episode != m_episode || ack.round != m_round || m_episode.empty())
        return;
    m_missingAcks.erase(from);
    if (!m_missingAcks.empty())
        return;
    m_hasAllPromises = true;
    m_leaseEnd = std::max(m_leaseEnd, m_roundSent + m_timing.leaseDuration - m_timing.leaseDuration / leaseMarginDivisor);
}

bool ClaimOwnership::mayGrantWithoutLog(const ClaimPartition& partition, TimePoint now) const
{
    return owns(partition) && m_hasAllPromises && now < m_leaseEnd;
}

void ClaimOwnership::endEpisode()
{
    m_episode.clear();
    m_round = 0;
    m_hasAllPromises = false;
}

bool ClaimOwnership::promise(const ClaimDeclaration& declaration, const ClaimPartition& partition, TimePoint now)
{
    // A takeover by this node that may still reach the log can't be withdrawn, so a promise could be broken.
    if (m_pendingTakeoverBase || owns(partition))
        return false;
    m_promisedUntil = now + Duration(declaration.promiseMs);
    m_promisedEpisode = declaration.episode;
    return true;
}

bool ClaimOwnership::hasOpenEpisode(const ClaimPartition& partition) const
{
    return !m_promisedEpisode.empty() && !partition.hasEpisodeEnded(m_promisedEpisode);
}

bool ClaimOwnership::mayMissClaims(Duration validity, TimePoint now) const
{
    return m_mayMissClaimsSince && now - *m_mayMissClaimsSince < validity;
}

} // namespace bronzeswitch
