#pragma once

#include <gateway/AdmissionMonitor.h>
#include <gateway/BrokenResponses.h>
#include <gateway/CallerServer.h>
#include <gateway/GatewayContext.h>
#include <gateway/NodeDiscovery.h>
#include <gateway/PeerView.h>
#include <gateway/StateFetcher.h>
#include <gateway/UpstreamPaths.h>
#include <net/DatagramSocket.h>
#include <net/SimpleHttpServer.h>

#include <map>
#include <memory>

namespace bronzeswitch {

/** Identity, endpoints and limits of a gateway node. */
struct GatewayOptions {
    std::string node; /**< Name of the node. */
    std::string dataCentre;
    asio::ip::tcp::endpoint callerEndpoint;
    asio::ip::tcp::endpoint readinessEndpoint;
    asio::ip::tcp::endpoint peerEndpoint; /**< For messages between nodes, for peers that fetch state, and for metrics. */
    std::vector<std::string> seeds; /**< Peer addresses that the node contacts first. */
    GatewayBounds bounds;
    int logLinesPerSecond = 400;
    int capacity = 0; /**< CPU time that the node may use, in thousandths of a core; 0 if unknown. */
    std::size_t memoryBytes = 0; /**< Memory that the process may use; 0 if unknown. */
    std::size_t maxDescriptors = 0; /**< Descriptors that the process may have open; 0 if unknown. */

    bool operator==(const GatewayOptions&) const = default;
};

/**
 * A gateway node: handles callers' requests and shares the upstreams with its peer nodes.
 *
 * A component outside of this class reads the source of routing and directory, such as the platform's store. It calls
 * applyRouting() and updateDirectory(), and provides StateCallbacks, which encode and decode the source's records. When a peer has
 * newer state than this node, the node fetches the peer's state and applies it through the callbacks.
 *
 *     auto node = GatewayNode::create(loop, options, headerCodec, writer);
 *     (*node)->start(stateCallbacks);
 *     co_await (*node)->drain();
 */
class GatewayNode {
public:
    /** What a peer needs of this node's state. */
    struct StateRequest {
        bool withDirectory = false;
        std::optional<uint64_t> patchBase {}; /**< Hash of the routing that the peer has, if a patch to it will do. */
    };

    /** Encodes and applies the state that nodes exchange: the routing and the directory in the encoding of the source. */
    struct StateCallbacks {
        std::function<std::string(const StateRequest&)> encodeState; /**< @return this node's state. */
        std::function<void(const std::string&)> applyState; /**< Applies a peer's state where it is newer. */
        std::function<void(const std::string&)> applyChanges; /**< Applies changes that a peer has announced. */
        std::function<Task<bool>()> confirmRouting {}; /**< Makes sure that the routing is the newest; false if that is not known. */
        std::function<std::optional<uint64_t>()> patchBase {}; /**< @return hash of the routing to which peers may send a patch. */
    };

    /** Creates a node and binds its endpoints. @return the node, or Unavailable if an address can't be bound. */
    static Result<std::unique_ptr<GatewayNode>> create(asio::io_context&, GatewayOptions, HeaderCodec, LineWriter&);

    /** Starts the servers, the exchange of messages with peers, and the periodic tasks. */
    void start(StateCallbacks);

    /** Adds peer addresses that the node contacts first. */
    void addSeeds(const std::vector<std::string>&);

    /** Applies a version of the routing if it is newer than the current one. @return false if it is not. */
    bool applyRouting(RoutingTablePointer);

    /**
     * Changes the directory by a function that returns true if anything changed; then the schedulers are configured again.
     * @param cause what the log line of a change shows about its cause.
     * @return the result of the function.
     */
    bool updateDirectory(const std::function<bool(UpstreamDirectory&)>&, nlohmann::json cause = nlohmann::json::object());

    /**
     * Ranks this node among the live nodes for reading the source of routing and directory. All nodes rank each other alike, so they
     * agree without further messages which ones read the source on behalf of all.
     * @return how many nodes rank before this one. Nodes that can't reach the source rank after all others.
     */
    int sourceRank() const { return sourceRankAmong(m_peers.peersReachingSource()); }

    /** @return the same among the nodes of this node's data centre. */
    int sourceRankInDataCentre() const { return sourceRankAmong(m_peers.peersReachingSource(m_options.dataCentre)); }

    /** @return true if a peer has a newer routing than this node. */
    bool isRoutingOutdated() const { return m_stateFetcher.isRoutingOutdated(); }

    /** Sets whether this node can reach the source of routing and directory. */
    void setSourceReachable(bool isReachable) { m_isSourceReachable = isReachable; }

    /** Sends changes that this node has just read to every peer. @param changes in the encoding of the source. */
    void announceChanges(const std::string& changes);

    /** Sets the position in the directory's changes up to which this node has read. */
    void setDirectoryPosition(const SourcePosition& position) { m_stateFetcher.setDirectoryPosition(position); }
    const SourcePosition& directoryPosition() const { return m_stateFetcher.directoryPosition(); }

    /**
     * Takes over orders to evacuate data centres, and revocations, where they are later than the known ones.
     * @param source where they come from, for the log.
     * @return true if an evacuation has begun or ended.
     */
    bool applyEvacuations(const std::vector<EvacuationOrder>&, const std::string& source);

