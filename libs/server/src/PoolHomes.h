#pragma once

#include "ControlView.h"

#include <base/EventLog.h>
#include <base/TimerService.h>
#include <node/Mesh.h>
#include <sched/PoolScheduler.h>

#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace bronzeswitch {

/** @return the node that is the home of a pool. */
std::string homeOfPool(const std::string& pool, const std::vector<std::string>& members);

/**
 * The pools whose home is this node.
 *
 * Follows the members and the configuration, owns a scheduler for each pool that falls to this node, and answers the
 * nodes that ask for places.
 */
class PoolHomes {
public:
    struct Options {
        std::string node;
        std::shared_ptr<TimerService> timers;
        std::function<std::vector<std::string>()> members;
        std::function<bool(const std::string& node)> isLive;
        std::function<void(const std::string& node, const Message&)> send;
        std::function<void(const Place&, const PlaceDone&)> onDispatchEnded; /**< A dispatch has ended in a pool of this node. */
        EventLog log;
    };

    explicit PoolHomes(Options);

    /** Takes new control state. */
    void update(const ControlViewPointer&);

    /** Takes a change of the members. */
    void onMembersChanged();

    void onRequest(const std::string& from, const PlaceAsk&);
    void onCancel(const std::string& from, const PlaceCancel&);
    void onDone(const std::string& from, const PlaceDone&);
    void onHeld(const std::string& from, const PlaceHeld&);

    /** Takes an upstream's report. */
    void onReport(const std::string& pool, const std::string& upstream, const LoadReport&);
    void onCacheEvent(const std::string& pool, const std::string& upstream, int64_t sequence, bool isStored, uint64_t prefix);
    int64_t nextCacheEvent(const std::string& pool, const std::string& upstream) const;

    /** Closes an upstream to new work for an order, or opens it again. */
    void setClosed(const std::string& pool, const std::string& upstream, bool isClosed);

    /** @return the engines of a pool that report another version than they are configured for. */
    std::vector<Upstream> enginesWithWrongVersion(const std::string& pool) const;

    /** Stops a rollout's new version in every pool, at once and for good. */
    void stopRollout(const std::string& rollout);

    /** @return the pools whose home is this node. */
    std::vector<std::string> pools() const;

    /** @return true while this node is the home of a pool. */
    bool isHomeOf(const std::string& pool) const;

    /** @return the upstreams of this node's pools for operators. */
    std::vector<UpstreamSummary> summaries() const;

    /** @return requests in flight at an upstream, as the home counts them. */
    int inFlight(const std::string& pool, const std::string& upstream) const;

    std::size_t waiting() const;

private:
    struct Outbox {
        std::vector<PlaceDecision> decisions;
        void add(PlaceDecisions);
    };

    void applyMembers(Outbox&);
    void tick();
    void flush(const Outbox&);
    PoolScheduler* findPool(const std::string& pool);
    PoolScheduler& openPool(const std::string& pool, Outbox&);

    Options m_options;
    mutable std::mutex m_mutex;
    ControlViewPointer m_view;
    std::map<std::string, PoolScheduler> m_pools;
    std::set<std::string> m_forcedPools; /**< Pools that a node insisted on although another node is their home. */
    std::set<std::string> m_liveNodes;
    std::set<std::string> m_stoppedRollouts;
    std::unique_ptr<TimerService::Subscription> m_tickSubscription;
};

} // namespace bronzeswitch
