#pragma once

#include "ControlView.h"

#include <base/RequestIdSequence.h>
#include <base/TimerService.h>
#include <claims/ClaimHome.h>
#include <protocol/Messages.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>

namespace bronzeswitch {

/**
 * Sends claim requests for idempotency keys to the keys' homes, for the requests that this node received from callers.
 *
 * The home of a key is the node that handles the key's claim partition. A claim request is resent with the same attempt ID
 * until it is answered, also to a new home. That is safe because an attempt can be granted its key only once. Thread-safe.
 */
class ClaimClient {
public:
    struct Options {
        std::function<std::vector<std::string>()> members; /**< The nodes that may be homes now. */
        std::function<bool(const std::string& node, const Message&)> send; /**< @return false if the node has no live link. */
        int partitions = 1;
    };

    explicit ClaimClient(Options options)
        : m_options(std::move(options))
    {
    }

    /**
     * Looks up or claims a key and waits for the response. If an attempt with the key is running, waits for its outcome until
     * the deadline.
     * @param isCancelled checked while waiting; the wait ends early once it returns true.
     * @return the last response; Unavailable if there was none in time. With ClaimMode::Claim, the attempt may run only if the
     *         response is Granted.
     */
    ClaimResponse request(
        const std::string& key, const std::string& attempt, ClaimMode, TimePoint deadline, const std::function<bool()>& isCancelled);

    /** Sends the outcome of an attempt to the key's home. For a while it is also resent whenever the members change. */
    void reportOutcome(const ClaimOutcome&);

    /** Handles a home's response; ignored if no request waits for it. */
    void onResponse(const ClaimResponse&);

    /** Resends the recent outcomes to the current homes. */
    void onMembersChanged();

private:
    struct RecentOutcome {
        ClaimOutcome outcome;
        TimePoint time {};
    };

    std::string homeOf(const std::string& key) const;
    std::string nextTarget(const std::string& key, const std::string& previousTarget, const ClaimResponse&) const;

    Options m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<uint64_t, std::optional<ClaimResponse>> m_pendingRequests; /**< By request ID; holds the response once it has arrived. */
    std::deque<RecentOutcome> m_recentOutcomes;
    RequestIdSequence m_requestIds;
};

/** @return the node that is the home of a claim partition. */
std::string homeOfPartition(int partition, const std::vector<std::string>& members);

/** Runs the claim partitions that this node is the home of, or that it has received a message for. Thread-safe. */
class ClaimHomes {
public:
    /** Those without a comment are documented at ClaimHome::Options. */
    struct Options {
        std::shared_ptr<NodeLog> log;
        std::function<void(const std::string& node, const Message&)> send;
        std::function<bool(const std::string& node)> isLive;
        std::function<std::vector<std::string>()> members; /**< The nodes that may be homes now. */
        std::function<std::vector<std::string>()> knownPeers;
        std::function<Duration()> validity;
        std::string node;
        ClaimTiming timing;
        Duration listLag { 10000 }; /**< A node that has run for this long is in the VM list of every other node. */
        int partitions = 1;
    };

    explicit ClaimHomes(Options);

    /** Handles a claim request. */
    void onRequest(const std::string& from, const ClaimRequest&);

    /** Handles the outcome of an attempt. */
    void onOutcome(const ClaimOutcome&);

    /** Handles an owner's request for a promise not to take its partition over. */
    void onDeclaration(const std::string& from, const ClaimDeclaration&);

    /** Handles a peer's promise. */
    void onDeclarationAck(const std::string& from, const ClaimDeclarationAck&);

    /** Opens the partitions whose home is this node now. All open ones check again whether this node should own them. */
    void onMembersChanged();

    /**
     * Reads the end offsets of the partitions' log streams that are still unset: StreamEndOffsets::atStart, and whenKnownToAll
     * once this node has run for Options::listLag. Stops at the first read that fails. Blocks on the log.
     */
    void readStreamEndOffsets();

    /** Releases all partitions that this node owns, for a graceful shutdown. */
    void releaseOwnership();

    /** @return the number of known keys in all open partitions. */
    std::size_t keyCount() const;

    /** @return the number of partitions that this node owns. */
    int ownedPartitionCount() const;

    /** Stops and closes all partitions. */
    void shutdown();

private:
    ClaimHome<NodeLog>* homeFor(const std::string& key) { return home(ClaimPartition::partitionOf(key, m_options.partitions)); }
    ClaimHome<NodeLog>* home(int partition);
    ClaimHome<NodeLog>::Options homeOptions(int partition);
    bool readStreamEndOffset(int partition, std::optional<int64_t> StreamEndOffsets::*offset);
    std::vector<ClaimHome<NodeLog>*> homes() const;

    Options m_options;
    const TimePoint m_startTime;
    mutable std::mutex m_mutex;
    std::map<int, std::unique_ptr<ClaimHome<NodeLog>>> m_homes;
    std::mutex m_streamEndOffsetsMutex;
    std::map<int, StreamEndOffsets> m_streamEndOffsets;
    bool m_isStopping = false;
};

} // namespace bronzeswitch
