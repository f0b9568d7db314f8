#pragma once

#include <infra/AppendLog.h>
#include <protocol/Messages.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzeswitch {

/** A claim as it is written to the log. */
struct ClaimRecord {
    std::string key;
    std::string attempt;
    std::string owner; /**< Node that will dispatch. */
    int64_t validityMs = 0; /**< How long the key is remembered after this record. */

    bool operator==(const ClaimRecord&) const = default;
};

/** Base of a take-over by a node that can't know the term in force, because the log has forgotten it. */
inline constexpr int64_t forgottenBase = -1;

/**
 * Takes or gives up the ownership of a partition. The owner is one life of one node. Accepted if its base is the term in
 * force; with a forgotten base, if no owner has written for the stated time. A new owner's term is the place of its record.
 */
struct OwnershipRecord {
    std::string owner; /**< Empty when the partition is given up. */
    int64_t base = 0;
    int64_t quietMs = 0; /**< For a forgotten base. */

    bool operator==(const OwnershipRecord&) const = default;
};

/** One record of a claim stream: ownership, claims and outcomes that were committed together. */
struct ClaimBatch {
    std::string id;
    int64_t term = 0; /**< Claims count only in the term in force, or in the one that the batch's own ownership makes. */
    std::string owner; /**< Who wrote it as the owner, for readers that missed the take-over; else empty. */
    std::optional<OwnershipRecord> ownership;
    std::vector<std::string> peers; /**< Nodes that the owner would ask for promises; empty when it does not say. */
    std::string endedEpisode; /**< The batch holds everything that was claimed in this stretch without the log. */
    std::vector<ClaimRecord> claims;
    std::vector<ClaimOutcome> outcomes;

    bool operator==(const ClaimBatch&) const = default;
};

nlohmann::json toJson(const ClaimBatch&);
Result<ClaimBatch> claimBatchFromJson(const nlohmann::json&);

/** What the log says of one key. */
struct ClaimEntry {
    std::string attempt;
    std::string owner;
    int64_t offset = 0; /**< Place of the winning claim. */
    int64_t expiresMs = 0; /**< By the log's clock. */
    std::optional<ClaimOutcome> outcome;

    bool operator==(const ClaimEntry&) const = default;
};

/**
 * The claims of one partition of the keys, as the log orders them.
 *
 * The first claim of a key wins. A key is free again when its attempt was recorded as not run, or when its validity has
 * passed by the log's clock.
 */
class ClaimPartition {
public:
    /** Applies the next record of the stream. */
    void apply(const LogRecord&);

    /**
     * Notes that the log has forgotten the records before an offset.
     * @param oldestTimeMs time of the oldest kept record; when there is none, that of the next record counts.
     */
    void noteRetention(int64_t first, std::optional<int64_t> oldestTimeMs);

    /** @return what is known of a key that is still valid. */
    const ClaimEntry* find(const std::string& key) const;

    /** @return true when keys that are not known may be new: nothing that is still valid has been forgotten. */
    bool canVouch(int64_t validityMs) const;

    /** @return true when the ownership in force may have been forgotten by the log. */
    bool isOwnershipForgotten() const { return m_forgottenUntilMs && !m_term; }

    /** @return the owner in force, empty when there is none. */
    const std::string& owner() const { return m_owner; }

    /** @return the term of the owner in force. */
    int64_t term() const { return m_term; }

    /** @return the place of the newest record that the owner wrote. */
    int64_t lastRenewal() const { return m_lastRenewal; }

    /** @return the nodes that the owner in force named last as those it asks for promises. */
    const std::vector<std::string>& namedPeers() const { return m_namedPeers; }

    /** @return the place of the record that named them. */
    int64_t namedOffset() const { return m_namedOffset; }

    /** @return true once the log holds everything claimed in a stretch without it. */
    bool hasEnded(const std::string& episode) const;

    int64_t nextOffset() const { return m_nextOffset; }
    std::size_t size() const { return m_entries.size(); }

    /** @return true once the batch with that identifier has been applied; only recent batches are known. */
    bool hasApplied(const std::string& batchId) const;

    /** @return a bound on the partition of a key. */
    static int partitionOf(const std::string& key, int partitions);

    /** @return the name of a partition's log stream. */
    static std::string streamOf(int partition);

private:
    void applyOwnership(const OwnershipRecord&, const LogRecord&);
    void applyClaim(const ClaimRecord&, const LogRecord&);
    void applyOutcome(const ClaimOutcome&);
    void applyOwnBatch(const ClaimBatch&, const LogRecord&);
    void forgetExpired();

    std::unordered_map<std::string, ClaimEntry> m_entries;
    std::multimap<int64_t, std::string> m_expiry;
    std::vector<std::string> m_recentBatches;
    std::vector<std::string> m_endedEpisodes;
    std::string m_owner;
    std::vector<std::string> m_namedPeers;
    int64_t m_namedOffset = 0;
    int64_t m_term = 0;
    int64_t m_lastRenewal = 0;
    int64_t m_lastRenewalMs = 0;
    int64_t m_nextOffset = 1;
    int64_t m_nowMs = 0;
    int64_t m_forgottenUntilMs = 0;
};

} // namespace bronzeswitch
