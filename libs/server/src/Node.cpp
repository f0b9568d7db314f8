#include "ClaimClient.h"
#include "ControlView.h"
#include "DirectSlotProvider.h"
#include "OperatorApi.h"
#include "OrderTask.h"
#include "PoolHomes.h"
#include "RequestHandler.h"
#include "RolloutTask.h"
#include "UpstreamMonitor.h"
#include <metrics/Metrics.h>

#include <http/HttpServer.h>
#include <infra/VmList.h>
#include <ledger/Compactor.h>
#include <server/Node.h>

namespace bronzeswitch {

namespace {

constexpr Duration housekeepingInterval { 300 };
constexpr Duration vmListInterval { 1000 };
constexpr Duration compactionInterval { 1000 };
constexpr Duration compactionTimeout { 3000 };
constexpr Duration drainPollInterval { 20 };
constexpr Duration maintenancePollInterval { 150 };
constexpr Duration drainNoticePeriod { 600 };

} // namespace

// Owns the components of a node. Members are declared in the order of their dependencies.
class Node::Impl {
public:
    explicit Impl(const Settings& settings)
        : m_settings(settings)
        , m_events(settings.node)
        , m_timers(TimerService::createSystem())
        , m_log(std::make_shared<NodeLog>(settings.logAuthority))
        , m_vmList(settings.vmListAuthority)
        , m_follower(m_log)
        , m_view(std::make_shared<ControlView>())
    {
    }

    ~Impl() { stop(); }
    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    Result<void> start()
    {
        if (auto result = startMesh(); !result)
            return result;
        createComponents();
        m_follower.subscribe([this](const auto& state) { onLedgerState(state); });
        m_follower.start();
        m_isRunning = true;
        m_maintenance = std::thread([this] { runMaintenance(); });
        m_housekeeping = m_timers->subscribe(housekeepingInterval, [this] { runHousekeeping(); });
        return startServers();
    }

    uint16_t callerPort() const { return m_callerServer->port(); }
    uint16_t nodePort() const { return m_mesh->port(); }
    uint16_t operatorPort() const { return m_operatorServer->port(); }
    bool isReady() const { return m_follower.isReady() && view()->configuration->revision() > 0 && !m_isDraining; }
    int64_t revision() const { return view()->configuration->revision(); }
    std::vector<std::string> members() const { return m_mesh->members(); }
    uint64_t controlBytesSent() const { return m_mesh->bytesSent(); }
    int runningRequests() const { return m_callerServer ? m_callerServer->runningTasks() : 0; }

    bool drain()
    {
        m_events.write(events::stopping);
        m_isDraining = true;
        m_poolHomes->onMembersChanged();
        const auto start = std::chrono::steady_clock::now();
        // Gives the peers and the load balancer time to notice before the ports close.
        wait(drainNoticePeriod);
        while (runningRequests() > 0 && std::chrono::steady_clock::now() - start < m_settings.drainLimit)
            wait(drainPollInterval);
        m_claimHomes->releaseOwnership();
        const bool isEmpty = runningRequests() == 0;
        m_events.write(isEmpty ? events::stopped : events::drainTimedOut, "running=" + std::to_string(runningRequests()));
        return isEmpty;
    }

private:
    Result<void> startMesh()
    {
        Mesh::Options options;
        options.node = m_settings.node;
        options.dataCentre = m_settings.dataCentre;
        options.address = m_settings.address;
        options.port = m_settings.nodePort;
        options.timing = m_settings.mesh;
        options.selfStatus = [this] { return SelfStatus { m_follower.state()->nextOffset(), m_follower.isReady(), m_isDraining }; };
        options.onMessage = [this](const std::string& from, const Message& message) { onMessage(from, message); };
        options.onMembersChanged = [this] { m_haveMembersChanged = true; };
        auto mesh = Mesh::create(std::move(options));
        if (!mesh)
            return tl::unexpected(mesh.error());
        m_mesh = std::move(*mesh);
        return {};
    }

