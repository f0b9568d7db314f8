#pragma once

#include <base/TimerService.h>
#include <claims/ClaimPartition.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzeswitch {

/** Timing of partition ownership. Must be the same on every node. */
struct ClaimTiming {
    Duration leaseDuration { 5000 }; /**< Time that a renewal or a full round of promises is valid. */

    bool operator==(const ClaimTiming&) const = default;
};

/** End offsets of a partition's log stream, as this process read them at two times. Unset until they have been read. */
struct StreamEndOffsets {
    std::optional<int64_t> atStart; /**< Soon after this process started. */
    std::optional<int64_t> whenKnownToAll; /**< When this node had been in the VM list for long enough that every other node knows it. */

    bool operator==(const StreamEndOffsets&) const = default;
};

/**
 * Ownership rules of one claim partition on one node: when the node may take the partition over, when it may grant claims
 * without the log, and what it has promised to another owner.
 *
 * An owner is one incarnation (run of the process) of a node, written as NODE#INCARNATION. An episode is a period in which
 * an owner grants claims while the log is unreachable. During an episode the owner requests promises from all peers, in rounds; a
 * node that promised does not take the partition over for that time, and remembers that the owner may have granted claims
 * that are not in the log.
 *
 * All times are local and monotonic. An owner counts its lease from before it sent a renewal; other nodes count it from after
 * they read the renewal. So no clocks are compared. Not synchronised.
 */
class ClaimOwnership {
public:
    ClaimOwnership(const std::string& node, ClaimTiming);

    /** @return the name of an owner's node. */
    static std::string nodeOf(const std::string& owner);

    /** @return true if this incarnation is the owner. */
    bool owns(const ClaimPartition&) const;

    /** Updates the local state after the log was read to its end. @param streamEndOffsets see mayTakeOver(). */
    void onCaughtUp(const ClaimPartition&, TimePoint now, const StreamEndOffsets& streamEndOffsets);

    /**
     * Tells whether this node may take the partition over. Never while a promise of this node is valid.
     * @return true if the partition has no owner, or if its owner's lease has expired and the owner knew this incarnation and
     *         so would have requested a promise from it. An owner knows an incarnation if it listed the node as a peer after the
     *         process had started, or renewed its lease after StreamEndOffsets::whenKnownToAll. If the log has trimmed the
     *         ownership, true once all keys that its unknown owner may have granted have expired.
     */
    bool mayTakeOver(const ClaimPartition&, Duration validity, TimePoint now) const;

    /** Begins a takeover. @return the record to append. */
    OwnershipRecord beginTakeover(const ClaimPartition&, Duration validity);

    /** @return the owner ID of this incarnation. */
    const std::string& owner() const { return m_owner; }

    /** Handles that a batch was certainly not appended. */
    void onNotAppended(const ClaimBatch&);

    /** Handles that a batch is in the log. @param sent when its append began. */
    void onAppended(const ClaimPartition&, const ClaimBatch&, TimePoint sent, TimePoint now);

    /** @return true if this node is the owner and should renew its lease. */
    bool isRenewalDue(const ClaimPartition&, TimePoint now) const;

    /**
     * Begins the owner's next round of promises, while the log is unreachable. The first one begins an episode.
     * @return the declaration to send to every peer, or nothing if no round is due.
     */
    std::optional<ClaimDeclaration> nextDeclaration(
        const ClaimPartition&, int partition, const std::vector<std::string>& peers, TimePoint now);

    /** Handles a peer's promise. The last one of a round extends the lease. */
    void onAck(const std::string& from, const ClaimDeclarationAck&);

    /** @return true if this node is the owner and may grant claims without the log. */
    bool mayGrantWithoutLog(const ClaimPartition&, TimePoint now) const;

    /** @return the ID of this owner's current episode, or an empty string. */
    const std::string& episode() const { return m_episode; }

    /** Ends the episode, after everything granted in it has been logged. */
    void endEpisode();

    /** Handles another owner's declaration. @return true if this node promises not to take over. */
    bool promise(const ClaimDeclaration&, const ClaimPartition&, TimePoint now);

    /** @return true if the episode that this node last promised to has not ended in the log, so claims may be missing there. */
    bool hasOpenEpisode(const ClaimPartition&) const;

    /**
     * @return true if this owner took over during another owner's episode and the claims granted in it may still be valid,
     *         though the log does not hold them.
     */
    bool mayMissClaims(Duration validity, TimePoint now) const;

    /** @return true if the next batch should list the peers: they changed, or a node may have started after the last list. */
    bool isPeerListDue(const ClaimPartition&, const std::vector<std::string>& peers, TimePoint now) const;

private:
    bool wasKnownToOwner(const ClaimPartition&) const;

    const std::string m_owner;
    const std::string m_node;
    const ClaimTiming m_timing;
    TimePoint m_leaseEnd {};
    TimePoint m_lastRenewalSent {};
    TimePoint m_lastPeerListSent {};
    int64_t m_seenRenewalOffset = 0; /**< Of the last renewal read, by any owner. */
    TimePoint m_seenRenewalTime {};
    StreamEndOffsets m_streamEndOffsets;
    std::optional<int64_t> m_pendingTakeoverBase; /**< Base of a takeover that may still reach the log. */
    std::string m_episode;
    uint64_t m_round = 0; /**< Of the episode, from 1. */
    TimePoint m_roundSent {};
    std::set<std::string> m_missingAcks;
    bool m_hasAllPromises = false; /**< A round of the episode was completed. */
    TimePoint m_promisedUntil {};
    std::string m_promisedEpisode;
    std::optional<TimePoint> m_mayMissClaimsSince;
};

} // namespace bronzeswitch
