#include <algorithm>
#include <base/Hash.h>
#include <claims/ClaimOwnership.h>

namespace bronzeswitch {

namespace {

constexpr int renewalsPerLease = 3;
constexpr int marginShare = 10; // An owner stops this part of a lease before its end.
constexpr char lifeMark = '#';
constexpr size_t lifeDigits = 12;

} // namespace

ClaimOwnership::ClaimOwnership(const std::string& node, ClaimTiming timing)
    : m_owner(node + lifeMark + randomId().substr(0, lifeDigits))
    , m_node(node)
    , m_timing(timing)
{
}

std::string ClaimOwnership::nodeOf(const std::string& owner) { return owner.substr(0, owner.rfind(lifeMark)); }

bool ClaimOwnership::owns(const ClaimPartition& partition) const { return partition.owner() == m_owner; }

void ClaimOwnership::onCaughtUp(const ClaimPartition& partition, TimePoint now, const StreamEnds& ends)
{
    m_ends = ends;
    if (!owns(partition))
        m_leaseEnd = {};
    if (m_pendingBase && partition.term() != *m_pendingBase)
        m_pendingBase.reset();
    if (partition.lastRenewal() == m_seenRenewal)
        return;
    m_seenRenewal = partition.lastRenewal();
    m_renewalRead = now;
}

bool ClaimOwnership::mayTakeOver(const ClaimPartition& partition, Duration validity, TimePoint now) const
{
    if (owns(partition) || now < m_promisedUntil)
        return false;
    if (partition.isOwnershipForgotten())
        return partition.canVouch(validity.count());
    if (partition.owner().empty())
        return true;
    const bool isLapsed = m_seenRenewal > 0 && now - m_renewalRead >= m_timing.lease;
    return isLapsed && wasKnown(partition);
}

// An owner that knew this node has asked it for a promise before it granted anything without the log.
bool ClaimOwnership::wasKnown(const ClaimPartition& partition) const
{
    const auto& peers = partition.namedPeers();
    const bool isNamed = std::find(peers.begin(), peers.end(), m_node) != peers.end();
    const bool isThisLifeNamed = isNamed && m_ends.atStart && partition.namedOffset() >= *m_ends.atStart;
    const bool wasMature = m_ends.atMaturity && partition.lastRenewal() >= *m_ends.atMaturity;
    return isThisLifeNamed || wasMature;
}

bool ClaimOwnership::isNamingDue(const ClaimPartition& partition, const std::vector<std::string>& peers, TimePoint now) const
{
    return partition.namedPeers() != peers || now - m_lastNaming >= m_timing.lease;
}

OwnershipRecord ClaimOwnership::takeOver(const ClaimPartition& partition, Duration validity)
{
    m_pendingBase = partition.term();
    if (partition.isOwnershipForgotten())
        return { m_owner, forgottenBase, validity.count() };
    return { m_owner, partition.term(), 0 };
}

void ClaimOwnership::onNotAppended(const ClaimBatch& batch)
{
    if (batch.ownership)
        m_pendingBase.reset();
}

void ClaimOwnership::onAppended(const ClaimPartition& partition, const ClaimBatch& batch, TimePoint sent, TimePoint now)
{
    if (!owns(partition))
        return;
    if (!batch.peers.empty())
        m_lastNaming = sent;
    const bool isNewOwner = m_leaseEnd == TimePoint();
    if (isNewOwner && isInDoubt(partition))
        m_suspectSince = now;
    m_lastRenewal = sent;
    m_leaseEnd = sent + m_timing.lease - m_timing.lease / marginShare;
}

bool ClaimOwnership::isRenewalDue(const ClaimPartition& partition, TimePoint now) const
{
    return owns(partition) && now - m_lastRenewal >= m_timing.lease / renewalsPerLease;
}

std::optional<ClaimDeclaration> ClaimOwnership::nextDeclaration(
    const ClaimPartition& partition, int number, const std::vector<std::string>& peers, TimePoint now)
{
    const bool isLapsed = now >= m_leaseEnd;
    if (!owns(partition) || isLapsed)
        return std::nullopt;
    if (m_round && now - m_roundSent < m_timing.lease / renewalsPerLease)
        return std::nullopt;
    if (m_episode.empty())
        m_episode = randomId();
    ++m_round;
    m_roundSent = now;
    m_roundMissing = { peers.begin(), peers.end() };
    if (m_roundMissing.empty())
        onAck("", { number, m_episode, m_round });
    return ClaimDeclaration { number, m_owner, m_episode, m_round, m_timing.lease.count() };
}

void ClaimOwnership::onAck(const std::string& from, const ClaimDeclarationAck& ack)
{
    if (ack.episode != m_episode || ack.round != m_round || m_episode.empty())
        return;
    m_roundMissing.erase(from);
    if (!m_roundMissing.empty())
        return;
    m_isDeclared = true;
    m_leaseEnd = std::max(m_leaseEnd, m_roundSent + m_timing.lease - m_timing.lease / marginShare);
}

bool ClaimOwnership::mayGrantFromMemory(const ClaimPartition& partition, TimePoint now) const
{
    return owns(partition) && m_isDeclared && now < m_leaseEnd;
}

void ClaimOwnership::endEpisode()
{
    m_episode.clear();
    m_round = 0;
    m_isDeclared = false;
}

bool ClaimOwnership::promise(const ClaimDeclaration& declaration, const ClaimPartition& partition, TimePoint now)
{
    // An own take-over that may still reach the log can't be taken back, so nothing may be promised beside it.
    if (m_pendingBase || owns(partition))
        return false;
    m_promisedUntil = now + Duration(declaration.promiseMs);
    m_promisedEpisode = declaration.episode;
    return true;
}

bool ClaimOwnership::isInDoubt(const ClaimPartition& partition) const
{
    return !m_promisedEpisode.empty() && !partition.hasEnded(m_promisedEpisode);
}

bool ClaimOwnership::isSuspect(Duration validity, TimePoint now) const { return m_suspectSince && now - *m_suspectSince < validity; }

} // namespace bronzeswitch
