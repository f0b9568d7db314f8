#include <algorithm>
#include <base/Hash.h>
#include <claims/ClaimPartition.h>
#include <limits>

namespace bronzeswitch {

using nlohmann::json;

namespace {

constexpr std::size_t maxRecentBatches = 256;
constexpr int64_t unknownTime = std::numeric_limits<int64_t>::max();

} // namespace

json toJson(const ClaimBatch& batch)
{
    auto claims = json::array();
    for (const auto& claim : batch.claims)
        claims.push_back({ claim.key, claim.attempt, claim.owner, claim.validityMs });
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
    if (m_forgottenUntilMs == unknownTime)
        m_forgottenUntilMs = record.timeMs;
    const auto batch = claimBatchFromJson(record.data);
    if (!batch)
        return;
    forgetExpired();
    if (!batch->owner.empty() && batch->term > m_term) {
        // Only a reader that missed a take-over, because the log had forgotten it, meets a higher term.
        m_owner = batch->owner;
        m_term = batch->term;
        m_namedPeers.clear();
    }
    if (batch->ownership)
        applyOwnership(*batch->ownership, record);
    // A batch that takes the partition over has the term that it makes.
    const bool isInTerm = batch->term == m_term || m_term == record.offset;
    if (isInTerm && !m_owner.empty())
        applyOwnBatch(*batch, record);
    for (const auto& outcome : batch->outcomes)
        applyOutcome(outcome);
    m_recentBatches.push_back(batch->id);
    if (m_recentBatches.size() > maxRecentBatches)
        m_recentBatches.erase(m_recentBatches.begin());
}

// Takes what only the owner in force may write.
void ClaimPartition::applyOwnBatch(const ClaimBatch& batch, const LogRecord& record)
{
    m_lastRenewal = record.offset;
    m_lastRenewalMs = record.timeMs;
    if (!batch.peers.empty()) {
        m_namedPeers = batch.peers;
        m_namedOffset = record.offset;
    }
    for (const auto& claim : batch.claims)
        applyClaim(claim, record);
    if (!batch.endedEpisode.empty())
        m_endedEpisodes.push_back(batch.endedEpisode);
}

void ClaimPartition::applyOwnership(const OwnershipRecord& ownership, const LogRecord& record)
{
    const auto quietSince = std::max(m_lastRenewalMs, m_forgottenUntilMs);
    const bool isQuiet = ownership.base == forgottenBase && record.timeMs - quietSince >= ownership.quietMs;
    const bool isOnTerm = ownership.base == m_term && !isOwnershipForgotten();
    if (ownership.owner == m_owner || (!isQuiet && !isOnTerm))
        return;
    m_owner = ownership.owner;
    m_namedPeers.clear();
    m_term = record.offset;
    m_lastRenewal = record.offset;
    m_lastRenewalMs = record.timeMs;
}

bool ClaimPartition::hasEnded(const std::string& episode) const
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
    m_entries[claim.key] = { claim.attempt, claim.owner, record.offset, expires, std::nullopt };
    m_expiry.emplace(expires, claim.key);
}

void ClaimPartition::applyOutcome(const ClaimOutcome& outcome)
{
    const auto found = m_entries.find(outcome.key);
    if (found == m_entries.end() || found->second.attempt != outcome.attempt || found->second.outcome)
        return;
    found->second.outcome = outcome;
}

void ClaimPartition::forgetExpired()
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= m_nowMs) {
        const auto found = m_entries.find(m_expiry.begin()->second);
        if (found != m_entries.end() && found->second.expiresMs <= m_nowMs)
            m_entries.erase(found);
        m_expiry.erase(m_expiry.begin());
    }
}

void ClaimPartition::noteRetention(int64_t first, std::optional<int64_t> oldestTimeMs)
{
    if (first <= m_nextOffset)
        return;
    m_nextOffset = first;
    m_forgottenUntilMs = std::max(m_forgottenUntilMs, oldestTimeMs.value_or(unknownTime));
}

const ClaimEntry* ClaimPartition::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool ClaimPartition::canVouch(int64_t validityMs) const
{
    if (m_forgottenUntilMs == unknownTime)
        return false;
    return !m_forgottenUntilMs || m_nowMs - m_forgottenUntilMs >= validityMs;
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
