#pragma once

#include <gateway/DecisionLog.h>
#include <gateway/QuotaShares.h>
#include <net/Async.h>
#include <protocol/Messages.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace bronzeswitch {

/** Bounds of how a node asks for tokens. */
struct QuotaWaitLimits {
    Duration firstTimeout { 50 }; /**< For a home's first answer; it doubles with each sending. */
    int maxSends = 3; /**< Of one ask. */
    Duration maxShortWait { 150 }; /**< A refused request waits here so long at most, instead of coming back later. */
    int maxShortWaits = 2;
    Duration convergenceTimeout { 1000 }; /**< For nodes to agree on a home and to lend it their shares. */
    Duration convergenceRetryDelay { 100 };

    bool operator==(const QuotaWaitLimits&) const = default;
};

/** What a node decided on one request's part of a quota, and where. */
struct QuotaResult {
    QuotaDecision decision;
    std::string home; /**< Address of the node that decided. */
    bool isInconclusive = false; /**< The node that was asked held too little, or gave no answer: nodes don't agree on the home yet. */

    bool operator==(const QuotaResult&) const = default;
};

/**
 * Gets this node's requests tokens of their organisations' quotas, and decides for the groups whose home is this node.
 *
 * Which tokens may pass is decided by QuotaShares; the desk sends its messages. An ask that gets no answer is sent again, and the
 * request waits meanwhile, since nothing is known that would refuse it.
 *
 *     const auto verdict = co_await enforcer.acquire("crews", 700, deadline);
 */
class QuotaEnforcer {
public:
    /** How the desk reaches other nodes. */
    struct Links {
        /** @return the address of a key's home. All nodes should agree, so that shares come together: no node judges for itself. */
        std::function<std::string(const std::string& key)> homeOf;
        std::function<void(const std::string& node, const Message&)> send;
        std::function<int()> knownNodeCount; /**< With this one, and those that are silent. */
        std::function<int()> liveNodeCount; /**< With this one. */
    };

    QuotaEnforcer(Executor, QuotaBounds, DecisionLog&);

    /** Connects the desk with other nodes. @param node this node's peer address. */
    void connect(std::string node, Links);

    /** Takes the organisations' limits. */
    void configure(const RoutingTable&);

    /** Waits for the home's word on tokens. @param deadline of the request. */
    Task<QuotaResult> acquire(std::string organisation, int tokens, TimePoint deadline);

    /** Takes a peer's message about quotas. @return false if it is none. */
    bool onMessage(const std::string& from, const Message&);

    /** Lends shares to homes, and follows what nodes are known. */
    void tick();

    /** Gives all shares back that peers have lent, because this node stops. */
    void returnAllShares();

private:
    struct Waiting {
        explicit Waiting(Executor executor)
            : event(executor)
        {
        }
        AsyncEvent event;
        std::optional<QuotaResponse> answer;
    };

    struct Answered {
        std::string node;
        TimePoint time;
        QuotaResponse answer;
    };

    Task<QuotaResult> ask(std::string organisation, int tokens, TimePoint deadline);
    QuotaResult decideHere(const std::string& organisation, int tokens);
    bool isEnough(double share) const;
    void onAsk(const std::string& from, const QuotaRequest&);
    void onAnswer(const QuotaResponse&);
    void onLend(const std::string& from, const QuotaShareLoan&);
    void onReturn(const std::string& from, const QuotaShareReturn&);
    void followNodes(TimePoint now);
    void followHomes(TimePoint now);
    void lendShares(TimePoint now);
    void giveBack(int group, TimePoint now);
    std::string homeOf(int group) const;

    Executor m_executor;
    DecisionLog& m_log;
    QuotaWaitLimits m_waitLimits;
    QuotaShares m_shares;
    std::string m_node;
    Links m_links;
    std::set<int> m_usedGroups; /**< That hold an organisation with a limit. */
    std::set<int> m_homes; /**< Groups whose home is this node. */
    std::map<uint64_t, std::shared_ptr<Waiting>> m_waiting;
    std::deque<Answered> m_answered; /**< An ask that is sent again gets the same answer. */
    uint64_t m_lastRequestId = 0;
    int m_knownNodes = 1;
    TimePoint m_started;
    TimePoint m_nodesChanged;
    TimePoint m_lastTick;
    TimePoint m_lastLend {};
    TimePoint m_stalledUntil {}; /**< Messages that came while this node stood still are still being read. */
    bool m_isStopping = false;
};

} // namespace bronzeswitch
