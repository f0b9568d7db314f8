#pragma once

#include <base/TimerService.h>

#include <algorithm>
#include <map>
#include <string>

namespace bronzeswitch {

/** Time spans by which a node judges its own paths to the upstreams. */
struct PathPolicy {
    Duration retestInterval { 1000 }; /**< After this time, a connection to an upstream without an own path is tried directly again. */
    Duration evidenceTime { 2000 }; /**< A failure counts as evidence for this long. */
    std::size_t minUpstreams = 3; /**< So many upstreams that fail at the same time show a lost path rather than failing upstreams. */
    Duration quickReach { 100 }; /**< Another node that reaches an upstream so soon shows that this node's link is not full. */
    Duration burstTime { 200 }; /**< Connections to several upstreams that break off within this time were lost with the path. */

    bool operator==(const PathPolicy&) const = default;
};

/** How an attempt to open a connection over a node's own path ended. */
enum class ConnectResult { Connected, Refused, TimedOut };

/**
 * Judges whether a failure to reach an upstream is one of the upstream or of the path between it and this node.
 *
 * Load pattern: a node loses the path to all upstreams, or to some, for seconds, while other nodes and the upstreams are sound. New
 * connections hang or are reset, open ones hang, break off or live on. If such failures were attributed to the upstreams, all nodes
 * would avoid them. That another node reaches the upstream proves that the path is lost. Without such a proof, several upstreams that fail
 * at the same time, while none is reached, show it. Connections also hang where this node's link is full; bytes of other upstreams that
 * arrive after them show that.
 *
 *     if (monitor.shouldConnectDirectly(upstream, now))
 *         monitor.onDirect(upstream, ConnectResult::Connected, now);
 */
class PathMonitor {
public:
    explicit PathMonitor(PathPolicy policy)
        : m_policy(policy)
    {
    }

    /** @return true if this node should try its own path to an upstream; of several calls, one tests a lost path again when that is due. */
    bool shouldConnectDirectly(const std::string& upstream, TimePoint now);

    /** Records the attempt to open a connection to an upstream over this node's own path. */
    void onDirect(const std::string& upstream, ConnectResult, TimePoint now);

    /** Records that another node has opened the connection that failed over this node's own path. @param taken time that it took. */
    void onReachedByOther(const std::string& upstream, Duration taken, TimePoint now);

    /** Records that an upstream has responded over this node's own path. */
    void onResponse(TimePoint now) { m_lastReached = now; }

    /** Records that bytes of an upstream have arrived over this node's own path, at a time that may be past. */
    void onReceived(TimePoint at) { m_lastReceived = std::max(m_lastReceived, at); }

    /** @return when an upstream was last reached, or bytes of one last arrived, over this node's own path. */
    TimePoint lastReached() const { return std::max(m_lastReached, m_lastReceived); }

    /** Records that an open connection broke off. @return true if the path was lost rather than the upstream. */
    bool onBroken(const std::string& upstream, TimePoint now);

    /** @return true if this node has lost the path to an upstream. */
    bool isLost(const std::string& upstream, TimePoint now) const;

    /** @return true if this node has lost the path to the upstreams altogether. */
    bool isCutOff(TimePoint now) const;

    /**
     * @return true if this node is cut off by a path on which connections hang, so that open ones hang as well. Where new connections are
     * refused, open ones may live on. Another node's quick connection proves that the path is lost, and this node's link not just full.
     */
    bool isSilent(TimePoint now) const;

    /** Forgets old evidence. Called periodically. */
    void expire(TimePoint now);

private:
    struct Failure {
        TimePoint at {};
        ConnectResult result = ConnectResult::TimedOut;
    };

    /** @return true if nothing has come from upstreams since a failure that would show a slow path rather than a lost one. */
    bool isEvidence(const Failure&, TimePoint now) const;

    PathPolicy m_policy;
    std::map<std::string, TimePoint> m_retestAt; /**< Of upstreams without an own path: when it is tested again. */
    std::map<std::string, Failure> m_failed; /**< Last failed attempt at a connection, by upstream. */
    std::map<std::string, TimePoint> m_broken; /**< Last connection that broke off, by upstream. */
    TimePoint m_lastReached {}; /**< When a connection over an own path was opened or carried a response. */
    TimePoint m_lastReceived {}; /**< When bytes of a response last arrived over an own path. */
    TimePoint m_lastProof {}; /**< When another node last reached an upstream quickly. */
    TimePoint m_lastRefused {}; /**< When a connection over an own path was refused. */
    TimePoint m_nextTest {}; /**< While this node is cut off. */
};

} // namespace bronzeswitch