    void createComponents()
    {
        const auto send = [this](const std::string& node, const Message& message) { return m_mesh->send(node, message); };
        const auto sendUnchecked = [this](const std::string& node, const Message& message) { m_mesh->send(node, message); };
        const auto members = [this] { return m_mesh->members(); };
        const auto isLive = [this](const std::string& node) { return m_mesh->isLive(node); };
        const auto currentView = [this] { return view(); };
        m_slotClient = std::make_unique<SlotClient>(SlotClient::Options { members, send });
        m_claimClient = std::make_unique<ClaimClient>(ClaimClient::Options { members, send, m_settings.claimPartitions });
        ClaimHomes::Options claimOptions;
        claimOptions.log = m_log;
        claimOptions.send = sendUnchecked;
        claimOptions.isLive = isLive;
        claimOptions.members = members;
        claimOptions.knownPeers = [this] { return m_mesh->knownPeers(); };
        claimOptions.validity = [this] { return view()->configuration->limits().claimValidity; };
        claimOptions.node = m_settings.node;
        claimOptions.timing = m_settings.claims;
        claimOptions.partitions = m_settings.claimPartitions;
        claimOptions.listLag = m_settings.listLag;
        m_claimHomes = std::make_unique<ClaimHomes>(claimOptions);
        const auto onDispatchEnded
            = [this](const GrantedSlot& slot, const SlotRelease& slotRelease) { m_rolloutTask->observe(slot, slotRelease); };
        m_poolHomes = std::make_unique<PoolHomes>(
            PoolHomes::Options { m_settings.node, m_timers, members, isLive, sendUnchecked, onDispatchEnded, m_events });
        m_rolloutTask = std::make_unique<RolloutTask>(RolloutTask::Options { m_settings.node, m_log, &m_follower, m_poolHomes.get(),
            [this](const Message& message) { m_mesh->broadcast(message); }, m_events });
        m_upstreamMonitor = std::make_unique<UpstreamMonitor>(*m_poolHomes);
        m_orderTask = std::make_unique<OrderTask>(
            OrderTask::Options { m_settings.node, m_log, &m_follower, m_poolHomes.get(), m_settings.weightStoreAuthority, m_events });
        const auto rule = m_settings.policy == PlacementPolicy::RoundRobin ? DirectSlotProvider::Rule::RoundRobin
                                                                           : DirectSlotProvider::Rule::LeastOutstanding;
        m_directSlotProvider = std::make_unique<DirectSlotProvider>(rule, currentView);
        const auto slotProvider = m_settings.policy == PlacementPolicy::Home ? RequestHandler::AnySlotProvider(m_slotClient.get())
                                                                             : RequestHandler::AnySlotProvider(m_directSlotProvider.get());
        m_handler = std::make_unique<RequestHandler>(RequestHandler::Options { currentView,
            [this] { return m_follower.isReady() && view()->configuration->revision() > 0; }, [this] { return m_isDraining.load(); },
            slotProvider, m_claimClient.get(), &m_metrics, m_events, m_settings.silenceTimeout });
        OperatorApi::Options options;
        options.node = m_settings.node;
        options.dataCentre = m_settings.dataCentre;
        options.view = currentView;
        options.isReady = [this] { return isReady(); };
        options.isDraining = [this] { return m_isDraining.load(); };
        options.isLogReachable = [this] { return m_follower.isLogReachable(); };
        options.runningRequests = [this] { return runningRequests(); };
        options.mesh = m_mesh.get();
        options.pools = m_poolHomes.get();
        options.rollouts = m_rolloutTask.get();
        options.claims = m_claimHomes.get();
        options.metrics = &m_metrics;
        m_operatorApi = std::make_unique<OperatorApi>(options);
    }

