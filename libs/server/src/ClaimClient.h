#pragma once

#include "ControlView.h"

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
 * Asks the homes of idempotency keys on behalf of an entry node's requests.
 *
 * An ask is repeated with the same attempt until it is answered, also at a new home, which is safe because an attempt
 * can win its key only once.
 */
class ClaimClient {
public:
    struct Options {
        std::function<std::vector<std::string>()> members;
        std::function<bool(const std::string& node, const Message&)> send;
        int partitions = 1;
    };

    explicit ClaimClient(Options options)
        : m_options(std::move(options))
    {
    }

    /**
     * Asks for a key and waits. A key whose attempt is running is waited for until the deadline.
     * @return the answer; Unavailable when there was none in time, with nothing claimed or run by this attempt.
     */
    ClaimAnswer request(
        const std::string& key, const std::string& attempt, ClaimMode, TimePoint deadline, const std::function<bool()>& isCancelled);

    /** Records the outcome of an attempt; it is repeated to a new home for a while. */
    void reportOutcome(const ClaimOutcome&);

    void onAnswer(const ClaimAnswer&);

    /** Repeats recent outcomes to the homes of now. */
    void onMembersChanged();

private:
    struct RecentOutcome {
        ClaimOutcome outcome;
        TimePoint time {};
    };

    std::string homeOf(const std::string& key) const;
    std::string nextTarget(const std::string& key, const std::string& previousTarget, const ClaimAnswer&) const;

    Options m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<uint64_t, std::optional<ClaimAnswer>> m_pendingRequests;
    std::deque<RecentOutcome> m_recentOutcomes;
    uint64_t m_lastId = 0;
};

/** @return the node that a partition of keys falls to. */
std::string homeOfPartition(int partition, const std::vector<std::string>& members);

/** The partitions of keys that fall to this node or that it is asked for. */
class ClaimHomes {
public:
    struct Options {
        std::shared_ptr<NodeLog> log;
        std::function<void(const std::string& node, const Message&)> send;
        std::function<bool(const std::string& node)> isLive;
        std::function<std::vector<std::string>()> members;
        std::function<std::vector<std::string>()> knownPeers;
        std::function<Duration()> validity;
        std::string node;
        ClaimTiming timing;
        Duration listLag { 10000 }; /**< A node of this age is in every other node's VM list. */
        int partitions = 1;
    };

    explicit ClaimHomes(Options);

    void onRequest(const std::string& from, const ClaimAsk&);
    void onOutcome(const ClaimOutcome&);
    void onDeclare(const std::string& from, const ClaimDeclare&);
    void onDeclareAck(const std::string& from, const ClaimDeclareAck&);

    /** Opens the partitions that fall to this node and lets the others look again. */
    void onMembersChanged();

    /** Reads the ends of the streams, now and once this node is old enough to be known everywhere. Blocks on the log. */
    void readStreamEndOffsets();

    /** Gives all partitions up for a graceful shutdown. */
    void releaseOwnership();

    /** @return the number of keys that are remembered. */
    std::size_t keyCount() const;

    /** @return the number of partitions that this node owns. */
    int ownedPartitionCount() const;

    /** Ends the tasks of all partitions. */
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
