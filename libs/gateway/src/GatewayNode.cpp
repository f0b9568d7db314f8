#include <algorithm>
#include <base/Hash.h>
#include <base/HttpStatus.h>
#include <gateway/GatewayNode.h>
#include <gateway/ResourceShares.h>
#include <protocol/Messages.h>

namespace bronzeswitch {

namespace {

constexpr Duration reportInterval { 100 };
constexpr std::size_t idleReportFactor = 5; // A node without new information reports at this multiple of the interval.
constexpr std::size_t targetsPerIntervalUnit = 8; // The interval grows with the number of nodes that get a report.
constexpr std::size_t maxIntervalFactor = 5; // Two reports may be lost before a peer counts as lost.
constexpr int reportsPerPeerList = 10; // One report in so many names peers.
constexpr std::size_t peersPerReport = 24;
constexpr std::size_t peersForNewNode = 64; // All of a data centre and the delegates, so that a new node soon knows them.
constexpr Duration maintenanceInterval { 100 };
constexpr Duration connectionSweepInterval { 1000 };
constexpr Duration maxNoticedPause { 86400000 };
constexpr const char* metricsPath = "/metrics";

// Requests to the ports for peers and readiness: a line and a few fields without a body.
constexpr CallerLimits serverLimits { 8UL * 1024, 4UL * 1024, Duration(3000), Duration(15000), Duration(3000), 100 };

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

// Returns true if a report differs from the last one in more than its sequence number and elapsed times.
bool hasNewInformation(const NodeReport& report, const NodeReport& last)
{
    auto comparable = report;
    comparable.sequence = last.sequence;
    for (std::size_t index = 0; index < std::min(comparable.rollouts.size(), last.rollouts.size()); ++index)
        comparable.rollouts[index].elapsedMs = last.rollouts[index].elapsedMs;
    for (std::size_t index = 0; index < std::min(comparable.quarantines.size(), last.quarantines.size()); ++index)
        comparable.quarantines[index].remainingMs = last.quarantines[index].remainingMs;
    comparable.notices = last.notices; // Announced at once.
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
    , m_prompts(m_log)
    , m_notices(m_log)
    , m_coldUpstreams(m_log)
    , m_coldStartShares(m_options.bounds.coldStart)
    , m_context { loop.get_executor(), m_options.node, m_options.bounds, std::move(headerCodec), m_log, m_metrics, m_connectionPool,
        m_slots, m_rollouts, m_quotas, m_prompts, m_notices, m_coldUpstreams, nullptr, {}, {},
        [this] { return m_peers.isFleetKnown() ? std::optional(m_peers.knownNodeCount()) : std::nullopt; } }
    , m_peers(PeerTimeouts {})
    , m_discovery(m_peers, m_log)
    , m_stateFetcher(m_context, m_peers, m_options.dataCentre)
    , m_paths(m_context, m_peers, m_options.dataCentre)
    , m_brokenResponses(m_context)
    , m_incarnation(unixMilliseconds())
{
    m_context.paths = &m_paths;
    m_context.brokenResponses = &m_brokenResponses;
    m_context.sendToNode = [this](const std::string& address, const Message& message) { send(address, message); };
    m_context.bodyMemory = std::make_shared<BodyMemory>(BodyMemory::capacityFor(m_options.memoryBytes));
    m_context.requestMemory = std::make_shared<RequestMemory>(RequestMemory::capacityFor(m_options.memoryBytes));
    addSeeds(m_options.seeds);
}

void GatewayNode::addSeeds(const std::vector<std::string>& seeds)
{
    for (const auto& seed : seeds)
        m_peers.addAddress(seed, true, monotonicNow());
}

Result<bool> GatewayNode::listen()
{
    const auto descriptors = descriptorLimit();
    const bool isLimited = m_options.maxDescriptors > 0 && (descriptors == 0 || m_options.maxDescriptors < descriptors);
    const auto shares = ResourceShares::of(isLimited ? m_options.maxDescriptors : descriptors, m_options.memoryBytes);
    auto callerServer = CallerServer::create(m_context, m_options.callerEndpoint, shares.callers);
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
    const auto onLimit = [this](const std::string& port) {
        return [this, port](const std::string& limit) { m_context.limits.onReached(port + "-" + limit, {}, monotonicNow()); };
    };
    m_readinessServer->limitRequests(serverLimits, shares.readiness, onLimit("readiness"));
    m_peerServer->limitRequests(serverLimits, shares.peers, onLimit("peer"));
    m_peerServer->limitLargeResponses(StateFetchPolicy {}.responseLimit);
    m_peerServer->setPassOnHandler([this](std::shared_ptr<CallerConnection> connection, const FullHttpRequest& request) {
        return m_paths.passOn(std::move(connection), parsePassOnRequest(request));
    });
    const auto bound = m_peerServer->endpoint();
    auto datagrams = DatagramSocket::create(m_context.executor, { bound.address(), bound.port() });
    if (!datagrams)
        return tl::unexpected(datagrams.error());
    m_datagrams = std::move(*datagrams);
    m_peers.setOwnNode({ peerAddress(), m_options.dataCentre, m_options.capacity });
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
    m_context.confirmRouting = m_stateCallbacks.confirmRouting;
    m_slots.connect(peerAddress(),
        { [this](const std::string& pool) { return homeOf("pool/" + pool, m_peers.responsivePeers()); },
            [this](const std::string& address, const Message& message) { send(address, message); },
            [this](const std::string& address) { m_peers.suspect(address, monotonicNow()); } });
    m_quotas.connect(peerAddress(),
        { [this](const std::string& key) { return homeOf(key, m_peers.readyPeers()); },
            [this](const std::string& address, const Message& message) { send(address, message); },
            [this] { return m_peers.knownNodeCount(); }, [this] { return m_peers.liveNodeCount(); },
            [this] { return m_peers.isFleetKnown(); },
            [this](const std::string& address) { return m_peers.isSilent(address, monotonicNow()); } });
    m_prompts.connect({ [this](const Message& message) { broadcast(message); },
        [this](const std::string& address, const Message& message) { send(address, message); }, [this] { onQuarantineChange(); },
        [this] { return m_paths.lastReached(); }, [this] { return m_isDelegate; } });
    connectNotices();
    connectColdUpstreams();
    m_discovery.connect({ peerAddress(), m_options.dataCentre }, [this] { return isStoreWriter("nodes"); });
    const auto onFailure = [this](const std::string& reason) {
        m_log.write(events::taskFailed, { { "task", "status" }, { "reason", reason } });
    };
    m_callerServer->start();
    m_readinessServer->start(onFailure);
    m_peerServer->start(onFailure);
    m_datagrams->start([this](const DatagramEndpoint& from, const std::string& bytes) { receive(from, bytes); });
    startBackgroundTask("reports", sendReports());
    startBackgroundTask("house", runMaintenance());
    startBackgroundTask("fetch", m_stateFetcher.run(m_stateCallbacks.applyState, m_stateCallbacks.patchBase));
    m_log.write(events::started, { { "callers", m_options.callerEndpoint.port() }, { "peers", peerAddress() } });
}

bool GatewayNode::isReady() const { return !m_context.isDraining && m_context.routing && !m_context.directory.entries().empty(); }

bool GatewayNode::applyRouting(RoutingTablePointer table)
{
    const auto& current = m_context.routing;
    if (current && table->version() <= current->version())
        return false;
    const bool wasReady = isReady();
    auto fields = m_stateFetcher.describeCatchUp();
    fields["version"] = table->version();
    fields["before"] = current ? current->version() : 0;
    m_log.write(events::routingInForce, std::move(fields));
    m_context.routing = std::move(table);
    m_quotas.configure(*m_context.routing);
    configureSlots();
    reportNow();
    if (!wasReady && isReady())
        m_log.write(events::ready, { { "version", m_context.routing->version() } });
    return true;
}

void GatewayNode::configureSlots()
{
    if (!m_context.routing)
        return;
    m_slots.configure(*m_context.routing, m_context.directory, m_rollouts.rules(), m_context.evacuations.evacuated());
    m_slots.setRequestLimits(m_notices.requestLimits(m_context.directory));
    configureColdStart();
}

void GatewayNode::connectColdUpstreams()
{
    m_coldUpstreams.connect(
        { [this](const std::string& service) { return m_context.routing ? m_context.routing->findService(service) : nullptr; },
            [this](const UpstreamEntry& upstream, TimePoint until) { m_slots.setColdUntil(upstream.service, upstream.id, until); },
            unixMilliseconds });
}

void GatewayNode::configureColdStart()
{
    std::set<std::string> limited;
    for (const auto& service : m_context.routing->document().services) {
        if (service.coldStart.isLimited())
            limited.insert(service.name);
    }
    m_coldStartShares.retain([&](const std::string& service) { return limited.contains(service); });
    if (limited.empty())
        return;
    updateColdStartShares(monotonicNow());
    for (const auto& service : limited)
        m_slots.setColdStartRates(service, m_coldStartShares.rates(service), false);
    for (const auto& [id, entry] : m_context.directory.entries()) {
        if (limited.contains(entry.service))
            m_slots.setColdUntil(entry.service, id, m_coldUpstreams.coldUntil(id));
    }
}

void GatewayNode::updateColdStartShares(TimePoint now)
{
    if (!m_context.routing)
        return;
    for (const auto& service : m_context.routing->document().services) {
        if (!service.coldStart.isLimited())
            continue;
        const bool isHome = homeOf("pool/" + service.name, m_peers.responsivePeers()) == peerAddress();
        const FleetView fleet { m_peers.liveNodeCount(), m_peers.knownNodeCount(), m_peers.isFleetKnown() };
        const auto update = m_coldStartShares.update(service, isHome, fleet, now);
        if (!update)
            continue;
        m_log.write(events::coldStartShareChanged,
            { { "service", service.name }, { "isHome", isHome }, { "live", fleet.liveNodes }, { "known", fleet.knownNodes },
                { "isFleetKnown", fleet.isKnown }, { "coldPerSecond", update->rates.cold }, { "warmPerSecond", update->rates.warm } });
        m_slots.setColdStartRates(service.name, update->rates, update->isTakeover);
    }
}

bool GatewayNode::updateDirectory(const std::function<bool(UpstreamDirectory&)>& change, nlohmann::json cause)
{
    const bool wasReady = isReady();
    if (!change(m_context.directory))
        return false;
    cause["upstreams"] = m_context.directory.entries().size();
    cause["directoryOffset"] = directoryPosition().offset;
    m_log.write(events::upstreamsChanged, std::move(cause));
    configureSlots();
    if (!wasReady && isReady())
        m_log.write(events::ready, { { "version", m_context.routing->version() } });
    return true;
}

bool GatewayNode::applyEvacuations(const std::vector<EvacuationOrder>& orders, const std::string& source)
{
    return onEvacuationChanges(m_context.evacuations.merge(orders, source, monotonicNow()));
}

void GatewayNode::applyEvacuations(const Evacuations::CompleteRead& read)
{
    onEvacuationChanges(m_context.evacuations.onCompleteRead(read, "complete read"));
}

bool GatewayNode::onEvacuationChanges(const std::vector<EvacuationOrder>& changes)
{
    if (changes.empty())
        return false;
    for (const auto& change : changes) {
        if (change.isInForce)
            m_log.write(events::evacuationBegan, describeEvacuation(change.dataCentre));
        else
            onEvacuationEnded(change.dataCentre);
    }
    configureSlots();
    reportNow();
    return true;
}

void GatewayNode::onEvacuationEnded(const std::string& dataCentre)
{
    m_log.write(events::evacuationEnded, describeEvacuation(dataCentre));
    m_coldUpstreams.onEvacuationEnded(m_context.directory, dataCentre, monotonicNow());
}

nlohmann::json GatewayNode::describeEvacuation(const std::string& dataCentre) const
{
    const auto* state = m_context.evacuations.find(dataCentre);
    const auto& entries = m_context.directory.entries();
    const auto upstreams
        = std::count_if(entries.begin(), entries.end(), [&](const auto& item) { return item.second.dataCentre == dataCentre; });
    nlohmann::json fields { { "dataCentre", dataCentre }, { "upstreams", upstreams }, { "directoryOffset", directoryPosition().offset } };
    if (state) {
        fields["source"] = state->source;
        fields["era"] = state->order.position.era;
        fields["offset"] = state->order.position.offset;
    }
    return fields;
}

int GatewayNode::evacuatedBusyUpstreams() const
{
    const auto& entries = m_context.directory.entries();
    return static_cast<int>(std::count_if(entries.begin(), entries.end(), [this](const auto& item) {
        const auto& [id, entry] = item;
        return m_context.evacuations.isEvacuated(entry.dataCentre) && !m_slots.isIdle(entry.service, id);
    }));
}

// Strong nodes rank first: they read and pass on large state for the others.
int GatewayNode::sourceRankAmong(const std::vector<std::string>& readers) const
{
    const auto own = nodeRankKey(peerAddress(), m_options.capacity);
    return static_cast<int>(std::count_if(readers.begin(), readers.end(),
        [&](const std::string& reader) { return !m_isSourceReachable || nodeRankKey(reader, m_peers.capacityOf(reader)) < own; }));
}

void GatewayNode::announceChanges(const std::string& changes) { broadcast(StateUpdate { changes }); }

FullHttpResponse GatewayNode::handleReadinessRequest() const
{
    return isReady() ? textResponse(httpstatus::ok, "ready") : textResponse(httpstatus::serviceUnavailable, "not ready");
}

FullHttpResponse GatewayNode::handlePeerRequest(const FullHttpRequest& request)
{
    const std::string_view target(request.target().data(), request.target().size());
    if (target == StateFetcher::statePath)
        return textResponse(httpstatus::ok, m_stateCallbacks.encodeState({ true }));
    if (target.starts_with(StateFetcher::routingStatePath))
        return textResponse(httpstatus::ok, m_stateCallbacks.encodeState({ false, StateFetcher::patchBaseOf(target) }));
    if (request.target() != metricsPath)
        return textResponse(httpstatus::notFound, "");
    m_metrics.setGauge("routing-version", m_context.routing ? static_cast<double>(m_context.routing->version()) : 0);
    m_metrics.setGauge("upstreams", static_cast<double>(m_context.directory.entries().size()));
    m_metrics.setGauge("members", m_peers.liveNodeCount());
    m_metrics.setGauge("waiting", static_cast<double>(m_slots.waiting()));
    m_metrics.setGauge("running", static_cast<double>(m_slots.running()));
    m_metrics.setGauge("cold-upstreams", static_cast<double>(m_coldUpstreams.count()));
    m_metrics.setGauge("capacity-pools", static_cast<double>(m_slots.capacity().learningPools()));
    m_metrics.setGauge("capacity-limited", static_cast<double>(m_slots.capacity().limitedUpstreams()));
    m_metrics.setGauge("capacity-slots-withheld", static_cast<double>(m_slots.capacity().withheldSlots()));
    m_metrics.setGauge("quarantines", static_cast<double>(m_prompts.entries().size()));
    m_metrics.setGauge("evacuated-data-centres", static_cast<double>(m_context.evacuations.evacuated().size()));
    m_metrics.setGauge("evacuated-busy-upstreams", evacuatedBusyUpstreams());
    m_metrics.setGauge("caller-connections", static_cast<double>(m_callerServer->connectionCount()));
    m_metrics.setGauge("request-bytes", static_cast<double>(m_context.requestMemory->size()));
    m_metrics.setGauge("response-bytes", static_cast<double>(m_context.bodyMemory->size()));
    m_metrics.setGauge("log-lines-dropped", static_cast<double>(m_log.dropped()));
    return textResponse(httpstatus::ok, m_metrics.text());
}

// An exception would end the task that receives all datagrams.
void GatewayNode::receive(const DatagramEndpoint& from, const std::string& bytes)
{
    try {
        onDatagram(from, bytes);
    } catch (const std::exception& exception) {
        m_context.limits.onReached("datagram", { { "from", formatEndpoint(from) }, { "reason", exception.what() } }, monotonicNow());
    }
}

void GatewayNode::onDatagram(const DatagramEndpoint& from, const std::string& bytes)
{
    const auto sender = formatEndpoint(from);
    const auto message = decode(bytes);
    if (!message) {
        m_context.limits.onReached("datagram", { { "from", sender }, { "reason", message.error().message } }, monotonicNow());
        return;
    }
    if (const auto* update = std::get_if<StateUpdate>(&*message)) {
        m_stateCallbacks.applyChanges(update->changes);
        return;
    }
    if (const auto* update = std::get_if<NoticeUpdate>(&*message)) {
        m_notices.onPeerNotices(sender, update->notices, monotonicNow());
        m_coldUpstreams.onPeerNotices(sender, update->notices, m_context.directory, monotonicNow());
        return;
    }
    if (const auto* notice = std::get_if<PauseNotice>(&*message)) {
        const auto* upstream = m_context.directory.find(notice->upstream);
        if (upstream && upstream->startedAt == notice->startedAt)
            m_context.pauses.onRefused(*upstream, std::clamp(Duration(notice->pauseMs), Duration(0), maxNoticedPause), monotonicNow());
        return;
    }
    const auto* report = std::get_if<NodeReport>(&*message);
    if (!report) {
        if (!m_quotas.onMessage(sender, *message) && !m_prompts.onMessage(sender, *message))
            m_slots.onMessage(sender, *message);
        return;
    }
    if (m_peers.isFromLaterStart(sender, *report)) {
        m_log.write(events::membersChanged, { { "restarted", report->node }, { "members", m_peers.liveNodeCount() } });
        m_slots.onPeerLost(sender);
    }
    if (m_peers.onReport(sender, *report, monotonicNow())) {
        m_log.write(events::membersChanged, { { "found", report->node }, { "members", m_peers.liveNodeCount() } });
        auto response = makeReport();
        response.peers = m_peers.nextPeersToName(peersForNewNode, report->dataCentre);
        send(sender, response);
    }
    applyEvacuations(report->evacuations, sender);
    m_rollouts.setPeerReports(sender, report->incarnation, report->rollouts, monotonicNow());
    m_slots.setPeerSuspects(sender, report->suspects);
    m_prompts.onPeerEntries(sender, report->quarantines);
    m_notices.onPeerNotices(sender, report->notices, monotonicNow());
    if (report->hasLoads)
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

std::string GatewayNode::homeOf(const std::string& key, std::vector<std::string> delegates) const
{
    const bool isCandidate = isReady() && m_isDelegate;
    if (isCandidate || delegates.empty())
        delegates.push_back(peerAddress());
    return selectByRendezvousHash(key, m_peers.filterByCapacity(std::move(delegates), m_options.capacity));
}

NodeReport GatewayNode::makeReport()
{
    NodeReport report;
    report.node = m_options.node;
    report.dataCentre = m_options.dataCentre;
    report.incarnation = m_incarnation;
    report.sequence = ++m_sequence;
    report.isReady = isReady();
    report.isDraining = m_context.isDraining;
    report.routingVersion = m_context.routing ? m_context.routing->version() : 0;
    report.directoryPosition = directoryPosition();
    report.loads = m_slots.loads();
    report.suspects = m_slots.suspects();
    report.rollouts = m_rollouts.reports(monotonicNow());
    report.capacity = m_options.capacity;
    report.isDelegate = m_isDelegate;
    report.liveNodes = m_peers.directLiveNodeCount();
    report.knownNodes = m_peers.directNodeCount();
    report.isSourceReachable = m_isSourceReachable;
    report.registeredNodes = m_peers.registeredNodes();
    report.isRegistrar = m_discovery.isRegistrar(monotonicNow());
    report.quarantines = m_prompts.entries();
    report.evacuations = m_context.evacuations.orders();
    report.isCutOff = m_paths.isCutOff();
    if (m_isDelegate)
        report.notices = m_notices.entries(m_context.directory, monotonicNow());
    return report;
}

void GatewayNode::sendReport(NodeReport report)
{
    const auto targets = m_peers.reportTargets();
    const auto withLoads = encode(report);
    for (const auto& address : targets.withLoads)
        sendBytes(address, withLoads);
    report.hasLoads = false;
    report.loads.clear();
    report.notices.clear();
    const auto withoutLoads = encode(report);
    for (const auto& address : targets.withoutLoads)
        sendBytes(address, withoutLoads);
}

// Shows peers the version of a new routing at once, so that they can fetch it.
void GatewayNode::reportNow()
{
    if (m_datagrams)
        sendReport(makeReport());
}

Task<void> GatewayNode::sendReports()
{
    NodeReport last;
    int round = 0;
    std::size_t quietIntervals = 0; // Since the last report, in units of reportInterval.
    while (!m_isStopping) {
        updateDelegate();
        const auto intervalFactor = std::clamp(m_peers.reportTargets().size() / targetsPerIntervalUnit, std::size_t(1), maxIntervalFactor);
        const bool withPeers = round++ % reportsPerPeerList == 0;
        auto report = makeReport();
        quietIntervals += intervalFactor;
        const bool isDue = withPeers || hasNewInformation(report, last) || quietIntervals >= idleReportFactor;
        if (isDue) {
            quietIntervals = 0;
            last = report;
            report.peers = withPeers ? m_peers.nextPeersToName(peersPerReport, m_options.dataCentre) : m_peers.newDelegates();
            sendReport(std::move(report));
        }
        co_await sleepFor(m_context.executor, reportInterval * intervalFactor);
    }
}

void GatewayNode::updateDelegate()
{
    const bool wasDelegate = std::exchange(m_isDelegate, m_peers.isDelegate());
    if (wasDelegate == m_isDelegate)
        return;
    m_log.write(events::delegateChanged, { { "isDelegate", m_isDelegate }, { "known", m_peers.knownNodeCount() } });
    // Nodes of other data centres get no further report, so this one shows them that they have lost a delegate.
    if (!m_isDelegate)
        broadcast(makeReport());
}

Task<void> GatewayNode::runMaintenance()
{
    auto nextSweep = monotonicNow();
    while (!m_isStopping) {
        co_await sleepFor(m_context.executor, maintenanceInterval);
        const auto now = monotonicNow();
        const auto lost = m_peers.expire(now);
        updateDelegate();
        for (const auto& address : lost)
            m_log.write(events::membersChanged, { { "lost", address }, { "members", m_peers.liveNodeCount() } });
        for (const auto& address : lost)
            m_slots.onPeerLost(address);
        updateDirectory([&](UpstreamDirectory& directory) { return directory.expire(now); }, { { "graceOver", true } });
        advanceRollouts(now);
        updateColdStartShares(now);
        m_coldUpstreams.tick(now);
        if (auto notices = m_coldUpstreams.takeAnnouncements(now); !notices.empty())
            broadcast(NoticeUpdate { std::move(notices) });
        m_paths.tick();
        m_slots.tick();
        m_slots.visitPools([&](const std::string& name, const PoolScheduler& pool) {
            m_admissionMonitor.update(name, pool.admissionStatus(now), pool.waiting());
        });
        m_quotas.tick();
        m_prompts.tick();
        m_discovery.tick(now);
        m_writer.flush();
        if (now < nextSweep)
            continue;
        nextSweep = now + connectionSweepInterval;
        m_connectionPool.closeExpired();
        m_notices.dropExcess(m_context.directory);
        m_coldUpstreams.dropExcess(m_context.directory);
        m_context.pauses.expire(now);
    }
}

void GatewayNode::advanceRollouts(TimePoint now)
{
    const auto isLeader = [this](const std::string& service) { return isRolloutLeader(service); };
    const auto isIdle = [this](const std::string& service) { return isStableVersionIdle(service); };
    if (!m_rollouts.tick(now, m_isDelegate, isLeader, isIdle).empty())
        configureSlots();
    for (const auto& [service, rule] : m_rollouts.rules()) {
        if (rule.phase == RolloutPhase::Trial && m_peers.isFleetKnown())
            m_slots.allowCandidate(service, rule.rollout, m_rollouts.headroom(service));
    }
}

std::vector<RolloutStatus> GatewayNode::dueRolloutRecords() const
{
    return m_rollouts.dueRecords(monotonicNow(), [this](const std::string& service) { return isRolloutLeader(service); });
}

void GatewayNode::connectNotices()
{
    m_notices.connect({ [this](const std::function<bool(UpstreamDirectory&)>& change) { return updateDirectory(change); },
        [this] { m_slots.setRequestLimits(m_notices.requestLimits(m_context.directory)); },
        [this](const Message& message) { broadcast(message); }, unixMilliseconds });
}

// The delegates' reports reach all nodes.
void GatewayNode::onQuarantineChange()
{
    if (m_isDelegate)
        reportNow();
}

bool GatewayNode::isQuarantineRecordDue() const { return m_prompts.differsFromRecord() && isStoreWriter("quarantine"); }

// One of the nodes that hear each other and reach the store writes a record for all of them.
bool GatewayNode::isStoreWriter(const std::string& record) const
{
    if (!m_isSourceReachable)
        return false;
    const auto reaching = m_peers.peersReachingSource();
    auto writers = m_peers.responsivePeers();
    std::erase_if(writers, [&](const std::string& peer) { return std::find(reaching.begin(), reaching.end(), peer) == reaching.end(); });
    return homeOf("pool/" + record, std::move(writers)) == peerAddress();
}

// A node that may be one of many, but hears no other, would lead beside the others' leader.
bool GatewayNode::isRolloutLeader(const std::string& service) const
{
    return m_peers.isFleetKnown() && homeOf("pool/rollout/" + service, m_peers.responsivePeers()) == peerAddress();
}

bool GatewayNode::isStableVersionIdle(const std::string& service) const
{
    const auto rules = m_rollouts.rules();
    const auto rule = rules.find(service);
    const auto& entries = m_context.directory.entries();
    // An upstream that is idle because it is evacuated does not show that its version is out of use.
    return rule != rules.end() && std::all_of(entries.begin(), entries.end(), [&](const auto& item) {
        const auto& [id, entry] = item;
        if (entry.service != service)
            return true;
        return !m_context.evacuations.isEvacuated(entry.dataCentre)
            && (entry.version == rule->second.target || m_slots.isIdle(service, id));
    });
}

Task<void> GatewayNode::drain()
{
    m_log.write(events::stopping, { { "running", m_context.activeRequests->size() } });
    m_quotas.returnAllShares();
    co_await m_callerServer->drain();
    m_isStopping = true;
    m_stateFetcher.stop();
    m_log.write(events::stopped, { { "running", m_context.activeRequests->size() } });
    m_writer.flush();
}

} // namespace bronzeswitch