    Result<void> startServers()
    {
        HttpServer::Options options;
        options.address = m_settings.address;
        options.port = m_settings.callerPort;
        options.maxTasks = m_settings.maxTasks;
        auto callerServer = HttpServer::create(
            options, [this](const HttpRequest& request, HttpResponder& responder) { m_handler->handle(request, responder); },
            [this](const HttpRequest&, HttpResponder& responder) { m_handler->refuseOverload(responder); });
        if (!callerServer)
            return tl::unexpected(callerServer.error());
        m_callerServer = std::move(*callerServer);
        options.port = m_settings.operatorPort;
        const auto handleOperator
            = [this](const HttpRequest& request, HttpResponder& responder) { m_operatorApi->handle(request, responder); };
        auto operatorServer = HttpServer::create(options, handleOperator, handleOperator);
        if (!operatorServer)
            return tl::unexpected(operatorServer.error());
        m_operatorServer = std::move(*operatorServer);
        m_events.write(events::started,
            "caller=" + std::to_string(callerPort()) + " node=" + std::to_string(nodePort())
                + " operator=" + std::to_string(operatorPort()));
        return {};
    }

    ControlViewPointer view() const
    {
        std::lock_guard lock(m_viewMutex);
        return m_view;
    }

    // Called for each new ledger state, on the thread that reads the log or adopts a peer's state.
    void onLedgerState(const std::shared_ptr<const LedgerState>& state)
    {
        const auto before = view();
        auto next = std::make_shared<ControlView>(ControlView { state, before->configuration });
        if (state->revision() != before->configuration->revision()) {
            const auto configuration = Configuration::create(state->document(), state->revision());
            if (configuration) {
                next->configuration = std::make_shared<Configuration>(*configuration);
                m_events.write(events::configInForce, "revision=" + std::to_string(state->revision()));
            } else {
                m_events.write(events::configInvalid,
                    "revision=" + std::to_string(state->revision()) + " findings=" + std::to_string(configuration.error().size()));
            }
        }
        {
            std::lock_guard lock(m_viewMutex);
            m_view = next;
        }
        m_rolloutTask->update(next);
        m_poolHomes->update(next);
        m_monitorNeedsUpdate = true;
    }

    struct MessageVisitor {
        Impl& node;
        const std::string& from;

        void operator()(const SlotRequest& message) const { node.m_poolHomes->onRequest(from, message); }
        void operator()(const SlotCancel& message) const { node.m_poolHomes->onCancel(from, message); }
        void operator()(const SlotRelease& message) const { node.m_poolHomes->onRelease(from, message); }
        void operator()(const SlotInUse& message) const { node.m_poolHomes->onSlotInUse(from, message); }
        void operator()(const SlotGrant& message) const { node.m_slotClient->onGrant(from, message); }
        void operator()(const SlotRefusal& message) const { node.m_slotClient->onRefusal(message); }
        void operator()(const ClaimRequest& message) const { node.m_claimHomes->onRequest(from, message); }
        void operator()(const ClaimOutcome& message) const { node.m_claimHomes->onOutcome(message); }
        void operator()(const ClaimDeclaration& message) const { node.m_claimHomes->onDeclaration(from, message); }
        void operator()(const ClaimDeclarationAck& message) const { node.m_claimHomes->onDeclarationAck(from, message); }
        void operator()(const ClaimResponse& message) const { node.m_claimClient->onResponse(message); }
        void operator()(const RolloutAlarm& message) const { node.m_rolloutTask->onAlarm(message); }
        // Only gateway nodes (libs/gateway) exchange the following messages.
        void operator()(const NodeReport&) const { }
        void operator()(const SlotQueued&) const { }
        void operator()(const StateUpdate&) const { }
        void operator()(const QuotaRequest&) const { }
        void operator()(const QuotaResponse&) const { }
        void operator()(const QuotaShareLoan&) const { }
        void operator()(const QuotaShareReturn&) const { }
        void operator()(const PromptLoss&) const { }
        void operator()(const PromptPartsQuery&) const { }
        void operator()(const PromptPartsAnswered&) const { }
        void operator()(const NoticeUpdate&) const { }
        void operator()(const PauseNotice&) const { }
        void operator()(const StateRequest&) const { node.sendState(from); }
        void operator()(const StateOffer& message) const { node.adoptState(message); }
        // Handled by the mesh itself.
        void operator()(const Hello&) const { }
        void operator()(const Heartbeat&) const { }
        void operator()(const HeartbeatAck&) const { }
    };

