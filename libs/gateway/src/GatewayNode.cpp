#include <algorithm>
#include <base/Hash.h>
#include <base/HttpStatus.h>
#include <gateway/GatewayNode.h>
#include <protocol/Messages.h>

namespace bronzeswitch {

namespace {

constexpr Duration reportInterval { 100 };
constexpr int idleReportFactor = 5; // A node without new information reports at this multiple of the interval.
constexpr std::size_t nodesAtFullRate = 16; // Above this number, the interval grows with the number of nodes.
constexpr int reportsPerPeerList = 10; // One report in so many names peers.
constexpr std::size_t peersPerReport = 24;
constexpr Duration maintenanceInterval { 100 };
constexpr Duration connectionSweepInterval { 1000 };
constexpr Duration stateFetchTimeout { 1000 };
constexpr Duration directoryStaleAfter { 800 }; // Without a change of the directory's offset.
constexpr Duration stateFetchInterval { 100 };
constexpr std::size_t maxStateBytes = 16UL * 1024 * 1024;
constexpr const char* statePath = "/state";
constexpr const char* routingStatePath = "/state?routing"; // Leaves out the directory, which is much larger.
constexpr const char* metricsPath = "/metrics";

std::string formatEndpoint(const DatagramEndpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

FullHttpResponse textResponse(int status, std::string body)
{
    FullHttpResponse response { { status, "", {} }, std::move(body) };
    response.head.fields.set("Content-Type", "text/plain");
    return response;
}

// Returns true if a report differs from the last one in more than its sequence number, its list of peers, and elapsed times.
bool hasNewInformation(const NodeReport& report, const NodeReport& last)
{
    auto comparable = report;
    comparable.sequence = last.sequence;
    comparable.peers = last.peers;
    for (std::size_t index = 0; index < std::min(comparable.rollouts.size(), last.rollouts.size()); ++index)
        comparable.rollouts[index].elapsedMs = last.rollouts[index].elapsedMs;
    return comparable != last;
}

} // namespace

Result<std::unique_ptr<GatewayNode>> GatewayNode::create(
    asio::io_context& loop, GatewayOptions options, HeaderCodec headerCodec, LineWriter& writer)
{
    std::unique_ptr<GatewayNode> node(new GatewayNode(loop, std::move(options), std::move(headerCodec), writer));
    if (const auto isListening = node->listen(); !isListening)
        return tl::unexpected(isListening.error());
    return node;
}

GatewayNode::GatewayNode(asio::io_context& loop, GatewayOptions options, HeaderCodec headerCodec, LineWriter& writer)
    : m_options(std::move(options))
    , m_writer(writer)
    , m_log(m_options.node, writer, m_options.logLinesPerSecond)
    , m_connectionPool(loop.get_executor(), {})
    , m_slots(loop.get_executor(), m_options.dataCentre, m_log)
    , m_rollouts(m_options.bounds.exposure, m_log)
    , m_quotas(loop.get_executor(), m_options.bounds.quotas, m_log)
    , m_context { loop.get_executor(), m_options.node, m_options.bounds, std::move(headerCodec), m_log, m_metrics, m_connectionPool,
        m_slots, m_rollouts, m_quotas, nullptr, {}, {}, [this] { return m_peers.knownNodeCount(); } }
    , m_peers(PeerTimeouts {})
    , m_incarnation(unixMilliseconds())
{
    addSeeds(m_options.seeds);
}

void GatewayNode::addSeeds(const std::vector<std::string>& seeds)
{
    for (const auto& seed : seeds)
        m_peers.addAddress(seed, true, monotonicNow());
}

Result<bool> GatewayNode::listen()
{
    auto callerServer = CallerServer::create(m_context, m_options.callerEndpoint);
    if (!callerServer)
        return tl::unexpected(callerServer.error());
    m_callerServer = std::move(*callerServer);
    auto readinessServer = SimpleHttpServer::create(
        m_context.executor, m_options.readinessEndpoint, [this](const FullHttpRequest&) { return handleReadinessRequest(); });
    if (!readinessServer)
        return tl::unexpected(readinessServer.error());
    m_readinessServer = std::move(*readinessServer);
    auto peerServer = SimpleHttpServer::create(
        m_context.executor, m_options.peerEndpoint, [this](const FullHttpRequest& request) { return handlePeerRequest(request); });
    if (!peerServer)
        return tl::unexpected(peerServer.error());
    m_peerServer = std::move(*peerServer);
    const auto bound = m_peerServer->endpoint();
    auto datagrams = DatagramSocket::create(m_context.executor, { bound.address(), bound.port() });
    if (!datagrams)
        return tl::unexpected(datagrams.error());
    m_datagrams = std::move(*datagrams);
    m_peers.setOwnAddress(peerAddress());
    return true;
}

std::string GatewayNode::peerAddress() const { return formatEndpoint(m_datagrams->endpoint()); }

void GatewayNode::startBackgroundTask(const char* name, Task<void> task)
{
    startTask(m_context.executor, std::move(task), [this, name](const std::string& reason) {
        m_log.write(events::taskFailed, { { "task", name }, { "reason", reason } });
    });
}

void GatewayNode::start(StateCallbacks stateCallbacks)
{
    m_stateCallbacks = std::move(stateCallbacks);
    m_slots.connect(peerAddress(),
        { [this](const std::string& pool) { return homeOf("pool/" + pool, m_peers.responsivePeers()); },
            [this](const std::string& address, const Message& message) { send(address, message); },
            [this](const std::string& address) { m_peers.suspect(address, monotonicNow()); } });
    m_quotas.connect(peerAddress(),
        { [this](const std::string& key) { return homeOf(key, m_peers.readyPeers()); },
            [this](const std::string& address, const Message& message) { send(address, message); },
            [this] { return m_peers.knownNodeCount(); }, [this] { return m_peers.liveNodeCount(); } });
    const auto onFailure = [this](const std::string& reason) {
        m_log.write(events::taskFailed, { { "task", "status" }, { "reason", reason } });
    };
    m_callerServer->start();
    m_readinessServer->start(onFailure);
    m_peerServer->start(onFailure);
    m_datagrams->start([this](const DatagramEndpoint& from, const std::string& bytes) { onDatagram(from, bytes); });
    startBackgroundTask("reports", sendReports());
    startBackgroundTask("house", runMaintenance());
    startBackgroundTask("fetch", fetchPeerState());
    m_log.write(events::started, { { "callers", m_options.callerEndpoint.port() }, { "peers", peerAddress() } });
}

bool GatewayNode::isReady() const { return !m_context.isDraining && m_context.routing && !m_context.directory.entries().empty(); }

bool GatewayNode::applyRouting(RoutingTablePointer table)
{
    const auto& current = m_context.routing;
    if (current && table->version() <= current->version())
        return false;
    const bool wasReady = isReady();
    m_log.write(events::routingInForce, { { "version", table->version() }, { "before", current ? current->version() : 0 } });
    m_context.routing = std::move(table);
    m_quotas.configure(*m_context.routing);
    configureSlots();
    broadcastReport();
    if (!wasReady && isReady())
        m_log.write(events::ready, { { "version", m_context.routing->version() } });
    return true;
}

void GatewayNode::configureSlots()
{
    if (m_context.routing)
        m_slots.configure(*m_context.routing, m_context.directory, m_rollouts.rules());
}

bool GatewayNode::updateDirectory(const std::function<bool(UpstreamDirectory&)>& change)
{
    const bool wasReady = isReady();
    if (!change(m_context.directory))
        return false;
    m_log.write(events::upstreamsChanged, { { "upstreams", m_context.directory.entries().size() }, { "offset", m_directoryOffset } });
    configureSlots();
    if (!wasReady && isReady())
        m_log.write(events::ready, { { "version", m_context.routing->version() } });
    return true;
}

int GatewayNode::sourceRank() const
{
    const auto sortKey = [](const std::string& address) { return std::pair(stableHash(address), address); };
    const auto own = sortKey(peerAddress());
    const auto readers = m_peers.peersReachingSource();
    return static_cast<int>(std::count_if(
        readers.begin(), readers.end(), [&](const std::string& reader) { return !m_isSourceReachable || sortKey(reader) < own; }));
}

void GatewayNode::announceChanges(const std::string& changes) { broadcast(StateUpdate { changes }); }

FullHttpResponse GatewayNode::handleReadinessRequest() const
{
    return isReady() ? textResponse(httpstatus::ok, "ready") : textResponse(httpstatus::serviceUnavailable, "not ready");
}

FullHttpResponse GatewayNode::handlePeerRequest(const FullHttpRequest& request)
{
    if (request.target() == statePath || request.target() == routingStatePath)
        return textResponse(httpstatus::ok, m_stateCallbacks.encodeState(request.target() == statePath));
    if (request.target() != metricsPath)
        return textResponse(httpstatus::notFound, "");
    m_metrics.setGauge("routing-version", m_context.routing ? static_cast<double>(m_context.routing->version()) : 0);
    m_metrics.setGauge("upstreams", static_cast<double>(m_context.directory.entries().size()));
    m_metrics.setGauge("members", m_peers.liveNodeCount());
    m_metrics.setGauge("waiting", static_cast<double>(m_slots.waiting()));
    m_metrics.setGauge("running", static_cast<double>(m_slots.running()));
    m_metrics.setGauge("log-lines-dropped", static_cast<double>(m_log.dropped()));
    return textResponse(httpstatus::ok, m_metrics.text());
}

void GatewayNode::onDatagram(const DatagramEndpoint& from, const std::string& bytes)
{
    const auto sender = formatEndpoint(from);
    const auto message = decode(bytes);
    if (!message) {
        m_log.write(events::recordSkipped, { { "from", sender }, { "reason", message.error().message } });
        return;
    }
    if (const auto* update = std::get_if<StateUpdate>(&*message)) {
        m_stateCallbacks.applyChanges(update->changes);
        return;
    }
    const auto* report = std::get_if<NodeReport>(&*message);
    if (!report) {
        if (!m_quotas.onMessage(sender, *message))
            m_slots.onMessage(sender, *message);
        return;
    }
    if (m_peers.onReport(sender, *report, monotonicNow())) {
        m_log.write(events::membersChanged, { { "found", report->node }, { "members", m_peers.liveNodeCount() } });
        send(sender, makeReport(true));
    }
    m_rollouts.setPeerReports(sender, report->incarnation, report->rollouts, monotonicNow());
    m_slots.setPeerLoads(sender, report->loads);
}

void GatewayNode::send(const std::string& address, const Message& message) { sendBytes(address, encode(message)); }

void GatewayNode::sendBytes(const std::string& address, const std::string& bytes)
{
    const auto endpoint = parseEndpoint(address);
    if (endpoint)
        m_datagrams->send({ endpoint->address(), endpoint->port() }, bytes);
}

void GatewayNode::broadcast(const Message& message)
{
    const auto bytes = encode(message);
    for (const auto& address : m_peers.addresses())
        sendBytes(address, bytes);
}

std::string GatewayNode::homeOf(const std::string& key, std::vector<std::string> peers) const
{
    if (isReady() || peers.empty())
        peers.push_back(peerAddress());
    return selectByRendezvousHash(key, m_peers.filterByCapacity(std::move(peers), m_options.capacity));
}

NodeReport GatewayNode::makeReport(bool withPeers)
{
    NodeReport report;
    report.node = m_options.node;
    report.dataCentre = m_options.dataCentre;
    report.incarnation = m_incarnation;
    report.sequence = ++m_sequence;
    report.isReady = isReady();
    report.isDraining = m_context.isDraining;
    report.routingVersion = m_context.routing ? m_context.routing->version() : 0;
    report.directoryOffset = m_directoryOffset;
    report.loads = m_slots.loads();
    report.rollouts = m_rollouts.reports(monotonicNow());
    report.capacity = m_options.capacity;
    report.isSourceReachable = m_isSourceReachable;
    if (withPeers)
        report.peers = m_peers.nextPeersToName(peersPerReport);
    return report;
}

// Tells peers the version of a new routing at once, so that they can fetch it.
void GatewayNode::broadcastReport()
{
    if (m_datagrams)
        broadcast(makeReport(false));
}

Task<void> GatewayNode::sendReports()
{
    NodeReport last;
    int round = 0;
    int64_t quietIntervals = 0; // Since the last report, in units of reportInterval.
    while (!m_isStopping) {
        const auto intervalFactor = std::max<int64_t>(1, static_cast<int64_t>(m_peers.addresses().size() / nodesAtFullRate));
        const bool withPeers = round++ % reportsPerPeerList == 0;
        auto report = makeReport(withPeers);
        quietIntervals += intervalFactor;
        const bool isDue = withPeers || hasNewInformation(report, last) || quietIntervals >= idleReportFactor;
        if (isDue) {
            quietIntervals = 0;
            last = report;
            broadcast(report);
        }
        co_await sleepFor(m_context.executor, reportInterval * intervalFactor);
    }
}

Task<void> GatewayNode::runMaintenance()
{
    auto nextSweep = monotonicNow();
    while (!m_isStopping) {
        co_await sleepFor(m_context.executor, maintenanceInterval);
        const auto now = monotonicNow();
        const auto lost = m_peers.expire(now);
        for (const auto& address : lost)
            m_log.write(events::membersChanged, { { "lost", address }, { "members", m_peers.liveNodeCount() } });
        for (const auto& address : lost)
            m_slots.onPeerLost(address);
        updateDirectory([&](UpstreamDirectory& directory) { return directory.expire(now); });
        advanceRollouts(now);
        m_slots.tick();
        m_quotas.tick();
        m_writer.flush();
        if (now < nextSweep)
            continue;
        nextSweep = now + connectionSweepInterval;
        m_connectionPool.closeExpired();
    }
}

void GatewayNode::advanceRollouts(TimePoint now)
{
    const auto isLeader = [this](const std::string& service) { return isRolloutLeader(service); };
    const auto isIdle = [this](const std::string& service) { return isStableVersionIdle(service); };
    if (!m_rollouts.tick(now, isLeader, isIdle).empty())
        configureSlots();
    for (const auto& [service, rule] : m_rollouts.rules()) {
        if (rule.phase == RolloutPhase::Trial)
            m_slots.allowCandidate(service, rule.rollout, m_rollouts.headroom(service), m_peers.liveNodeCount());
    }
}

std::vector<RolloutStatus> GatewayNode::dueRolloutRecords() const
{
    return m_rollouts.dueRecords(monotonicNow(), [this](const std::string& service) { return isRolloutLeader(service); });
}

bool GatewayNode::isRolloutLeader(const std::string& service) const
{
    return homeOf("pool/rollout/" + service, m_peers.responsivePeers()) == peerAddress();
}

bool GatewayNode::isStableVersionIdle(const std::string& service) const
{
    const auto rules = m_rollouts.rules();
    const auto rule = rules.find(service);
    const auto& entries = m_context.directory.entries();
    return rule != rules.end() && std::all_of(entries.begin(), entries.end(), [&](const auto& item) {
        const auto& [id, entry] = item;
        return entry.service != service || entry.version == rule->second.target || m_slots.isIdle(service, id);
    });
}

// The directory changes all the time, so the source is unreachable if this node's offset stays the same while peers advance.
bool GatewayNode::findNewerPeer(std::string& address, bool& needsDirectory) const
{
    const auto version = m_context.routing ? m_context.routing->version() : 0;
    needsDirectory = m_context.directory.entries().empty();
    if (m_peers.newestRoutingPeer(version, address))
        return true;
    needsDirectory = true;
    return monotonicNow() - m_directoryOffsetChangedAt > directoryStaleAfter && m_peers.newestDirectoryPeer(m_directoryOffset, address);
}

void GatewayNode::setDirectoryOffset(int64_t offset)
{
    if (offset != m_directoryOffset)
        m_directoryOffsetChangedAt = monotonicNow();
    m_directoryOffset = offset;
}

// Fetches state from a peer that has newer state, so that a node which can't reach the source is kept up to date.
Task<void> GatewayNode::fetchPeerState()
{
    while (!m_isStopping) {
        co_await sleepFor(m_context.executor, stateFetchInterval);
        std::string address;
        bool needsDirectory = false;
        if (!findNewerPeer(address, needsDirectory))
            continue;
        const auto endpoint = parseEndpoint(address);
        if (!endpoint)
            continue;
        OutgoingRequest request;
        HttpFields fields;
        fields.set("Host", address);
        request.head = formatRequestHead("GET", needsDirectory ? statePath : routingStatePath, fields, 0);
        request.body = std::make_shared<const std::string>();
        const auto response
            = co_await m_connectionPool.call(*endpoint, std::move(request), monotonicNow() + stateFetchTimeout, maxStateBytes);
        if (!response || response->head.status != httpstatus::ok) {
            m_log.write(events::dependencyLost,
                { { "dependency", "peer " + address },
                    { "reason", response ? "status " + std::to_string(response->head.status) : response.error().message } });
            continue;
        }
        m_metrics.countIncident("state-fetched");
        m_log.write(events::stateFetched, { { "from", address }, { "bytes", response->body.size() } });
        m_stateCallbacks.applyState(response->body);
    }
}

Task<void> GatewayNode::drain()
{
    m_log.write(events::stopping, { { "running", m_context.activeRequests } });
    m_quotas.returnAllShares();
    co_await m_callerServer->drain();
    m_isStopping = true;
    m_log.write(events::stopped, { { "running", m_context.activeRequests } });
    m_writer.flush();
}

} // namespace bronzeswitch
