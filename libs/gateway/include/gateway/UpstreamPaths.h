#pragma once

#include <gateway/GatewayContext.h>
#include <gateway/PathMonitor.h>
#include <gateway/PeerView.h>
#include <net/PassOn.h>

#include <random>

namespace bronzeswitch {

/** A connection to an upstream, and the way it goes. */
struct UpstreamPath {
    AcquiredConnection connection;
    std::string node; /**< Address of the node that passes the connection on; empty for this node's own path. */
};

/**
 * Connects to upstreams: over this node's own path, or by way of another node that reaches the upstream.
 *
 * Until a connection is open nothing has been sent, so the second way costs no run. The node that passes a connection on moves bytes
 * only: limits, deadlines, retries and what the response states are up to this node.
 */
class UpstreamPaths {
public:
    static constexpr const char* passOnPath = "/upstreams/"; /**< The identifier of the upstream follows. */

    UpstreamPaths(GatewayContext&, const PeerView&, std::string dataCentre);

    /** Opens a connection, or takes an idle one. @return NotFound, Timeout or Unavailable if the upstream was not reached. */
    Task<Result<UpstreamPath>> acquire(UpstreamEntry, TimePoint deadline);

    /** Records that a connection over this node's own path broke off. @return true if the path was lost rather than the upstream. */
    bool onBroken(const std::string& upstream) { return m_monitor.onBroken(upstream, monotonicNow()); }

    /** Records that an upstream has responded over this node's own path. */
    void onResponse() { m_monitor.onResponse(monotonicNow()); }

    /** @return when a connection was last opened, or bytes of an upstream last arrived, over this node's own path. */
    TimePoint lastReached() const { return m_monitor.lastReached(); }

    /** @return true if failures at an upstream are failures of this node's own path to it. */
    bool isLost(const std::string& upstream) const { return m_monitor.isLost(upstream, monotonicNow()); }

    /** @return true if this node has lost the path to the upstreams altogether. */
    bool isCutOff() const { return m_monitor.isCutOff(monotonicNow()); }

    /** Passes a peer's connection on to an upstream. */
    Task<void> passOn(std::shared_ptr<CallerConnection>, PassOnRequest);

    /** @return number of connections that are being passed on for peers. */
    int passedOn() const { return m_passedOn; }

    /** Logs a change of isCutOff() and ends what waits on lost paths. Called periodically. */
    void tick();

private:
    Task<Result<UpstreamPath>> acquireDirectly(const UpstreamEntry&, const asio::ip::tcp::endpoint&, TimePoint deadline);
    Task<Result<UpstreamPath>> acquireThrough(const std::string& node, const UpstreamEntry&, TimePoint deadline);

    /** @return nodes that may pass connections on, in the order in which to ask them. */
    std::vector<std::string> nodesToAsk();

    /** @return why this node does not pass a connection on to an upstream, or null. */
    const char* reasonToRefuse(const UpstreamEntry*) const;

    GatewayContext& m_context;
    const PeerView& m_peers;
    std::string m_dataCentre;
    PathMonitor m_monitor { PathPolicy {} };
    std::map<std::string, TimePoint> m_avoidedUntil; /**< Nodes that did not pass a connection on. */
    bool m_wasCutOff = false;
    int m_passedOn = 0; /**< Connections that are being passed on for peers. */
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace bronzeswitch
