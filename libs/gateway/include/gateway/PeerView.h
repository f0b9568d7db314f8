#pragma once

#include <base/TimerService.h>
#include <gateway/DelegatePolicy.h>
#include <gateway/StateFetchPolicy.h>
#include <protocol/Messages.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace bronzeswitch {

/** Timeouts for judging the state of peers. */
struct PeerTimeouts {
    Duration liveTimeout { 1500 }; /**< A peer counts as live for this long after its last report. */
    Duration silentTimeout { 800 }; /**< After this long without a report, a peer may be gone; longer than between two reports. */
    Duration minSuspicionTime { 1000 }; /**< A peer that did not respond is avoided for at least this long, and until its next report. */
    Duration newDelegateTime { 1500 }; /**< For this long, each report names a new delegate. */
    Duration forgetTimeout { 30000 }; /**< An address without a report for this long is dropped. */

    bool operator==(const PeerTimeouts&) const = default;
};

/** The node to which a view belongs. */
struct OwnNode {
    std::string address;
    std::string dataCentre;
    int capacity = 0; /**< CPU time that the node may use, in thousandths of a core; 0 if unknown. */

    bool operator==(const OwnNode&) const = default;
};

/** @return the key by which all nodes rank each other: strong nodes first, then by a hash of the address. @param capacity CPU time. */
std::tuple<int, uint64_t, std::string> nodeRankKey(const std::string& address, int capacity);

/** The addresses to which a node sends its reports. */
struct ReportTargets {
    std::vector<std::string> withLoads; /**< Delegates, which are or may become homes of pools, and nodes that have not reported yet. */
    std::vector<std::string> withoutLoads;

    std::size_t size() const { return withLoads.size() + withoutLoads.size(); }
    bool operator==(const ReportTargets&) const = default;
};

/**
 * A node's view of its peers, built from their periodic reports.
 *
 * Each report replaces the previous one, so a lost report does no harm. A late report is ignored: it has a lower incarnation, or
 * a sequence number of the same incarnation that is not higher.
 */
class PeerView {
public:
    explicit PeerView(PeerTimeouts, DelegatePolicy = {});

    /** Sets the node to which the view belongs; its own address is not a peer. */
    void setOwnNode(OwnNode);

    /** Adds the address of a possible peer. Seeds are never dropped. */
    void addAddress(const std::string& address, bool isSeed, TimePoint now);

    /** Processes a report. @return true if its peer was not live before. */
    bool onReport(const std::string& address, const NodeReport&, TimePoint now);

    /** @return true if a report is the first one of a live peer's later start; what its earlier start held is gone then. */
    bool isFromLaterStart(const std::string& address, const NodeReport&) const;

    /** Drops addresses without recent reports. @return the addresses of peers that have stopped being live. */
    std::vector<std::string> expire(TimePoint now);

    /** @return all known addresses. */
    std::vector<std::string> addresses() const;

    /** @return true if this node is a delegate; see DelegatePolicy. */
    bool isDelegate() const;

    /** @return the addresses to which this node sends its reports. */
    ReportTargets reportTargets() const;

    /** @return the addresses of live peers. */
    std::vector<std::string> livePeers() const;

    /**
     * @return live peers to name in a report: delegates and nodes of the receivers' data centre. Each call continues where the last one
     * ended, so that all peers get to know each other although a report names only some of them.
     * @param dataCentre of the receivers.
     */
    std::vector<NamedPeer> nextPeersToName(std::size_t count, const std::string& dataCentre);

    /**
     * @return peers that became delegates a short time ago. Every report names them: a new delegate doesn't know the nodes of other data
     * centres yet, so these have to learn of it from the other delegates.
     */
    std::vector<NamedPeer> newDelegates() const;

    /** @return the addresses of live delegates that are ready and not draining. */
    std::vector<std::string> readyPeers() const;

    /** @return the addresses of ready peers that are not suspected of being unresponsive. */
    std::vector<std::string> responsivePeers() const;

