#pragma once

#include <gateway/RoutingTable.h>
#include <gateway/UpstreamDirectory.h>
#include <net/Async.h>
#include <sched/PoolScheduler.h>

#include <map>
#include <memory>

namespace bronzeswitch {

/**
 * Gives this node's requests places at upstreams.
 *
 * Each service has a scheduler on each node. Nodes tell each other what they run where, so that all decide alike without
 * asking; a node that hears nobody goes on with what the upstreams themselves report.
 *
 *     auto grant = co_await desk.acquire(ask, deadline);
 *     ...
 *     desk.release(ask.pool, done);
 */
class PlaceDesk {
public:
    PlaceDesk(Executor, std::string node, std::string dataCentre);

    /** Takes new routes or upstreams. */
    void configure(const RoutingTable&, const UpstreamDirectory&);

    /**
     * Waits for a place.
     * @param ask its pool is the service; its identifier is unique on this node.
     * @return the grant, or why there is none; nothing has been dispatched.
     */
    Task<tl::expected<PlaceGrant, PlaceRefuse>> acquire(PlaceAsk ask, TimePoint deadline);

    /** Ends the wait of an ask whose caller has left. */
    void cancel(const std::string& service, uint64_t askId);

    /** Returns a place. */
    void release(const std::string& service, const PlaceDone&);

    /** Takes what an upstream said of its load just now. */
    void report(const std::string& service, const std::string& upstream, const LoadReport&);

    /** Takes what the peers run, by upstream. */
    void setPeerLoads(const std::map<std::string, PeerLoad>& loads);

    /** @return what this node runs and has learned. */
    std::vector<UpstreamLoad> loads() const;

    /** Drops asks that can't be served in time and grants what has become possible. */
    void tick();

    uint64_t nextAskId() { return ++m_lastAskId; }
    std::size_t waiting() const;
    std::size_t running() const;

private:
    struct Waiting {
        explicit Waiting(Executor executor)
            : event(executor)
        {
        }
        AsyncEvent event;
        std::optional<PlaceGrant> grant;
        std::optional<PlaceRefuse> refusal;
    };

    void carryOut(const PlaceDecisions&);
    PoolScheduler* find(const std::string& service);

    Executor m_executor;
    std::string m_node;
    std::string m_dataCentre;
    std::map<std::string, PoolScheduler> m_pools;
    std::map<uint64_t, std::shared_ptr<Waiting>> m_waiting;
    uint64_t m_lastAskId = 0;
};

/** @return what the scheduler of a service needs. @param dataCentre of the deciding node. */
PoolPlan makePoolPlan(const RoutingTable&, const UpstreamDirectory&, const GatewayService&, const std::string& dataCentre);

} // namespace bronzeswitch