    void onMessage(const std::string& from, const Message& message)
    {
        if (m_isRunning)
            std::visit(MessageVisitor { *this, from }, message);
    }

    void sendState(const std::string& to)
    {
        if (!m_follower.isReady())
            return;
        std::string bytes;
        nlohmann::json::to_cbor(m_follower.state()->toJson(), bytes);
        m_mesh->send(to, StateOffer { bytes });
    }

    void adoptState(const StateOffer& offer)
    {
        try {
            const auto state = LedgerState::fromJson(nlohmann::json::from_cbor(offer.state));
            if (!state || state->nextOffset() <= m_follower.state()->nextOffset())
                return;
            m_follower.adopt(*state);
            m_events.write(events::stateFromPeer, "next=" + std::to_string(state->nextOffset()));
        } catch (const nlohmann::json::exception&) {
            m_metrics.countIncident("bad-state-offer");
        }
    }

    // Called every housekeepingInterval on the timer's thread. Must not block.
    void runHousekeeping()
    {
        const bool haveChanged = m_haveMembersChanged.exchange(false);
        if (haveChanged || m_memberNotificationsLeft > 0) {
            m_memberNotificationsLeft = haveChanged ? 2 : m_memberNotificationsLeft - 1;
            m_poolHomes->onMembersChanged();
            m_slotClient->onMembersChanged();
            m_claimClient->onMembersChanged();
            m_claimHomes->onMembersChanged();
            m_monitorNeedsUpdate = true;
        }
        if (haveChanged)
            m_events.write(events::membersChanged, "members=" + std::to_string(m_mesh->members().size()));
        requestStateIfBehind();
        reportLogReachability();
    }

    // Requests the ledger state of the peer that has applied most, if this node is not ready, can't reach the log, or has applied
    // nothing since the last call although a peer is ahead.
    void requestStateIfBehind()
    {
        const auto nextOffset = m_follower.state()->nextOffset();
        std::string newestPeer;
        int64_t newestOffset = nextOffset;
        for (const auto& peer : m_mesh->peers()) {
            if (peer.isLive && peer.ledgerNextOffset > newestOffset) {
                newestOffset = peer.ledgerNextOffset;
                newestPeer = peer.id;
            }
        }
        const bool isStalled = m_follower.isReady() && nextOffset == m_lastNextOffset && m_follower.isLogReachable();
        m_lastNextOffset = nextOffset;
        if (!newestPeer.empty() && (!m_follower.isReady() || !m_follower.isLogReachable() || isStalled))
            m_mesh->send(newestPeer, StateRequest {});
    }

    void reportLogReachability()
    {
        const bool isReachable = m_follower.isLogReachable();
        if (isReachable == m_wasLogReachable)
            return;
        m_wasLogReachable = isReachable;
        m_events.write(isReachable ? events::logReachable : events::logUnreachable);
    }

    // Runs the tasks that block on the platform's services, on a thread of its own.
    void runMaintenance()
    {
        auto nextCompaction = std::chrono::steady_clock::now() + compactionInterval;
        while (m_isRunning) {
            if (const auto vms = m_vmList.list())
                m_mesh->updateVmList(*vms);
            m_claimHomes->readStreamEndOffsets();
            const auto now = std::chrono::steady_clock::now();
            if (now >= nextCompaction) {
                nextCompaction = now + compactionInterval;
                compactIfDue();
            }
            const auto end = now + vmListInterval;
            while (m_isRunning && std::chrono::steady_clock::now() < end) {
                if (m_monitorNeedsUpdate.exchange(false))
                    m_upstreamMonitor->update(view());
                wait(maintenancePollInterval);
            }
        }
    }

