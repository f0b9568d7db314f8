#pragma once

#include <infra/AppendLog.h>
#include <protocol/Messages.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzeswitch {

/** A claim of an idempotency key, as stored in the log. */
struct ClaimRecord {
    std::string key;
    std::string attempt; /**< Unique ID of the attempt that claims the key. */
    std::string node; /**< Node that runs the attempt. */
    int64_t validityMs = 0; /**< How long the key is remembered after the time of the record. */

    bool operator==(const ClaimRecord&) const = default;
};

/** Base of a takeover by a node that can't know the current term, because the log has trimmed it. */
inline constexpr int64_t unknownBase = -1;

/**
 * Takes over or releases a partition. Accepted if its base is the current term or, with unknownBase, if no owner has
 * written for quietMs. A new owner's term is the offset of the record.
 */
struct OwnershipRecord {
    std::string owner; /**< Owner ID, see ClaimOwnership; empty if the partition is released. */
    int64_t base = 0; /**< Term that the writer knew as the current one, or unknownBase. */
    int64_t quietMs = 0; /**< With unknownBase only. */

    bool operator==(const OwnershipRecord&) const = default;
};

/** One record of a partition's log stream: an ownership change, claims and outcomes that were appended together. */
struct ClaimBatch {
    std::string id;
    int64_t term = 0; /**< Current term for the writer. The claims count only in this term, or if the batch itself begins a term. */
    std::string owner; /**< ID of the owner that wrote the batch, for readers that missed its takeover; empty in batches of others. */
    std::optional<OwnershipRecord> ownership;
    std::vector<std::string> peers; /**< Nodes that the owner would request promises from; empty if this batch does not list them. */
    std::string endedEpisode; /**< Episode whose claims have all been logged by this batch or before; else empty. */
    std::vector<ClaimRecord> claims;
    std::vector<ClaimOutcome> outcomes;

    bool operator==(const ClaimBatch&) const = default;
};

/** @return a batch as it is stored in the log. */
nlohmann::json toJson(const ClaimBatch&);

/** @return the batch, or Protocol if the value can't be read. */
Result<ClaimBatch> claimBatchFromJson(const nlohmann::json&);

/** State of a claimed key. */
struct ClaimEntry {
    std::string attempt;
    std::string node;
    int64_t offset = 0; /**< Of the record with the winning claim. */
    int64_t expiresMs = 0; /**< Unix time in milliseconds, by the log's clock. */
    std::optional<ClaimOutcome> outcome;

    bool operator==(const ClaimEntry&) const = default;
};

/**
 * State of one partition of the idempotency keys, built from the records of its log stream.
 *
 * The first claim of a key wins. A key becomes free again when its attempt is recorded as not run, or when its validity has
 * expired by the log's clock.
 */
class ClaimPartition {
public:
    /** Applies the next record of the stream. Records before nextOffset() are ignored. */
    void apply(const LogRecord&);

    /**
     * Handles that the log has trimmed the records before an offset.
     * @param oldestTimeMs time of the oldest record that is left; if there is none, the time of the next record is used.
     */
    void onTrimmed(int64_t firstOffset, std::optional<int64_t> oldestTimeMs);

    /** @return the entry of a key, or null if the key is not known. */
    const ClaimEntry* find(const std::string& key) const;

    /** @return true if a key without an entry was not claimed: no trimmed record can hold a claim that is still valid. */
    bool isHistoryComplete(int64_t validityMs) const;

    /** @return true if the log may have trimmed the record of the current ownership. */
    bool isOwnershipTrimmed() const { return m_trimmedUntilMs && !m_term; }

    /** @return the ID of the current owner, empty if there is none. */
    const std::string& owner() const { return m_owner; }

    /** @return the current term, 0 if there has been no owner. */
    int64_t term() const { return m_term; }

    /** @return the offset of the newest record by an owner; each of them renews the owner's lease. */
    int64_t lastRenewalOffset() const { return m_lastRenewalOffset; }

    /** @return the nodes that the current owner last listed as those that it requests promises from. */
    const std::vector<std::string>& listedPeers() const { return m_listedPeers; }

    /** @return the offset of the record that listed them. */
    int64_t peerListOffset() const { return m_peerListOffset; }

    /** @return true if the log holds all claims of an episode. */
    bool hasEpisodeEnded(const std::string& episode) const;

    /** @return the offset of the first record that has not been applied. */
    int64_t nextOffset() const { return m_nextOffset; }

    /** @return the number of known keys. */
    std::size_t size() const { return m_entries.size(); }

    /** @return true if the batch with this ID has been applied recently. */
    bool hasApplied(const std::string& batchId) const;

    /** @return the partition of a key, from 0 to partitions - 1. */
    static int partitionOf(const std::string& key, int partitions);

    /** @return the name of a partition's log stream. */
    static std::string streamOf(int partition);

private:
    void applyOwnership(const OwnershipRecord&, const LogRecord&);
    void applyClaim(const ClaimRecord&, const LogRecord&);
    void applyOutcome(const ClaimOutcome&);
    void applyOwnerBatch(const ClaimBatch&, const LogRecord&);
    void removeExpired();

    std::unordered_map<std::string, ClaimEntry> m_entries;
    std::multimap<int64_t, std::string> m_expiry;
    std::vector<std::string> m_recentBatches;
    std::vector<std::string> m_endedEpisodes;
    std::string m_owner;
    std::vector<std::string> m_listedPeers;
    int64_t m_peerListOffset = 0;
    int64_t m_term = 0;
    int64_t m_lastRenewalOffset = 0;
    int64_t m_lastRenewalMs = 0;
    int64_t m_nextOffset = 1;
    int64_t m_nowMs = 0; /**< Time of the newest record, by the log's clock. */
    int64_t m_trimmedUntilMs = 0; /**< Latest possible time of a trimmed record; 0 if none was trimmed unread. */
};

} // namespace bronzeswitch