    /** Ends the evacuations whose orders a complete read of the source lacks. */
    void applyEvacuations(const Evacuations::CompleteRead&);

    /** Processes the era of the source, which rises when the source is restored from a copy. */
    void onSourceEra(int64_t era) { m_context.evacuations.onEra(era, monotonicNow()); }

    const Evacuations& evacuations() const { return m_context.evacuations; }

    /** Shuts down gracefully: readiness turns off, running requests may end, and the periodic tasks stop. */
    Task<void> drain();

    /** @return true if the node has a routing and at least one upstream, and does not drain. */
    bool isReady() const;

    DecisionLog& log() { return m_log; }
    Metrics& metrics() { return m_metrics; }
    HttpConnectionPool& connectionPool() { return m_connectionPool; }
    RolloutController& rollouts() { return m_rollouts; }
    PromptGuard& prompts() { return m_prompts; }
    ColdUpstreams& coldUpstreams() { return m_coldUpstreams; }
    NodeDiscovery& discovery() { return m_discovery; }

    /** @return true if this node should write the quarantines of parts of prompts to durable storage now. */
    bool isQuarantineRecordDue() const;

    /** @return the states of rollouts that should be written to durable storage now. */
    std::vector<RolloutStatus> dueRolloutRecords() const;

    const UpstreamDirectory& directory() const { return m_context.directory; }
    Executor executor() { return m_context.executor; }
    const RoutingTablePointer& routing() const { return m_context.routing; }
    const PeerView& peers() const { return m_peers; }

    asio::ip::tcp::endpoint callerEndpoint() const { return m_callerServer->endpoint(); }

    /** @return the address by which peers know this node, as "address:port". */
    std::string peerAddress() const;

private:
    GatewayNode(asio::io_context&, GatewayOptions, HeaderCodec, LineWriter&);

    Result<bool> listen();
    FullHttpResponse handleReadinessRequest() const;
    FullHttpResponse handlePeerRequest(const FullHttpRequest&);
    void receive(const DatagramEndpoint&, const std::string& bytes);
    void onDatagram(const DatagramEndpoint&, const std::string& bytes);
    Task<void> sendReports();
    Task<void> runMaintenance();
    int sourceRankAmong(const std::vector<std::string>& readers) const;

    void reportNow();

    /** Builds the next report, without peers. */
    NodeReport makeReport();

    /** Sends a report to the peers that need it. */
    void sendReport(NodeReport);

    void updateDelegate();

    /**
     * Chooses the home node of a key, which decides for a pool or a group of quotas, by rendezvous hashing.
     * @param delegates candidates; this node is added if it is a ready delegate or if there are no others.
     * @return the address of the home node.
     */
    std::string homeOf(const std::string& key, std::vector<std::string> delegates) const;

    void send(const std::string& address, const Message&);
    void sendBytes(const std::string& address, const std::string& bytes);
    void broadcast(const Message&);
    void configureSlots();
    void advanceRollouts(TimePoint now);
    void onQuarantineChange();
    void connectNotices();
    nlohmann::json describeEvacuation(const std::string& dataCentre) const;
    bool onEvacuationChanges(const std::vector<EvacuationOrder>& changes);

    /** Called when the upstreams of a data centre get requests again. Until then this node knew little of their state. */
    void onEvacuationEnded(const std::string& dataCentre);

    /** @return how many upstreams of evacuated data centres still run requests of any node, as far as this node knows. */
    int evacuatedBusyUpstreams() const;

    void connectColdUpstreams();

    /** Sets the limits of all upstreams that may crash while they are cold, after a change of the schedulers' configuration. */
    void configureColdStart();

    /** Adjusts these limits to the nodes in touch and to the homes of the pools. */
    void updateColdStartShares(TimePoint now);
    bool isStoreWriter(const std::string& record) const;
    bool isRolloutLeader(const std::string& service) const;
    bool isStableVersionIdle(const std::string& service) const;
    void startBackgroundTask(const char* name, Task<void>);

    GatewayOptions m_options;
    LineWriter& m_writer;
    DecisionLog m_log;
    Metrics m_metrics;
    HttpConnectionPool m_connectionPool;
    SlotAllocator m_slots;
    AdmissionMonitor m_admissionMonitor { m_log, m_metrics };
    RolloutController m_rollouts;
    QuotaEnforcer m_quotas;
    PromptGuard m_prompts;
    UpstreamNotices m_notices;
    ColdUpstreams m_coldUpstreams;
    ColdStartShares m_coldStartShares;
    GatewayContext m_context;
    PeerView m_peers;
    NodeDiscovery m_discovery;
    StateFetcher m_stateFetcher;
    UpstreamPaths m_paths;
    BrokenResponses m_brokenResponses;
    StateCallbacks m_stateCallbacks;
    std::unique_ptr<CallerServer> m_callerServer;
    std::unique_ptr<SimpleHttpServer> m_readinessServer;
    std::unique_ptr<SimpleHttpServer> m_peerServer;
    std::unique_ptr<DatagramSocket> m_datagrams;
    int64_t m_incarnation = 0; /**< Unix milliseconds of the node's start. */
    uint64_t m_sequence = 0; /**< Of the last report. */
    bool m_isDelegate = true;
    bool m_isSourceReachable = true;
    bool m_isStopping = false;
};

} // namespace bronzeswitch
