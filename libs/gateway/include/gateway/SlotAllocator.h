#pragma once

#include <base/RequestIdSequence.h>
#include <gateway/CapacityMonitor.h>
#include <gateway/DecisionLog.h>
#include <gateway/RoutingTable.h>
#include <gateway/RunningRequests.h>
#include <gateway/SuspectedUpstreams.h>
#include <gateway/UpstreamDirectory.h>
#include <gateway/VersionRule.h>
#include <net/Async.h>
#include <protocol/Messages.h>
#include <sched/PoolScheduler.h>

#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace bronzeswitch {

/**
 * Acquires upstream slots for this node's requests, and allocates the slots of the pools whose home node this is.
 *
 * A slot is the permission to run one request at an upstream. The engines of one service form a pool with a home node, which
 * queues the slot requests of all nodes in one order. Requests to plain services are short, so each node allocates their slots
 * itself, except while a new version of the service is on trial. If a home node does not respond in time, it is avoided for a while, and
 * this node decides from the loads that the nodes report to each other: no guarantee depends on the home node.
 *
 *     auto grant = co_await allocator.acquire(request, deadline);
 *     ...
 *     allocator.release(grant->upstream, slotRelease);
 */
class SlotAllocator {
public:
    /** Connection to the other nodes. */
    struct Callbacks {
        std::function<std::string(const std::string& pool)> homeOf; /**< @return the address of a pool's home node. */
        std::function<void(const std::string& node, const Message&)> send;
        std::function<void(const std::string& node)> onHomeSilent; /**< Called when a home node did not respond. */
    };

    SlotAllocator(Executor, std::string dataCentre, DecisionLog&);

    /** Connects the allocator to the other nodes. @param node this node's peer address. */
    void connect(std::string node, Callbacks);

    /** Applies new routes, upstreams, version rules or evacuated data centres. */
    void configure(const RoutingTable&, const UpstreamDirectory&, const VersionRules& = {}, const std::set<std::string>& evacuated = {});

    /**
     * Allows a service's candidate version a number of further slots, if this is the home node of the service's pool. Other nodes
     * grant it no slots.
     */
    void allowCandidate(const std::string& service, const std::string& rollout, int64_t slots);

    /** @return true if, to this node's knowledge, no node runs a request at the upstream. */
    bool isIdle(const std::string& service, const std::string& upstream) const;

    /**
     * Waits for a slot.
     * @param request its pool is the name of the service; its identifier is unique on this node.
     * @return the grant, or the reason for the refusal. Nothing has been dispatched in either case. The time that the request has
     *     waited for the grant counts from this call, and is at most the true one if the granting node states it.
     */
    Task<tl::expected<SlotGrant, SlotRefusal>> acquire(SlotRequest request, TimePoint deadline);

    /** Cancels a pending request whose caller has disconnected. */
    void cancel(uint64_t requestId);

    /** Returns a slot after its dispatch has ended. */
    void release(const std::string& upstream, SlotRelease);

    /** Processes a load report that an upstream has just sent. */
    void reportLoad(const std::string& service, const std::string& upstream, const LoadReport&);

    /** Processes a peer's message about slots. */
    void onMessage(const std::string& from, const Message&);

    /**
     * Sets the requests a second that upstreams take from all nodes together; those that are missing state no limit.
     *
     * The home node of a pool keeps its upstreams' limits, so a pool of plain services has one too while there are any. Without
     * the home node's answer, no upstream with a limit is used.
     */
    void setRequestLimits(const std::map<std::string, double>& perSecond);

    /** Sets the rates at which this node grants requests at each upstream of a pool; see PoolScheduler::setColdStartRates(). */
    void setColdStartRates(const std::string& pool, const ColdStartRates&, bool isTakeover);

    /** Sets until when an upstream is cold or possibly cold. */
    void setColdUntil(const std::string& pool, const std::string& upstream, TimePoint until);

    /** Replaces the loads that a peer has reported. */
    void setPeerLoads(const std::string& peer, const std::vector<UpstreamLoad>&);

