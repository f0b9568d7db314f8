#pragma once

#include <gateway/DecisionLog.h>
#include <gateway/RoutingTable.h>
#include <gateway/UpstreamDirectory.h>
#include <gateway/VersionRule.h>
#include <net/Async.h>
#include <protocol/Messages.h>
#include <sched/PoolScheduler.h>

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace bronzeswitch {

/**
 * Gets this node's requests places at upstreams, and gives places to peers for the pools whose home is this node.
 *
 * Engines of one service form a pool, which has its home at one node, so that all waiting asks stand in one order. Plain
 * services are short and are placed by each node itself. A home that does not answer within a bound is left out for a while,
 * and the ask is decided here by what the nodes tell each other of their load; nothing that must hold depends on the home.
 *
 *     auto grant = co_await desk.acquire(ask, deadline);
 *     ...
 *     desk.release(grant->upstream, done);
 */
class SlotAllocator {
public:
    /** How the desk reaches other nodes. */
    struct Links {
        std::function<std::string(const std::string& pool)> homeOf; /**< @return the address of a pool's home. */
        std::function<void(const std::string& node, const Message&)> send;
        std::function<void(const std::string& node)> onHomeSilent; /**< The home did not answer. */
    };

    SlotAllocator(Executor, std::string dataCentre, DecisionLog&);

    /** Connects the desk with other nodes. @param node this node's peer address. */
    void connect(std::string node, Links);

    /** Takes new routes, upstreams or rules on versions. */
    void configure(const RoutingTable&, const UpstreamDirectory&, const VersionRules& = {});

    /** Lets a service's new version get so many more places, over all nodes. @param nodes that share a service without a home. */
    void allowCandidate(const std::string& service, const std::string& rollout, int64_t places, int nodes);

    /** @return true when no node runs a request at an upstream, as far as this node knows. */
    bool isIdle(const std::string& service, const std::string& upstream) const;

    /**
     * Waits for a place.
     * @param ask its pool is the service; its identifier is unique on this node.
     * @return the grant, or why there is none; nothing has been dispatched.
     */
    Task<tl::expected<SlotGrant, SlotRefusal>> acquire(SlotRequest ask, TimePoint deadline);

    /** Ends the wait of an ask whose caller has left. */
    void cancel(uint64_t requestId);

    /** Returns a place. */
    void release(const std::string& upstream, const SlotRelease&);

    /** Takes what an upstream said of its load just now. */
    void reportLoad(const std::string& service, const std::string& upstream, const LoadReport&);

    /** Takes a peer's message about places. */
    void onMessage(const std::string& from, const Message&);

    /** Takes what a peer says of its load. */
    void setPeerLoads(const std::string& peer, const std::vector<UpstreamLoad>&);

    /** Frees what a peer that is gone holds here. */
    void onPeerLost(const std::string& peer);

    /** @return what this node runs and has learned. */
    std::vector<UpstreamLoad> loads() const;

    /** Drops asks that can't be served in time and grants what has become possible. */
    void tick();

    uint64_t nextRequestId() { return ++m_lastRequestId; }
    std::size_t waiting() const { return m_waiting.size(); }
    int running() const;

private:
    struct Waiting {
        Waiting(Executor executor, SlotRequest placeAsk)
            : event(executor)
            , ask(std::move(placeAsk))
        {
        }
        AsyncEvent event;
        SlotRequest ask;
        std::string home; /**< Where the ask is now. */
        bool isAcknowledged = false;
        int unanswered = 0; /**< Sendings without a word from the home. */
        std::optional<SlotGrant> grant;
        std::string grantor;
        std::optional<SlotRefusal> refusal;
    };

    Duration sendAsk(Waiting&, TimePoint now);
    Duration askHere(Waiting&, TimePoint now);
    void withdraw(const Waiting&);
    void giveBack(const std::string& grantor, uint64_t requestId);
    void onAsk(const std::string& from, const SlotRequest&);
    void onGrant(const std::string& from, const SlotGrant&);
    void onRefuse(const std::string& from, const SlotRefusal&);
    void carryOut(const PlaceDecisions&);
    PoolScheduler* find(const std::string& pool);
    void tellOwnLoad(const std::string& upstream);

    Executor m_executor;
    std::string m_node;
    std::string m_dataCentre;
    DecisionLog& m_log;
    Links m_links;
    std::map<std::string, PoolScheduler> m_pools;
    std::map<std::string, bool> m_isShared; /**< Pools that have a home. */
    std::map<uint64_t, std::shared_ptr<Waiting>> m_waiting;
    std::map<uint64_t, std::string> m_grantors; /**< Who granted the places that this node uses. */
    std::map<std::string, int> m_running; /**< Requests that this node runs, by upstream. */
    uint64_t m_lastRequestId = 0;
    std::minstd_rand m_random;
};

/** @return what the scheduler of a service needs. @param dataCentre of the deciding node. @param rule null when there is none. */
PoolPlan makePoolPlan(
    const RoutingTable&, const UpstreamDirectory&, const GatewayService&, const std::string& dataCentre, const VersionRule* rule = nullptr);

} // namespace bronzeswitch
