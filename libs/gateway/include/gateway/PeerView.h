#pragma once

#include <base/TimerService.h>
#include <protocol/Messages.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzeswitch {

/** Bounds of what is believed of peers. */
struct PeerTimeouts {
    Duration liveTimeout { 1500 }; /**< A peer is live for so long after its last report. */
    Duration minSuspicionTime { 1000 }; /**< A peer that gave no answer is left out for so long at least, and until it is heard again. */
    Duration forgetTimeout { 30000 }; /**< An address that was never or not lately heard is dropped. */

    bool operator==(const PeerTimeouts&) const = default;
};

/**
 * What a node knows of its peers from their reports.
 *
 * Reports replace each other, so a lost or late one does no harm: one with a lower sequence of the same start is ignored.
 */
class PeerView {
public:
    explicit PeerView(PeerTimeouts);

    /** Leaves this node's own address out. */
    void setOwnAddress(const std::string&);

    /** Takes an address where a peer may be; seeds are never dropped. */
    void addAddress(const std::string& address, bool isSeed, TimePoint now);

    /** Takes a report. @return true if it is the first of a peer that was not live. */
    bool onReport(const std::string& address, const NodeReport&, TimePoint now);

    /** Forgets old addresses. @return the peers that are live no longer, by address. */
    std::vector<std::string> expire(TimePoint now);

    /** @return all addresses that reports are sent to. */
    std::vector<std::string> addresses() const;

    /** @return addresses of live peers. */
    std::vector<std::string> livePeers() const;

    /**
     * @return addresses of live peers to name in a report. Each call goes on where the last one ended, so that peers come to know
     * each other though a report names only some.
     */
    std::vector<std::string> nextPeersToName(std::size_t count);

    /** @return addresses of live peers that take requests and do not leave. */
    std::vector<std::string> readyPeers() const;

    /** @return the same without peers that did not answer this node lately. */
    std::vector<std::string> responsivePeers() const;

    /**
     * @return those of some nodes that may use at least half as much processor time as the one that may use most, so that the work of
     * a home doesn't fall to a node that is too weak for it while there are stronger ones.
     * @param ownCapacity of this node, which may be among them.
     */
    std::vector<std::string> filterByCapacity(std::vector<std::string> addresses, int ownCapacity) const;

    /** @return addresses of live peers that the source of routing and directory answers, as far as they have tried. */
    std::vector<std::string> peersReachingSource() const;

    /** Leaves a peer that did not answer out of responsivePeers(). */
    void suspect(const std::string& address, TimePoint now);

    /** @return how many nodes there are with this one, counting those heard lately. */
    int liveNodeCount() const { return static_cast<int>(livePeers().size()) + 1; }

    /** @return how many nodes there may be with this one: every peer that was heard and is not forgotten. */
    int knownNodeCount() const;

    /** @return the live peer that knows most, if it knows a newer routing than this, or null. */
    const NodeReport* newestRoutingPeer(int64_t than, std::string& address) const;

    /** @return the live peer that has read most of the directory, if more than this, or null. */
    const NodeReport* newestDirectoryPeer(int64_t than, std::string& address) const;

private:
    struct Peer {
        bool isSeed = false;
        bool isLive = false;
        bool wasHeard = false;
        TimePoint added {};
        TimePoint heard {};
        TimePoint suspected {}; /**< When it last gave no answer. */
        NodeReport report;
    };

    bool isSuspected(const Peer&) const;

    std::string m_ownAddress;
    PeerTimeouts m_timeouts;
    std::map<std::string, Peer> m_peers;
    std::string m_lastNamed;
    TimePoint m_now {}; /**< Of the last expiry. */
};

} // namespace bronzeswitch
