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
 * Runs the schedulers of the pools whose home is this node.
 *
 * Opens and closes pools as members and configuration change, and responds to the nodes that request slots. Thread-safe.
 */
class PoolHomes {
public:
    struct Options {
        std::string node;
        std::shared_ptr<TimerService> timers;
        std::function<std::vector<std::string>()> members; /**< The nodes that may be homes now. */
        std::function<bool(const std::string& node)> isLive;
        std::function<void(const std::string& node, const Message&)> send;
        std::function<void(const GrantedSlot&, const SlotRelease&)>
            onDispatchEnded; /**< Called when a dispatch of a pool of this node has ended. */
        EventLog events;
    };

    explicit PoolHomes(Options);

    /** Applies a new control state. */
    void update(const ControlViewPointer&);

    /** Applies a change of the members. */
    void onMembersChanged();

    /** Handles a slot request. */
    void onRequest(const std::string& from, const SlotRequest&);

    /** Handles that a node has withdrawn a slot request. */
    void onCancel(const std::string& from, const SlotCancel&);

    /** Handles a slot that a node returns after its dispatch has ended. */
    void onRelease(const std::string& from, const SlotRelease&);

    /** Handles a node's report of a dispatch that is running in a slot granted by an earlier home. */
    void onSlotInUse(const std::string& from, const SlotInUse&);

    /** Handles an upstream's load report. */
    void onLoadReport(const std::string& pool, const std::string& upstream, const LoadReport&);

    /** Handles an event of an engine's prefix cache. */
    void onCacheEvent(const std::string& pool, const std::string& upstream, int64_t sequence, bool isStored, uint64_t prefix);

    /** @return the sequence number of the next cache event to request from an upstream. */
    int64_t nextCacheEvent(const std::string& pool, const std::string& upstream) const;

    /** Stops the granting of slots at an upstream while it loads another version, or resumes it. */
    void setPaused(const std::string& pool, const std::string& upstream, bool isPaused);

    /** @return the engines of a pool that report another version than the configuration names for them. */
    std::vector<Upstream> enginesOnWrongVersion(const std::string& pool) const;

    /** Stops a rollout's candidate version in every pool, immediately and permanently. */
    void stopRollout(const std::string& rollout);

    /** @return the pools whose home is this node. */
    std::vector<std::string> pools() const;

    /** @return true if this node is the home of a pool. */
    bool isHomeOf(const std::string& pool) const;

    /** @return a summary of every upstream in this node's pools, for operators. */
    std::vector<UpstreamSummary> summaries() const;

    /** @return the number of slots in use at an upstream. */
    int inFlight(const std::string& pool, const std::string& upstream) const;

    /** @return the number of requests that wait for a slot. */
    std::size_t waiting() const;

private:
    // Grants and refusals that are collected under the mutex and sent after it was unlocked.
    struct Outbox {
        std::vector<SlotDecision> decisions;
        void add(SlotDecisions);
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
    std::set<std::string> m_forcedPools; /**< Pools kept open by a forced request although this node is not their home. */
    std::set<std::string> m_liveNodes; /**< Nodes whose pending requests are dropped and whose slots are freed when they are lost. */
    std::set<std::string> m_stoppedRollouts;
    std::unique_ptr<TimerService::Subscription> m_tickSubscription;
};

} // namespace bronzeswitch
