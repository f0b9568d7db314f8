#pragma once

#include <base/TimerService.h>
#include <protocol/Messages.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzeswitch {

/** Timeouts for judging the state of peers. */
struct PeerTimeouts {
    Duration liveTimeout { 1500 }; /**< A peer counts as live for this long after its last report. */
    Duration minSuspicionTime { 1000 }; /**< A peer that did not respond is avoided for at least this long, and until its next report. */
    Duration forgetTimeout { 30000 }; /**< An address without a report for this long is dropped. */

    bool operator==(const PeerTimeouts&) const = default;
};

/**
 * A node's view of its peers, built from their periodic reports.
 *
 * Each report replaces the previous one, so a lost report does no harm. A late report is ignored: it has a lower incarnation, or
 * a sequence number of the same incarnation that is not higher.
 */
class PeerView {
public:
    explicit PeerView(PeerTimeouts);

    /** Sets this node's own address, which is not a peer. */
    void setOwnAddress(const std::string&);

    /** Adds the address of a possible peer. Seeds are never dropped. */
    void addAddress(const std::string& address, bool isSeed, TimePoint now);

    /** Processes a report. @return true if its peer was not live before. */
    bool onReport(const std::string& address, const NodeReport&, TimePoint now);

    /** Drops addresses without recent reports. @return the addresses of peers that have stopped being live. */
    std::vector<std::string> expire(TimePoint now);

    /** @return all known addresses; reports are sent to each of them. */
    std::vector<std::string> addresses() const;

    /** @return the addresses of live peers. */
    std::vector<std::string> livePeers() const;

    /**
     * @return addresses of live peers to name in a report. Each call continues where the last one ended, so that all peers get to
     * know each other although a report names only some of them.
     */
    std::vector<std::string> nextPeersToName(std::size_t count);

    /** @return the addresses of live peers that are ready and not draining. */
    std::vector<std::string> readyPeers() const;

    /** @return the addresses of ready peers that are not suspected of being unresponsive. */
    std::vector<std::string> responsivePeers() const;

    /**
     * @return those of some nodes that have at least half the CPU capacity of the strongest one, so that the work of a home node is
     * not given to a weak node while there are stronger ones.
     * @param ownCapacity capacity of this node, which may be among them.
     */
    std::vector<std::string> filterByCapacity(std::vector<std::string> addresses, int ownCapacity) const;

    /** @return the addresses of live peers that have not reported the source of routing and directory as unreachable. */
    std::vector<std::string> peersReachingSource() const;

    /** Marks a peer that did not respond, to exclude it from responsivePeers() for a while. */
    void suspect(const std::string& address, TimePoint now);

    /** @return the number of live nodes, including this one. */
    int liveNodeCount() const { return static_cast<int>(livePeers().size()) + 1; }

    /** @return the number of nodes that may exist, including this one: every peer that has ever reported and was not dropped. */
    int knownNodeCount() const;

    /** @return the report of the live peer with the newest routing, or null if none is newer. @param address set to the peer's address. */
    const NodeReport* newestRoutingPeer(int64_t newerThan, std::string& address) const;

    /** @return the same for the offset up to which peers have read the directory. */
    const NodeReport* newestDirectoryPeer(int64_t newerThan, std::string& address) const;

private:
    struct Peer {
        bool isSeed = false;
        bool isLive = false;
        bool hasReported = false;
        TimePoint added {};
        TimePoint lastReport {};
        TimePoint suspected {}; /**< When it last failed to respond. */
        NodeReport report;
    };

    bool isSuspected(const Peer&) const;

    std::string m_ownAddress;
    PeerTimeouts m_timeouts;
    std::map<std::string, Peer> m_peers;
    std::string m_lastNamed;
    TimePoint m_now {}; /**< Time of the last expire(). */
};

} // namespace bronzeswitch
