#pragma once

#include <base/RequestIdSequence.h>
#include <gateway/DecisionLog.h>
#include <gateway/QuotaQueue.h>
#include <net/Async.h>
#include <protocol/Messages.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace bronzeswitch {

/** How long a node waits when it requests tokens from a home node, and how often it retries. */
struct QuotaWaitLimits {
    Duration firstTimeout { 50 }; /**< For the response to the first send; doubles with each resend. */
    int maxSends = 3; /**< Of one request. */
    Duration convergenceTimeout { 1000 }; /**< For the nodes to agree on a home node and lend it their shares. */
    Duration convergenceRetryDelay { 100 }; /**< Between retries while they have not. */
    Duration lastTryGrace { 400 }; /**< For the last request of one that has waited in the home node's queue. */

    bool operator==(const QuotaWaitLimits&) const = default;
};

/** How long a request may wait for tokens. */
struct QuotaWaits {
    /** Short, so that no standing queue forms when an organisation sends more than its quota. */
    Duration usual { 0 };
    /** While a home node is new: its buckets began empty, so the organisation may well be below its quota. */
    Duration afterTakeover { 0 };

    Duration longest() const { return std::max(usual, afterTakeover); }
    bool operator==(const QuotaWaits&) const = default;
};

/** The decision on one request's tokens, and which node made it. */
struct QuotaResult {
    QuotaDecision decision;
    std::string home; /**< Address of the node that decided, or did not respond. */
    /** The home node held too small a share of the quota or did not respond: the nodes have not agreed on a home node yet. */
    bool isInconclusive = false;
    bool isQueued = false; /**< The request should be repeated after the decision's wait. */

    bool operator==(const QuotaResult&) const = default;
};

/**
 * Enforces the token quotas of organisations: acquires tokens for this node's requests, and decides on the requests of all nodes
 * for the quota groups whose home node this is.
 *
 * QuotaShares makes the decisions; this class exchanges the messages. A request that gets no response is resent, and the caller's
 * request waits meanwhile, since there is no ground for refusing it.
 *
 *     const auto result = co_await enforcer.acquire("crews", 700, waits, deadline);
 */
class QuotaEnforcer {
public:
    /** Connection to the other nodes. */
    struct Callbacks {
        /**
         * @return the address of a key's home node. All nodes should return the same, so that their shares come together; so a node
         * does not exclude peers that only it suspects of being unresponsive.
         */
        std::function<std::string(const std::string& key)> homeOf;
        std::function<void(const std::string& node, const Message&)> send;
        std::function<int()> knownNodeCount; /**< Including this node and those that are silent. */
        std::function<int()> liveNodeCount; /**< Including this node. */
        std::function<bool()> isFleetKnown; /**< @return true once knownNodeCount() can be relied on. */
        /** @return true if a node has not reported for a while. Its lease is not renewed, so that it ends soon if the node is gone. */
        std::function<bool(const std::string& node)> isSilent {};
    };

    QuotaEnforcer(Executor, QuotaBounds, DecisionLog&);

    /** Connects the enforcer to the other nodes. @param node this node's peer address. */
    void connect(std::string node, Callbacks);

    /** Applies the organisations' quotas. */
    void configure(const RoutingTable&);

    /** Requests tokens and waits for the decision. @param deadline of the caller's request. */
    Task<QuotaResult> acquire(std::string organisation, int tokens, QuotaWaits, TimePoint deadline);

    /** Processes a peer's message about quotas. @return false if the message is about something else. */
    bool onMessage(const std::string& from, const Message&);

    /** Lends shares to home nodes and tracks changes of homes and of the number of nodes. Called periodically. */
    void tick();

    /** Returns all shares that peers have lent, because this node is stopping. */
    void returnAllShares();

private:
    struct PendingRequest {
        explicit PendingRequest(Executor executor)
            : event(executor)
        {
        }
        AsyncEvent event;
        std::optional<QuotaResponse> response;
    };

    struct RecentGrant {
        std::string node;
        TimePoint time;
        QuotaResponse response;
    };

    Task<QuotaResult> requestTokens(QuotaRequest, TimePoint deadline);
    QuotaQueueDecision decide(const std::string& node, const QuotaRequest&, TimePoint now);
    bool isNewHome(int group, TimePoint now) const;
    bool isSufficient(double share) const;
    void onRequest(const std::string& from, const QuotaRequest&);
    void onResponse(const QuotaResponse&);
    void onLoan(const std::string& from, const QuotaShareLoan&);
    void onReturn(const std::string& from, const QuotaShareReturn&);
    void updateNodeCount(TimePoint now);
    void updateHomes(TimePoint now);
    void lendShares(TimePoint now);
    void returnShares(int group, TimePoint now);
    std::string homeOf(int group) const;

    Executor m_executor;
    DecisionLog& m_log;
    QuotaWaitLimits m_waitLimits;
    Duration m_window; /**< Over which quotas are enforced. */
    QuotaShares m_shares;
    std::string m_node;
    Callbacks m_callbacks;
    std::set<int> m_limitedGroups; /**< Groups with an organisation that has a limit. */
    std::map<int, TimePoint> m_homeSince; /**< Groups whose home node this is, and since when. */
    QuotaQueue m_queue;
    std::map<uint64_t, std::shared_ptr<PendingRequest>> m_pending;
    std::deque<RecentGrant> m_recentGrants; /**< Makes a resent request get the same response instead of taking tokens again. */
    RequestIdSequence m_requestIds;
    int m_nodeCount = 1;
    TimePoint m_started;
    TimePoint m_nodeCountChanged;
    TimePoint m_lastTick;
    TimePoint m_lastLend {};
    TimePoint m_stalledUntil {}; /**< Until then, messages that arrived while this process was stalled may still be queued. */
    bool m_isStopping = false;
};

} // namespace bronzeswitch