    /** Replaces the upstreams that a peer suspects of failing many of their requests. */
    void setPeerSuspects(const std::string& peer, const std::vector<std::string>& suspects) { m_suspected.setPeerSuspects(peer, suspects); }

    /** @return the upstreams that this node suspects by its own counts and those of its peers. */
    std::vector<std::string> suspects() { return m_suspected.byCounts(monotonicNow()); }

    /** Frees the slots that a lost peer, or the earlier start of one that has restarted, holds here and drops its requests. */
    void onPeerLost(const std::string& peer);

    /** @return this node's running requests and speed estimates by upstream, for its reports to peers. */
    std::vector<UpstreamLoad> loads();

    /** Refuses requests that can't be served in time and grants slots that have become free. Called periodically. */
    void tick();

    /** @return what the pools have learned about their upstreams' capacity, at most a second ago. */
    const CapacityMonitor& capacity() const { return m_capacityMonitor; }

    /** Calls a function with the name and the scheduler of each pool. */
    template <std::invocable<const std::string&, const PoolScheduler&> Visit> void visitPools(Visit visit) const
    {
        for (const auto& [name, pool] : m_pools)
            visit(name, pool);
    }

    uint64_t nextRequestId() { return m_requestIds.next(); }
    std::size_t waiting() const { return m_pending.size(); }
    int running() const { return m_running.count(); }

private:
    struct PendingRequest {
        PendingRequest(Executor executor, SlotRequest slotRequest)
            : event(executor)
            , request(std::move(slotRequest))
        {
        }
        AsyncEvent event;
        SlotRequest request;
        std::string home; /**< Node that decides on the request. */
        TimePoint sentAt {}; /**< When it was first sent there. */
        bool isAcknowledged = false;
        int unansweredSends = 0; /**< Times that the request was sent to the home node without a response. */
        std::optional<SlotGrant> grant;
        std::string grantor;
        std::optional<SlotRefusal> refusal;
    };

    Duration sendRequest(PendingRequest&, TimePoint now);
    Duration requestLocally(PendingRequest&, TimePoint now);

    /** Decides on the request although another node is the pool's home. */
    Duration requestWithoutHome(PendingRequest&, TimePoint now);

    bool hasLimits(const std::string& pool) const;
    int64_t waitedFromStart(const PendingRequest&, TimePoint start) const;
    void cancelAtHome(const PendingRequest&);
    void returnUnused(const std::string& grantor, uint64_t requestId);
    void onRequest(const std::string& from, const SlotRequest&);
    void onGrant(const std::string& from, const SlotGrant&);
    void onRefusal(const std::string& from, const SlotRefusal&);
    void deliver(const SlotDecisions&);
    PoolScheduler* findPool(const std::string& pool);
    void updateOwnLoad(const std::string& upstream);
    /** Removes what was measured during a pause of this node, if the upstream's capacity is learned. */
    void clearTimes(const std::string& upstream, SlotRelease&) const;
    void updateSuspects();

    Executor m_executor;
    std::string m_node;
    std::string m_dataCentre;
    DecisionLog& m_log;
    Callbacks m_callbacks;
    std::map<std::string, PoolScheduler> m_pools;
    std::map<std::string, bool> m_hasHome; /**< By pool: whether it has a home node, otherwise each node decides for itself. */
    std::map<uint64_t, std::shared_ptr<PendingRequest>> m_pending;
    RunningRequests m_running;
    PauseDetector m_pauses;
    CapacityMonitor m_capacityMonitor;
    std::map<std::string, double> m_requestLimits; /**< Requests a second by upstream. */
    SuspectedUpstreams m_suspected;
    RequestIdSequence m_requestIds;
};

/**
 * @param dataCentre of the deciding node.
 * @param rule null if the service has none.
 * @param evacuated data centres whose upstreams get no requests.
 * @return the configuration of a service's scheduler.
 */
PoolPlan makePoolPlan(const RoutingTable&, const UpstreamDirectory&, const GatewayService&, const std::string& dataCentre,
    const VersionRule* rule = nullptr, const std::set<std::string>& evacuated = {});

} // namespace bronzeswitch
