#pragma once

#include <gateway/CallerServer.h>
#include <gateway/GatewayContext.h>
#include <gateway/PeerView.h>
#include <net/DatagramSocket.h>
#include <net/StatusServer.h>

#include <map>
#include <memory>

namespace bronzeswitch {

/** Where a node listens and whom it knows at its start. */
struct GatewayOptions {
    std::string node;
    std::string dataCentre;
    asio::ip::tcp::endpoint callers;
    asio::ip::tcp::endpoint readiness;
    asio::ip::tcp::endpoint peers; /**< For datagrams and for state that a peer fetches; metrics are served here too. */
    std::vector<std::string> seeds; /**< Peer addresses. */
    GatewayBounds bounds;
    int logLinesPerSecond = 400;
    int capacity = 0; /**< Processor time that the node may use, in thousandths of a core; 0 if it isn't known. */

    bool operator==(const GatewayOptions&) const = default;
};

/**
 * An entry node: takes callers' requests and shares the upstreams with its peers.
 *
 * The source of routing and directory feeds it through applyRouting() and changeDirectory(). When a peer knows newer state
 * than this node, the node fetches the peer's state and hands it to the source for decoding.
 */
class GatewayNode {
public:
    /** How the source of routing and directory takes part in passing state on between nodes. */
    struct StateSource {
        std::function<std::string(bool withDirectory)> encode; /**< @return the state that this node holds. */
        std::function<void(const std::string&)> take; /**< Takes a peer's state; what is older is ignored. */
        std::function<void(const std::string&)> takeNews; /**< Takes changes that a peer has announced. */
    };

    /** @return the node, which listens on its ports, or why it can't. */
    static Result<std::unique_ptr<GatewayNode>> create(asio::io_context&, GatewayOptions, WireDialect, LineWriter&);

    /** Starts to serve. */
    void start(StateSource);

    /** Takes further peer addresses to begin with. */
    void addSeeds(const std::vector<std::string>&);

    /** Puts a version of the routing in force, if it is newer. @return false if it is not. */
    bool applyRouting(RoutingTablePointer);

    /** Lets a function change the directory; schedulers follow if it returns true. @return what the function returned. */
    bool changeDirectory(const std::function<bool(UpstreamDirectory&)>&);

    /**
     * @return how many nodes come before this one in reading the source; so nodes agree, without asking, who reads it for all.
     * Nodes that the source does not answer come after all others.
     */
    int sourceRank() const;

    /** Notes whether the source answers this node. */
    void setSourceReached(bool isReached) { m_isSourceReached = isReached; }

    /** Tells every peer of changes that this node has just read. @param changes as the source encodes them. */
    void announce(const std::string& changes);

    /** Notes up to where the directory's changes have been read. */
    void setDirectoryOffset(int64_t offset);
    int64_t directoryOffset() const { return m_directoryOffset; }

    /** Ends running requests and stops. */
    Task<void> drain();

    bool isReady() const;
    DecisionLog& log() { return m_log; }
    Metrics& metrics() { return m_metrics; }
    HttpClientPool& clients() { return m_clients; }
    RolloutController& rollouts() { return m_rollouts; }

    /** @return what should be recorded durably of the rollouts now. */
    std::vector<RolloutStatus> dueRolloutRecords() const;

    const UpstreamDirectory& directory() const { return m_context.directory; }
    Executor executor() { return m_context.executor; }
    const RoutingTablePointer& routing() const { return m_context.routing; }
    asio::ip::tcp::endpoint callerEndpoint() const { return m_callers->endpoint(); }
    std::string peerAddress() const;

private:
    GatewayNode(asio::io_context&, GatewayOptions, WireDialect, LineWriter&);

    Result<bool> listen();
    WholeAnswer answerReadiness() const;
    WholeAnswer answerPeer(const WholeRequest&);
    void onDatagram(const DatagramEndpoint&, const std::string& bytes);
    Task<void> sendReports();
    Task<void> keepHouse();
    Task<void> fetchState();
    bool isBehind(std::string& address, bool& isDirectoryBehind) const;
    void reportNow();
    NodeReport makeReport(bool isWhole);
    std::string homeOf(const std::string& key, std::vector<std::string> peers) const;
    void send(const std::string& address, const Message&);
    void sendBytes(const std::string& address, const std::string& bytes);
    void sendToAll(const Message&);
    void configurePlaces();
    void advanceRollouts(TimePoint now);
    bool isRolloutLeader(const std::string& service) const;
    bool isOldVersionIdle(const std::string& service) const;
    void run(const char* name, Task<void>);

    GatewayOptions m_options;
    LineWriter& m_writer;
    DecisionLog m_log;
    Metrics m_metrics;
    HttpClientPool m_clients;
    SlotAllocator m_places;
    RolloutController m_rollouts;
    QuotaEnforcer m_quotas;
    GatewayContext m_context;
    PeerView m_peers;
    StateSource m_source;
    std::unique_ptr<CallerServer> m_callers;
    std::unique_ptr<StatusServer> m_readiness;
    std::unique_ptr<StatusServer> m_peerServer;
    std::unique_ptr<DatagramSocket> m_datagrams;
    int64_t m_directoryOffset = -1;
    TimePoint m_directoryMoved {}; /**< When the offset last changed. */
    int64_t m_incarnation = 0;
    uint64_t m_sequence = 0;
    bool m_isSourceReached = true;
    bool m_isStopping = false;
};

} // namespace bronzeswitch