    void compactIfDue()
    {
        const auto members = m_mesh->members();
        Compactor<NodeLog> compactor(m_log, m_follower);
        const bool isResponsible = selectByRendezvousHash("compaction", members) == m_settings.node;
        if (!isResponsible || !m_follower.isReady() || !compactor.isDue(m_settings.recordsBetweenSnapshots))
            return;
        const auto snapshot = compactor.compact(compactionTimeout);
        if (snapshot)
            m_events.write(events::snapshotConfirmed, "offset=" + std::to_string(*snapshot));
        else
            m_events.write(events::snapshotFailed, "reason=\"" + snapshot.error().message + "\"");
    }

    // Waits for the duration, or until stop().
    void wait(Duration duration)
    {
        std::unique_lock lock(m_waitMutex);
        m_waitChanged.wait_for(lock, duration, [this] { return !m_isRunning.load(); });
    }

    void stop()
    {
        m_isRunning = false;
        m_waitChanged.notify_all();
        m_housekeeping.reset();
        if (m_maintenance.joinable())
            m_maintenance.join();
        if (m_callerServer)
            m_callerServer->shutdown();
        if (m_operatorServer)
            m_operatorServer->shutdown();
        m_follower.stop();
        if (m_rolloutTask)
            m_rolloutTask->stop();
        if (m_orderTask)
            m_orderTask->stop();
        if (m_upstreamMonitor)
            m_upstreamMonitor->stop();
        if (m_claimHomes)
            m_claimHomes->shutdown();
        if (m_mesh)
            m_mesh->shutdown();
    }

    const Settings m_settings;
    EventLog m_events;
    Metrics m_metrics;
    std::shared_ptr<TimerService> m_timers;
    std::shared_ptr<NodeLog> m_log;
    HttpVmList m_vmList;
    LedgerFollower<NodeLog> m_follower;
    mutable std::mutex m_viewMutex;
    ControlViewPointer m_view;
    std::unique_ptr<Mesh> m_mesh;
    std::unique_ptr<SlotClient> m_slotClient;
    std::unique_ptr<DirectSlotProvider> m_directSlotProvider;
    std::unique_ptr<ClaimClient> m_claimClient;
    std::unique_ptr<ClaimHomes> m_claimHomes;
    std::unique_ptr<PoolHomes> m_poolHomes;
    std::unique_ptr<RolloutTask> m_rolloutTask;
    std::unique_ptr<UpstreamMonitor> m_upstreamMonitor;
    std::unique_ptr<OrderTask> m_orderTask;
    std::unique_ptr<RequestHandler> m_handler;
    std::unique_ptr<OperatorApi> m_operatorApi;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_operatorServer;
    std::unique_ptr<TimerService::Subscription> m_housekeeping;
    std::mutex m_waitMutex;
    std::condition_variable m_waitChanged;
    std::atomic<bool> m_isRunning = false;
    std::atomic<bool> m_isDraining = false;
    std::atomic<bool> m_haveMembersChanged = true; // Initially true: a node without peers is a member too.
    std::atomic<bool> m_monitorNeedsUpdate = false;
    int m_memberNotificationsLeft = 0;
    int64_t m_lastNextOffset = 0;
    bool m_wasLogReachable = true;
    std::thread m_maintenance;
};

Result<std::unique_ptr<Node>> Node::create(const Settings& settings)
{
    auto impl = std::make_unique<Impl>(settings);
    if (const auto result = impl->start(); !result)
        return tl::unexpected(result.error());
    return std::unique_ptr<Node>(new Node(std::move(impl)));
}

Node::Node(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Node::~Node() = default;

uint16_t Node::callerPort() const { return m_impl->callerPort(); }

uint16_t Node::nodePort() const { return m_impl->nodePort(); }

uint16_t Node::operatorPort() const { return m_impl->operatorPort(); }

bool Node::isReady() const { return m_impl->isReady(); }

int64_t Node::revision() const { return m_impl->revision(); }

std::vector<std::string> Node::members() const { return m_impl->members(); }

uint64_t Node::controlBytesSent() const { return m_impl->controlBytesSent(); }

int Node::runningRequests() const { return m_impl->runningRequests(); }

bool Node::drain() { return m_impl->drain(); }

} // namespace bronzeswitch
