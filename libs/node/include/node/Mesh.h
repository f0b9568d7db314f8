#pragma once

#include <base/TimerService.h>
#include <infra/VmList.h>
#include <node/LinkHub.h>
#include <protocol/Messages.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace bronzeswitch {

/** Intervals and timeouts of the mesh and its failure detector. */
struct MeshTiming {
    Duration heartbeatInterval { 500 };
    Duration deadAfter { 2000 }; /**< A peer that acknowledges no heartbeat for this long is not live, and its link is replaced. */
    Duration reconnectDelay { 200 }; /**< Until the next attempt to connect, or the next check whether the link is open. */
    Duration forgetAfter { 10000 }; /**< A peer that has been neither listed nor live for this long is removed. */

    bool operator==(const MeshTiming&) const = default;
};

/** What a node knows about a peer. */
struct PeerStatus {
    std::string id;
    std::string dataCentre;
    bool isLive = false; /**< It acknowledges heartbeats. */
    bool isReady = false; /**< As it has reported, like isDraining and ledgerNextOffset. */
    bool isDraining = false;
    bool isListedAsLeaving = false; /**< In the platform's VM list. */
    int64_t ledgerNextOffset = 0; /**< Next offset of the control stream that the peer will apply. */

    bool operator==(const PeerStatus&) const = default;
};

/** What a node reports to its peers in heartbeats and their acknowledgements. */
struct SelfStatus {
    int64_t ledgerNextOffset = 0; /**< Next offset of the control stream that this node will apply. */
    bool isReady = false;
    bool isDraining = false;

    bool operator==(const SelfStatus&) const = default;
};

/**
 * Keeps the links of a node to its peers and detects which peers are live.
 *
 * A thread for each peer maintains an outbound link and sends heartbeats on it. It replaces the link when acknowledgements stop, so
 * that a half-open connection is detected within MeshTiming::deadAfter. Peers are learned from the platform's VM list and from the
 * Hello messages of peers that the list does not show yet.
 *
 *     auto mesh = Mesh::create({ .node = "n1", ... });
 *     (*mesh)->send("n2", SlotCancel { 7 });
 */
class Mesh {
public:
    struct Options {
        std::string node; /**< Name of this node. */
        std::string dataCentre;
        std::string address = "127.0.0.1"; /**< IPv4 address to listen on, and for peers to connect to. */
        uint16_t port = 0; /**< 0 lets the kernel choose. */
        MeshTiming timing;
        std::function<SelfStatus()> selfStatus; /**< Called from several threads. */
        /** Runs on the hub's thread, or in send() for a message to this node itself; must not block. */
        std::function<void(const std::string& from, const Message&)> onMessage;
        /** Runs on a peer's thread or the hub's thread after a peer has joined or left members(), or has become live or not live. */
        std::function<void()> onMembersChanged;
    };

    /** Starts to listen for peers. @return the mesh, or Unavailable if it can't listen. */
    static Result<std::unique_ptr<Mesh>> create(Options);

    ~Mesh();
    Mesh(const Mesh&) = delete;
    Mesh& operator=(const Mesh&) = delete;

    /** @return the port that the mesh listens on. */
    uint16_t port() const { return m_hub->port(); }

    /** Applies the platform's VM list: adds new peers, and removes those that have been neither listed nor live for some time. */
    void updateVmList(const std::vector<Vm>&);

    /** Sends a message to a peer, or delivers it to this node itself. @return false if the peer has no live link. */
    bool send(const std::string& node, const Message&);

    /** Sends a message to every peer with an open outbound link. */
    void broadcast(const Message&);

    /**
     * @return this node and every peer that is live, ready and not leaving, sorted. A draining node leaves itself out unless it is
     *     the only one.
     */
    std::vector<std::string> members() const;

    /** @return true for a live peer and for this node. */
    bool isLive(const std::string& node) const;

    /** @return the status of every peer, sorted by name. */
    std::vector<PeerStatus> peers() const;

    /**
     * @return every peer that is live, is listed, or has not been listed so far. The list lags behind, so a peer that it has not
     *     shown yet may run even if it can't be reached.
     */
    std::vector<std::string> knownPeers() const;

    /** @return the bytes of all messages sent to peers. */
    uint64_t bytesSent() const { return m_hub->bytesSent(); }

    /** Stops the threads of all peers and the hub; no callback runs afterwards. */
    void shutdown();

private:
    struct Peer {
        PeerStatus status;
        std::string address;
        LinkId link = 0;
        bool isLinkOpen = false;
        bool isListed = false;
        bool wasListed = false; /**< The list has shown it at least once. */
        bool isRemoved = false; /**< Its thread must end. */
        uint64_t sequence = 0; /**< Of the last heartbeat. */
        TimePoint lastAck {}; /**< Or when the link was last started or opened. */
        TimePoint lastLive {}; /**< When isLive was last set, to either value. */
        std::thread thread;
    };

    explicit Mesh(Options);

    void runPeer(const std::shared_ptr<Peer>&);
    /** Connects, replaces a silent link or sends a heartbeat. @return true if the link is open. */
    bool maintainLink(Peer&, std::unique_lock<std::mutex>&);
    void addPeer(const Vm&);
    void forgetPeers();
    void onLinkOpened(LinkId, bool isInbound);
    void onLinkClosed(LinkId);
    void onLinkMessage(LinkId, const std::string& bytes);
    void onHello(LinkId, const Hello&);
    void onHeartbeat(LinkId, const std::string& from, const Heartbeat&);
    void onHeartbeatAck(const std::string& from, const HeartbeatAck&);
    void setLive(Peer&, bool isLive);
    bool isMember(const Peer&) const;
    std::vector<std::string> membersLocked() const;
    void notifyIfMembersChanged();

    Options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::map<std::string, std::shared_ptr<Peer>> m_peers;
    std::map<LinkId, std::string> m_outboundPeers; /**< Names of the peers that this node connects to. */
    std::map<LinkId, std::string> m_inboundPeers; /**< Names of the peers that have sent a Hello. */
    std::vector<std::string> m_reportedMembers; /**< At the last onMembersChanged. */
    uint64_t m_livenessChanges = 0; /**< Counts peers that became live or not live. */
    uint64_t m_reportedLivenessChanges = 0; /**< At the last onMembersChanged. */
    bool m_isStopping = false;
    std::unique_ptr<LinkHub> m_hub;
};

} // namespace bronzeswitch
