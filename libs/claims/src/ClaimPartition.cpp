#include <algorithm>
#include <base/Hash.h>
#include <claims/ClaimPartition.h>
#include <limits>

namespace bronzeswitch {

using nlohmann::json;

namespace {

constexpr std::size_t maxRecentBatches = 256;
constexpr int64_t unknownTimeMs = std::numeric_limits<int64_t>::max(); // Until the next record tells it.

} // namespace

json toJson(const ClaimBatch& batch)
{
    auto claims = json::array();
    for (const auto& claim : batch.claims)
        claims.push_back({ claim.key, claim.attempt, claim.node, claim.validityMs });
    auto outcomes = json::array();
    for (const auto& outcome : batch.outcomes)
        outcomes.push_back({ outcome.key, outcome.attempt, outcome.status, outcome.contentType, outcome.body });
    json value { { "id", batch.id }, { "term", batch.term }, { "owner", batch.owner }, { "claims", claims }, { "outcomes", outcomes },
        { "ended", batch.endedEpisode }, { "peers", batch.peers } };
    if (batch.ownership)
        value["ownership"]
            = { { "owner", batch.ownership->owner }, { "base", batch.ownership->base }, { "quiet_ms", batch.ownership->quietMs } };
    return value;
}

Result<ClaimBatch> claimBatchFromJson(const json& value)
{
    try {
        ClaimBatch batch;
        batch.id = value.at("id");
        batch.term = value.at("term");
        batch.owner = value.at("owner");
        batch.endedEpisode = value.at("ended");
        batch.peers = value.value("peers", std::vector<std::string>());
        if (value.contains("ownership"))
            batch.ownership
                = OwnershipRecord { value["ownership"].at("owner"), value["ownership"].at("base"), value["ownership"].at("quiet_ms") };
        for (const auto& claim : value.at("claims"))
            batch.claims.push_back({ claim.at(0), claim.at(1), claim.at(2), claim.at(3) });
        for (const auto& outcome : value.at("outcomes"))
            batch.outcomes.push_back({ outcome.at(0), outcome.at(1), outcome.at(2), outcome.at(3), outcome.at(4) });
        return batch;
    } catch (const json::exception& error) {
        return fail(ErrorCode::Protocol, std::string("claim batch: ") + error.what());
    }
}

void ClaimPartition::apply(const LogRecord& record)
{
    if (record.offset < m_nextOffset)
        return;
    m_nextOffset = record.offset + 1;
    m_nowMs = std::max(m_nowMs, record.timeMs);
    if (m_trimmedUntilMs == unknownTimeMs)
        m_trimmedUntilMs = record.timeMs;
    const auto batch = claimBatchFromJson(record.data);
    if (!batch)
        return;
    removeExpired();
    if (!batch->owner.empty() && batch->term > m_term) {
        // A higher term means that this reader missed a takeover, because the log had trimmed its record.
        m_owner = batch->owner;
        m_term = batch->term;
        m_listedPeers.clear();
    }
    if (batch->ownership)
        applyOwnership(*batch->ownership, record);
    // A batch that takes the partition over belongs to the term that it begins.
    const bool isInTerm = batch->term == m_term || m_term == record.offset;
    if (isInTerm && !m_owner.empty())
        applyOwnerBatch(*batch, record);
    for (const auto& outcome : batch->outcomes)
        applyOutcome(outcome);
    m_recentBatches.push_back(batch->id);
    if (m_recentBatches.size() > maxRecentBatches)
        m_recentBatches.erase(m_recentBatches.begin());
}

// Applies the parts that only the current owner may write.
void ClaimPartition::applyOwnerBatch(const ClaimBatch& batch, const LogRecord& record)
{
    m_lastRenewalOffset = record.offset;
    m_lastRenewalMs = record.timeMs;
    if (!batch.peers.empty()) {
        m_listedPeers = batch.peers;
        m_peerListOffset = record.offset;
    }
    for (const auto& claim : batch.claims)
        applyClaim(claim, record);
    if (!batch.endedEpisode.empty())
        m_endedEpisodes.push_back(batch.endedEpisode);
}

void ClaimPartition::applyOwnership(const OwnershipRecord& ownership, const LogRecord& record)
{
    const auto quietSince = std::max(m_lastRenewalMs, m_trimmedUntilMs);
    const bool isQuiet = ownership.base == unknownBase && record.timeMs - quietSince >= ownership.quietMs;
    const bool isBaseCurrent = ownership.base == m_term && !isOwnershipTrimmed();
    if (ownership.owner == m_owner || (!isQuiet && !isBaseCurrent))
        return;
    m_owner = ownership.owner;
    m_listedPeers.clear();
    m_term = record.offset;
    m_lastRenewalOffset = record.offset;
    m_lastRenewalMs = record.timeMs;
}

bool ClaimPartition::hasEpisodeEnded(const std::string& episode) const
{
    return std::find(m_endedEpisodes.begin(), m_endedEpisodes.end(), episode) != m_endedEpisodes.end();
}

void ClaimPartition::applyClaim(const ClaimRecord& claim, const LogRecord& record)
{
    const auto found = m_entries.find(claim.key);
    const bool isNotRun = found != m_entries.end() && found->second.outcome && !found->second.outcome->status;
    if (found != m_entries.end() && !isNotRun)
        return;
    const auto expires = record.timeMs + claim.validityMs;
    m_entries[claim.key] = { claim.attempt, claim.node, record.offset, expires, std::nullopt };
    m_expiry.emplace(expires, claim.key);
}

void ClaimPartition::applyOutcome(const ClaimOutcome& outcome)
{
    const auto found = m_entries.find(outcome.key);
    if (found == m_entries.end() || found->second.attempt != outcome.attempt || found->second.outcome)
        return;
    found->second.outcome = outcome;
}

void ClaimPartition::removeExpired()
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= m_nowMs) {
        const auto found = m_entries.find(m_expiry.begin()->second);
        if (found != m_entries.end() && found->second.expiresMs <= m_nowMs)
            m_entries.erase(found);
        m_expiry.erase(m_expiry.begin());
    }
}

void ClaimPartition::onTrimmed(int64_t firstOffset, std::optional<int64_t> oldestTimeMs)
{
    if (firstOffset <= m_nextOffset)
        return;
    m_nextOffset = firstOffset;
    m_trimmedUntilMs = std::max(m_trimmedUntilMs, oldestTimeMs.value_or(unknownTimeMs));
}

const ClaimEntry* ClaimPartition::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool ClaimPartition::isHistoryComplete(int64_t validityMs) const
{
    if (m_trimmedUntilMs == unknownTimeMs)
        return false;
    return !m_trimmedUntilMs || m_nowMs - m_trimmedUntilMs >= validityMs;
}

bool ClaimPartition::hasApplied(const std::string& batchId) const
{
    return std::find(m_recentBatches.begin(), m_recentBatches.end(), batchId) != m_recentBatches.end();
}

int ClaimPartition::partitionOf(const std::string& key, int partitions)
{
    return static_cast<int>(stableHash(key) % static_cast<uint64_t>(partitions));
}

std::string ClaimPartition::streamOf(int partition) { return "claims-" + std::to_string(partition); }

} // namespace bronzeswitch
