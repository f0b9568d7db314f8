#include "ClaimClient.h"
#include "ControlView.h"
#include "OperatorApi.h"
#include "OrderTask.h"
#include "Placement.h"
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
constexpr Duration compactionLimit { 3000 };
constexpr Duration drainPoll { 20 };
constexpr Duration maintenancePoll { 150 };
constexpr Duration minimumAnnouncement { 600 };

} // namespace

// Owns the parts of a node in the order in which they depend on each other.
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
        makeParts();
        m_follower.subscribe([this](const auto& state) { onLedger(state); });
        m_follower.start();
        m_isRunning = true;
        m_maintenance = std::thread([this] { maintain(); });
        m_housekeeping = m_timers->subscribe(housekeepingInterval, [this] { houseKeep(); });
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
        m_pools->onMembersChanged();
        const auto start = std::chrono::steady_clock::now();
        // Peers and the balancer hear of it before the ports close.
        wait(minimumAnnouncement);
        while (runningRequests() > 0 && std::chrono::steady_clock::now() - start < m_settings.drainLimit)
            wait(drainPoll);
        m_claimHomes->giveUp();
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
        options.bounds = m_settings.mesh;
        options.selfStatus = [this] { return SelfStatus { m_follower.state()->nextOffset(), m_follower.isReady(), m_isDraining }; };
        options.onMessage = [this](const std::string& from, const Message& message) { onMessage(from, message); };
        options.onMembersChanged = [this] { m_haveMembersChanged = true; };
        auto mesh = Mesh::create(std::move(options));
        if (!mesh)
            return tl::unexpected(mesh.error());
        m_mesh = std::move(*mesh);
        return {};
    }

    void makeParts()
    {
        const auto send = [this](const std::string& node, const Message& message) { return m_mesh->send(node, message); };
        const auto sendOnly = [this](const std::string& node, const Message& message) { m_mesh->send(node, message); };
        const auto members = [this] { return m_mesh->members(); };
        const auto isLive = [this](const std::string& node) { return m_mesh->isLive(node); };
        const auto currentView = [this] { return view(); };
        m_places = std::make_unique<PlaceClient>(PlaceClient::Options { members, send });
        m_claims = std::make_unique<ClaimClient>(ClaimClient::Options { members, send, m_settings.claimPartitions });
        ClaimHomes::Options claimOptions;
        claimOptions.log = m_log;
        claimOptions.send = sendOnly;
        claimOptions.isLive = isLive;
        claimOptions.members = members;
        claimOptions.knownPeers = [this] { return m_mesh->knownPeers(); };
        claimOptions.validity = [this] { return view()->configuration->limits().claimValidity; };
        claimOptions.node = m_settings.node;
        claimOptions.timing = m_settings.claims;
        claimOptions.partitions = m_settings.claimPartitions;
        claimOptions.listLag = m_settings.listLag;
        m_claimHomes = std::make_unique<ClaimHomes>(claimOptions);
        const auto onEnded = [this](const GrantedSlot& place, const SlotRelease& done) { m_rollouts->observe(place, done); };
        m_pools
            = std::make_unique<PoolHomes>(PoolHomes::Options { m_settings.node, m_timers, members, isLive, sendOnly, onEnded, m_events });
        m_rollouts = std::make_unique<RolloutTask>(RolloutTask::Options {
            m_settings.node, m_log, &m_follower, m_pools.get(), [this](const Message& message) { m_mesh->broadcast(message); }, m_events });
        m_monitor = std::make_unique<UpstreamMonitor>(*m_pools);
        m_orders = std::make_unique<OrderTask>(
            OrderTask::Options { m_settings.node, m_log, &m_follower, m_pools.get(), m_settings.weightStoreAuthority, m_events });
        const auto rule
            = m_settings.policy == PlacementPolicy::RoundRobin ? DirectPlacer::Rule::RoundRobin : DirectPlacer::Rule::LeastOutstanding;
        m_direct = std::make_unique<DirectPlacer>(rule, currentView);
        const auto placer = m_settings.policy == PlacementPolicy::Home ? RequestHandler::AnyPlacer(m_places.get())
                                                                       : RequestHandler::AnyPlacer(m_direct.get());
        m_handler = std::make_unique<RequestHandler>(
            RequestHandler::Options { currentView, [this] { return m_follower.isReady() && view()->configuration->revision() > 0; },
                [this] { return m_isDraining.load(); }, placer, m_claims.get(), &m_metrics, m_events, m_settings.silence });
        OperatorApi::Options options;
        options.node = m_settings.node;
        options.dataCentre = m_settings.dataCentre;
        options.view = currentView;
        options.isReady = [this] { return isReady(); };
        options.isDraining = [this] { return m_isDraining.load(); };
        options.isLogReachable = [this] { return m_follower.isLogReachable(); };
        options.runningRequests = [this] { return runningRequests(); };
        options.mesh = m_mesh.get();
        options.pools = m_pools.get();
        options.rollouts = m_rollouts.get();
        options.claims = m_claimHomes.get();
        options.metrics = &m_metrics;
        m_operator = std::make_unique<OperatorApi>(options);
    }

    Result<void> startServers()
    {
        HttpServer::Options options;
        options.address = m_settings.address;
        options.port = m_settings.callerPort;
        options.maxTasks = m_settings.maxTasks;
        auto caller = HttpServer::create(
            options, [this](const HttpRequest& request, HttpResponder& responder) { m_handler->handle(request, responder); },
            [this](const HttpRequest&, HttpResponder& responder) { m_handler->refuseOverload(responder); });
        if (!caller)
            return tl::unexpected(caller.error());
        m_callerServer = std::move(*caller);
        options.port = m_settings.operatorPort;
        const auto answer = [this](const HttpRequest& request, HttpResponder& responder) { m_operator->handle(request, responder); };
        auto operators = HttpServer::create(options, answer, answer);
        if (!operators)
            return tl::unexpected(operators.error());
        m_operatorServer = std::move(*operators);
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

    // Runs on the follower's task for each new ledger state.
    void onLedger(const std::shared_ptr<const LedgerState>& state)
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
        m_rollouts->update(next);
        m_pools->update(next);
        m_monitorNeedsUpdate = true;
    }

    struct MessageVisitor {
        Impl& node;
        const std::string& from;

        void operator()(const SlotRequest& message) const { node.m_pools->onAsk(from, message); }
        void operator()(const SlotCancel& message) const { node.m_pools->onCancel(from, message); }
        void operator()(const SlotRelease& message) const { node.m_pools->onDone(from, message); }
        void operator()(const SlotInUse& message) const { node.m_pools->onHeld(from, message); }
        void operator()(const SlotGrant& message) const { node.m_places->onGrant(from, message); }
        void operator()(const SlotRefusal& message) const { node.m_places->onRefuse(message); }
        void operator()(const ClaimRequest& message) const { node.m_claimHomes->onAsk(from, message); }
        void operator()(const ClaimOutcome& message) const { node.m_claimHomes->onOutcome(message); }
        void operator()(const ClaimDeclaration& message) const { node.m_claimHomes->onDeclare(from, message); }
        void operator()(const ClaimDeclarationAck& message) const { node.m_claimHomes->onDeclareAck(from, message); }
        void operator()(const ClaimResponse& message) const { node.m_claims->onAnswer(message); }
        void operator()(const RolloutAlarm& message) const { node.m_rollouts->onAlarm(message); }
        // Sent between gateway nodes only.
        void operator()(const NodeReport&) const { }
        void operator()(const SlotQueued&) const { }
        void operator()(const StateUpdate&) const { }
        void operator()(const QuotaRequest&) const { }
        void operator()(const QuotaResponse&) const { }
        void operator()(const QuotaShareLoan&) const { }
        void operator()(const QuotaShareReturn&) const { }
        void operator()(const StateRequest&) const { node.offerState(from); }
        void operator()(const StateOffer& message) const { node.takeState(message); }
        // Links and heartbeats are the mesh's own matter.
        void operator()(const Hello&) const { }
        void operator()(const Heartbeat&) const { }
        void operator()(const HeartbeatAck&) const { }
    };

    void onMessage(const std::string& from, const Message& message)
    {
        if (m_isRunning)
            std::visit(MessageVisitor { *this, from }, message);
    }

    void offerState(const std::string& to)
    {
        if (!m_follower.isReady())
            return;
        std::string bytes;
        nlohmann::json::to_cbor(m_follower.state()->toJson(), bytes);
        m_mesh->send(to, StateOffer { bytes });
    }

    void takeState(const StateOffer& offer)
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

    // Runs often on the timer's thread and must not block.
    void houseKeep()
    {
        const bool haveChanged = m_haveMembersChanged.exchange(false);
        if (haveChanged || m_repeatsLeft > 0) {
            m_repeatsLeft = haveChanged ? 2 : m_repeatsLeft - 1;
            m_pools->onMembersChanged();
            m_places->onMembersChanged();
            m_claims->onMembersChanged();
            m_claimHomes->onMembersChanged();
            m_monitorNeedsUpdate = true;
        }
        if (haveChanged)
            m_events.write(events::membersChanged, "members=" + std::to_string(m_mesh->members().size()));
        askPeerForState();
        noteLogState();
    }

    // A node that the log can't serve, or that has fallen behind, takes the state of the peer that is furthest ahead.
    void askPeerForState()
    {
        const auto next = m_follower.state()->nextOffset();
        std::string ahead;
        int64_t furthest = next;
        for (const auto& peer : m_mesh->peers()) {
            if (peer.isLive && peer.ledgerNext > furthest) {
                furthest = peer.ledgerNext;
                ahead = peer.id;
            }
        }
        const bool isStuck = m_follower.isReady() && next == m_lastNext && m_follower.isLogReachable();
        m_lastNext = next;
        if (!ahead.empty() && (!m_follower.isReady() || !m_follower.isLogReachable() || isStuck))
            m_mesh->send(ahead, StateRequest {});
    }

    void noteLogState()
    {
        const bool isReachable = m_follower.isLogReachable();
        if (isReachable == m_wasLogReachable)
            return;
        m_wasLogReachable = isReachable;
        m_events.write(isReachable ? events::logReachable : events::logUnreachable);
    }

    // Does the slow work that talks to the platform.
    void maintain()
    {
        auto nextCompaction = std::chrono::steady_clock::now() + compactionInterval;
        while (m_isRunning) {
            if (const auto vms = m_vmList.list())
                m_mesh->update(*vms);
            m_claimHomes->noteStreamEnds();
            const auto now = std::chrono::steady_clock::now();
            if (now >= nextCompaction) {
                nextCompaction = now + compactionInterval;
                compactIfDue();
            }
            const auto end = now + vmListInterval;
            while (m_isRunning && std::chrono::steady_clock::now() < end) {
                if (m_monitorNeedsUpdate.exchange(false))
                    m_monitor->update(view());
                wait(maintenancePoll);
            }
        }
    }

    void compactIfDue()
    {
        const auto members = m_mesh->members();
        Compactor<NodeLog> compactor(m_log, m_follower);
        const bool isMine = selectByRendezvousHash("compaction", members) == m_settings.node;
        if (!isMine || !m_follower.isReady() || !compactor.isDue(m_settings.recordsBetweenSnapshots))
            return;
        const auto snapshot = compactor.compact(compactionLimit);
        if (snapshot)
            m_events.write(events::snapshotConfirmed, "offset=" + std::to_string(*snapshot));
        else
            m_events.write(events::snapshotFailed, "reason=\"" + snapshot.error().message + "\"");
    }

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
        if (m_rollouts)
            m_rollouts->stop();
        if (m_orders)
            m_orders->stop();
        if (m_monitor)
            m_monitor->stop();
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
    std::unique_ptr<PlaceClient> m_places;
    std::unique_ptr<DirectPlacer> m_direct;
    std::unique_ptr<ClaimClient> m_claims;
    std::unique_ptr<ClaimHomes> m_claimHomes;
    std::unique_ptr<PoolHomes> m_pools;
    std::unique_ptr<RolloutTask> m_rollouts;
    std::unique_ptr<UpstreamMonitor> m_monitor;
    std::unique_ptr<OrderTask> m_orders;
    std::unique_ptr<RequestHandler> m_handler;
    std::unique_ptr<OperatorApi> m_operator;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_operatorServer;
    std::unique_ptr<TimerService::Subscription> m_housekeeping;
    std::mutex m_waitMutex;
    std::condition_variable m_waitChanged;
    std::atomic<bool> m_isRunning = false;
    std::atomic<bool> m_isDraining = false;
    std::atomic<bool> m_haveMembersChanged = true; // A node that is alone has members too.
    std::atomic<bool> m_monitorNeedsUpdate = false;
    int m_repeatsLeft = 0;
    int64_t m_lastNext = 0;
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
