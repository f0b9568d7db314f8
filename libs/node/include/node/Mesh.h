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

/** Bounds of the failure detector. */
struct MeshTiming {
    Duration heartbeatInterval { 500 };
    Duration deadAfter { 2000 }; /**< A peer without an answer for this long is not live, and its link is replaced. */
    Duration reconnectDelay { 200 };
    Duration forgetAfter { 10000 }; /**< A peer that is neither listed nor live for this long is forgotten. */

    bool operator==(const MeshTiming&) const = default;
};

/** What a node knows of one peer. */
struct PeerStatus {
    std::string id;
    std::string dataCentre;
    bool isLive = false;
    bool isReady = false;
    bool isDraining = false;
    bool isListedAsLeaving = false;
    int64_t ledgerNext = 0;

    bool operator==(const PeerStatus&) const = default;
};

/** What a node tells its peers in heartbeats. */
struct SelfStatus {
    int64_t ledgerNext = 0;
    bool isReady = false;
    bool isDraining = false;

    bool operator==(const SelfStatus&) const = default;
};

/**
 * The links of a node to its peers, and who of them is live.
 *
 * One task for each peer keeps an outbound link, sends heartbeats on it and replaces it when answers stop, so that a
 * half-open connection is found within the bound. Peers come from the platform's list and from the introductions of
 * peers that the list does not show yet.
 *
 *     auto mesh = Mesh::create({ .node = "n1", ... });
 *     (*mesh)->send("n2", PlaceCancel { 7 });
 */
class Mesh {
public:
    struct Options {
        std::string node;
        std::string dataCentre;
        std::string address = "127.0.0.1";
        uint16_t port = 0;
        MeshTiming timing;
        std::function<SelfStatus()> selfStatus;
        std::function<void(const std::string& from, const Message&)> onMessage; /**< Runs on the link thread; must not block. */
        std::function<void()> onMembersChanged; /**< Runs on a peer's task after a change of members() or a new link. */
    };

    static Result<std::unique_ptr<Mesh>> create(Options);

    ~Mesh();
    Mesh(const Mesh&) = delete;
    Mesh& operator=(const Mesh&) = delete;

    uint16_t port() const { return m_hub->port(); }

    /** Takes the platform's list; peers that it no longer shows are kept while they are live. */
    void updateVmList(const std::vector<Vm>&);

    /** Sends a message to a peer, or to this node itself. @return false when there is no live link. */
    bool send(const std::string& node, const Message&);

    /** Sends a message to every live peer. */
    void broadcast(const Message&);

    /** @return the ready, live and staying nodes with this one, sorted. */
    std::vector<std::string> members() const;

    /** @return true for a live peer and for this node. */
    bool isLive(const std::string& node) const;

    std::vector<PeerStatus> peers() const;

    /**
     * @return every peer that is live or listed, or that the lagging list has not shown yet, reachable or not.
     */
    std::vector<std::string> knownPeers() const;

    /** @return bytes of messages sent to peers so far. */
    uint64_t bytesSent() const { return m_hub->bytesSent(); }

    /** Stops all tasks and links. */
    void shutdown();

private:
    struct Peer {
        PeerStatus status;
        std::string address;
        LinkId link = 0;
        bool isOpen = false;
        bool isListed = false;
        bool wasListed = false; /**< The list has shown it at some time. */
        bool isEnding = false;
        uint64_t sequence = 0;
        TimePoint lastAnswer {};
        TimePoint lastLive {};
        std::thread task;
    };

    explicit Mesh(Options);

    void runPeer(const std::shared_ptr<Peer>&);
    bool maintainLink(Peer&, std::unique_lock<std::mutex>&);
    void addPeer(const Vm&);
    void forgetPeers();
    void onOpen(LinkId, bool isInbound);
    void onClose(LinkId);
    void onBytes(LinkId, const std::string& bytes);
    void onHello(LinkId, const Hello&);
    void onHeartbeat(LinkId, const std::string& from, const Heartbeat&);
    void onAck(const std::string& from, const HeartbeatAck&);
    void setLive(Peer&, bool isLive);
    bool isMember(const Peer&) const;
    std::vector<std::string> membersLocked() const;
    void notifyIfMembersChanged();

    Options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::shared_ptr<Peer>> m_peers;
    std::map<LinkId, std::string> m_outbound;
    std::map<LinkId, std::string> m_inbound;
    std::vector<std::string> m_lastMembers;
    uint64_t m_linkChanges = 0; /**< Counts links that became live or were lost. */
    uint64_t m_lastLinkChanges = 0;
    bool m_isStopping = false;
    std::unique_ptr<LinkHub> m_hub;
};

} // namespace bronzeswitch
