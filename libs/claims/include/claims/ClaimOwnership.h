#pragma once

#include <base/TimerService.h>
#include <claims/ClaimPartition.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzeswitch {

/** Times of the ownership of partitions; the same on every node. */
struct ClaimTiming {
    Duration lease { 5000 }; /**< How long an owner may go on after its last renewal or the last round of promises. */

    bool operator==(const ClaimTiming&) const = default;
};

/** Ends of a partition's stream, as this process read them. */
struct StreamEnds {
    std::optional<int64_t> atStart; /**< Soon after this process started. */
    std::optional<int64_t> atMaturity; /**< When this node had been listed long enough for every other node to know it. */

    bool operator==(const StreamEnds&) const = default;
};

/**
 * One node's side of the ownership of a claim partition: when it may take over, when it may grant without the log, and
 * what it has promised to another owner.
 *
 * All times are monotonic and local. An owner counts its lease from before it sent a renewal; another node waits out the
 * lease from after it read that renewal, so no clocks are compared. Not synchronised.
 */
class ClaimOwnership {
public:
    ClaimOwnership(const std::string& node, ClaimTiming);

    /** @return the node of an owner, which is one life of it. */
    static std::string nodeOf(const std::string& owner);

    /** @return true when the log shows this life of this node as the owner. */
    bool owns(const ClaimPartition&) const;

    /** Takes what the log shows after it was read to its end. @param ends see mayTakeOver(). */
    void onCaughtUp(const ClaimPartition&, TimePoint now, const StreamEnds& ends);

    /**
     * @return true when the partition is free, or when its owner's lease has run out, nothing was promised to it, and the
     * owner knew this life of this node at its last renewal: it named the node since this process started, or it renewed
     * after this node had long been listed.
     */
    bool mayTakeOver(const ClaimPartition&, Duration validity, TimePoint now) const;

    /** Starts a take-over. @return its record. */
    OwnershipRecord takeOver(const ClaimPartition&, Duration validity);

    /** @return the name of this life of this node as an owner. */
    const std::string& owner() const { return m_owner; }

    /** Notes that a batch was surely not appended. */
    void onNotAppended(const ClaimBatch&);

    /** Notes that a batch, sent at a time, stands in the log. */
    void onAppended(const ClaimPartition&, const ClaimBatch&, TimePoint sent, TimePoint now);

    /** @return true when the owner's lease should be renewed. */
    bool isRenewalDue(const ClaimPartition&, TimePoint now) const;

    /**
     * The owner's next round of asking for promises, while the log can't be reached.
     * @return the declaration to send to every peer, or nothing when none is due.
     */
    std::optional<ClaimDeclaration> nextDeclaration(
        const ClaimPartition&, int partition, const std::vector<std::string>& peers, TimePoint now);

    /** Takes a peer's promise; the last one of a round extends the lease. */
    void onAck(const std::string& from, const ClaimDeclarationAck&);

    /** @return true when the owner may grant claims without the log. */
    bool mayGrantFromMemory(const ClaimPartition&, TimePoint now) const;

    /** @return the running stretch without the log, or an empty string. */
    const std::string& episode() const { return m_episode; }

    /** Ends the stretch, once everything it granted stands in the log. */
    void endEpisode();

    /** Takes another owner's declaration. @return true when this node promises not to take over. */
    bool promise(const ClaimDeclaration&, const ClaimPartition&, TimePoint now);

    /** @return true when another owner may have granted keys that the log does not show. */
    bool isInDoubt(const ClaimPartition&) const;

    /** @return true while this owner can't know whether the one before granted keys that the log does not show. */
    bool isSuspect(Duration validity, TimePoint now) const;

    /** @return true when a batch should name the peers again, as a node that started since can't rely on the last time. */
    bool isNamingDue(const ClaimPartition&, const std::vector<std::string>& peers, TimePoint now) const;

private:
    bool wasKnown(const ClaimPartition&) const;

    const std::string m_owner;
    const std::string m_node;
    const ClaimTiming m_timing;
    TimePoint m_leaseEnd {};
    TimePoint m_lastRenewal {};
    TimePoint m_lastNaming {};
    int64_t m_seenRenewal = 0;
    TimePoint m_renewalRead {};
    StreamEnds m_ends;
    std::optional<int64_t> m_pendingBase; /**< Base of a take-over whose fate is open. */
    std::string m_episode;
    uint64_t m_round = 0;
    TimePoint m_roundSent {};
    std::set<std::string> m_roundMissing;
    bool m_isDeclared = false;
    TimePoint m_promisedUntil {};
    std::string m_promisedEpisode;
    std::optional<TimePoint> m_suspectSince;
};

} // namespace bronzeswitch