    /**
     * @return those of some nodes that have at least half the CPU capacity of the strongest one, so that the work of a home node is
     * not given to a weak node while there are stronger ones.
     * @param ownCapacity capacity of this node, which may be among them.
     */
    std::vector<std::string> filterByCapacity(std::vector<std::string> addresses, int ownCapacity) const;

    /**
     * @return the live peers that have not reported the source of routing and directory as unreachable.
     * @param dataCentre only peers there; empty for all.
     */
    std::vector<std::string> peersReachingSource(const std::string& dataCentre = {}) const;

    /** @return the live peers that are ready, don't drain and have not lost the path to the upstreams. */
    std::vector<std::string> peersWithPaths() const;

    /** @return the data centre that a peer has reported, empty if unknown. */
    std::string dataCentreOf(const std::string& address) const;

    /** @return CPU capacity that a live peer has reported, 0 if unknown. */
    int capacityOf(const std::string& address) const;

    /** @return true if a peer has missed a report, so that it may be gone. */
    bool isSilent(const std::string& address, TimePoint now) const;

    /** Marks a peer that did not respond, to exclude it from responsivePeers() for a while. */
    void suspect(const std::string& address, TimePoint now);

    /** @return the number of nodes that are live to this node or to a delegate, including this one. */
    int liveNodeCount() const;

    /**
     * @return the number of nodes that may exist, including this one: those of recent reports to this node or a delegate, and at least the
     *     registered ones.
     */
    int knownNodeCount() const;

    /**
     * Sets the number of registered nodes, as this node has read it from the registry.
     * @param wasRegistered this node was in the registry before it started, so that its peers count it already.
     */
    void setRegisteredNodes(int count, bool wasRegistered);

    /** @return the number of registered nodes, including this one; 0 if neither this node nor a peer knows it. */
    int registeredNodes() const { return m_registeredNodes; }

    /**
     * @return true once this node may rely on knownNodeCount(): the number of registered nodes is known, and the others, if there are any,
     *     know of this node. A node that has not got any report can't tell whether the others are gone or cut off from it.
     */
    bool isFleetKnown() const { return m_isFleetKnown; }

    /** @return the number of peers that are live to this node, and this node. */
    int directLiveNodeCount() const { return static_cast<int>(livePeers().size()) + 1; }

    /** @return the number of peers that have reported to this node and were not dropped, and this node. */
    int directNodeCount() const;

    /**
     * @return the live peers that have the newest routing known, empty if none is newer than a version.
     * @param dataCentre of this node.
     */
    std::vector<StateHolder> newestRoutingHolders(int64_t newerThan, const std::string& dataCentre) const;

    /** @return the report of the live peer that has read most of the directory, or null. @param address set to the peer's address. */
    const NodeReport* newestDirectoryPeer(const SourcePosition& newerThan, std::string& address) const;

private:
    struct Peer {
        bool isSeed = false;
        bool isLive = false;
        bool hasReported = false;
        TimePoint added {};
        TimePoint lastReport {};
        TimePoint suspected {}; /**< When it last failed to respond. */
        TimePoint delegateSince {}; /**< When this node learned that it is a delegate. */
        NodeReport report;
    };

    void adoptRegisteredNodes(const NodeReport&);
    void updateFleetKnown();
    bool isSuspected(const Peer&) const;
    bool isInOwnDataCentre(const Peer& peer) const { return peer.report.dataCentre == m_own.dataCentre; }

    /** @return true if this node exchanges reports with the peer. */
    bool isRelevant(const NamedPeer& peer) const { return peer.isDelegate || peer.dataCentre == m_own.dataCentre; }

    OwnNode m_own;
    PeerTimeouts m_timeouts;
    DelegatePolicy m_delegatePolicy;
    std::map<std::string, Peer> m_peers;
    std::string m_lastNamed;
    TimePoint m_now {}; /**< Time of the last expire(). */
    int m_registeredNodes = 0; /**< 0 if unknown. */
    bool m_wasRegistered = false; /**< Before it started. */
    bool m_hasHeardPeer = false;
    bool m_isFleetKnown = false;
};

} // namespace bronzeswitch
