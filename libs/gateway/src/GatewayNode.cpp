#include <algorithm>
#include <base/Hash.h>
#include <base/HttpStatus.h>
#include <gateway/GatewayNode.h>
#include <protocol/Messages.h>

namespace bronzeswitch {

namespace {

constexpr Duration reportInterval { 100 };
constexpr int idleReportFactor = 5; // A node whose load has not changed reports at this multiple of the interval.
constexpr std::size_t nodesAtFullRate = 16; // With more nodes, each reports less often.
constexpr int wholeEvery = 10; // Reports from a whole one to the next.
constexpr std::size_t peersNamed = 24;
constexpr Duration houseInterval { 100 };
constexpr Duration clientSweepInterval { 1000 };
constexpr Duration fetchTime { 1000 };
constexpr Duration directoryRest { 800 };
constexpr Duration fetchPause { 100 };
constexpr std::size_t maxStateBytes = 16UL * 1024 * 1024;
constexpr const char* statePath = "/state";
constexpr const char* routingStatePath = "/state?routing"; // Without the directory, which is much larger.
constexpr const char* metricsPath = "/metrics";

std::string text(const DatagramEndpoint& endpoint) { return endpoint.address().to_string() + ":" + std::to_string(endpoint.port()); }

WholeAnswer plainAnswer(int status, std::string body)
{
    WholeAnswer answer { { status, "", {} }, std::move(body) };
    answer.head.fields.set("Content-Type", "text/plain");
    return answer;
}

// Whether a report tells peers more than the last one; times that go on by themselves don't count.
bool saysMore(const NodeReport& report, const NodeReport& last)
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
    asio::io_context& loop, GatewayOptions options, WireDialect dialect, LineWriter& writer)
{
    std::unique_ptr<GatewayNode> node(new GatewayNode(loop, std::move(options), std::move(dialect), writer));
    if (const auto isListening = node->listen(); !isListening)
        return tl::unexpected(isListening.error());
    return node;
}

GatewayNode::GatewayNode(asio::io_context& loop, GatewayOptions options, WireDialect dialect, LineWriter& writer)
    : m_options(std::move(options))
    , m_writer(writer)
    , m_log(m_options.node, writer, m_options.logLinesPerSecond)
    , m_clients(loop.get_executor(), {})
    , m_places(loop.get_executor(), m_options.dataCentre, m_log)
    , m_rollouts(m_options.bounds.exposure, m_log)
    , m_quotas(loop.get_executor(), m_options.bounds.quotas, m_log)
    , m_context { loop.get_executor(), m_options.node, m_options.bounds, std::move(dialect), m_log, m_metrics, m_clients, m_places,
        m_rollouts, m_quotas, nullptr, {}, {}, [this] { return m_peers.knownNodeCount(); } }
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
    auto callers = CallerServer::create(m_context, m_options.callers);
    if (!callers)
        return tl::unexpected(callers.error());
    m_callers = std::move(*callers);
    auto readiness
        = StatusServer::create(m_context.executor, m_options.readiness, [this](const WholeRequest&) { return answerReadiness(); });
    if (!readiness)
        return tl::unexpected(readiness.error());
    m_readiness = std::move(*readiness);
    auto peers
        = StatusServer::create(m_context.executor, m_options.peers, [this](const WholeRequest& request) { return answerPeer(request); });
    if (!peers)
        return tl::unexpected(peers.error());
    m_peerServer = std::move(*peers);
    const auto bound = m_peerServer->endpoint();
    auto datagrams = DatagramSocket::create(m_context.executor, { bound.address(), bound.port() });
    if (!datagrams)
        return tl::unexpected(datagrams.error());
    m_datagrams = std::move(*datagrams);
    m_peers.setOwnAddress(peerAddress());
    return true;
}

std::string GatewayNode::peerAddress() const { return text(m_datagrams->endpoint()); }

void GatewayNode::run(const char* name, Task<void> task)
{
    startTask(m_context.executor, std::move(task), [this, name](const std::string& reason) {
        m_log.write(events::taskFailed, { { "task", name }, { "reason", reason } });
    });
}

void GatewayNode::start(StateSource source)
{
    m_source = std::move(source);
    m_places.connect(peerAddress(),
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
    m_callers->start();
    m_readiness->start(onFailure);
    m_peerServer->start(onFailure);
    m_datagrams->start([this](const DatagramEndpoint& from, const std::string& bytes) { onDatagram(from, bytes); });
    run("reports", sendReports());
    run("house", keepHouse());
    run("fetch", fetchState());
    m_log.write(events::started, { { "callers", m_options.callers.port() }, { "peers", peerAddress() } });
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
    configurePlaces();
    reportNow();
    if (!wasReady && isReady())
        m_log.write(events::ready, { { "version", m_context.routing->version() } });
    return true;
}

void GatewayNode::configurePlaces()
{
    if (m_context.routing)
        m_places.configure(*m_context.routing, m_context.directory, m_rollouts.rules());
}

bool GatewayNode::changeDirectory(const std::function<bool(UpstreamDirectory&)>& change)
{
    const bool wasReady = isReady();
    if (!change(m_context.directory))
        return false;
    m_log.write(events::upstreamsChanged, { { "upstreams", m_context.directory.entries().size() }, { "offset", m_directoryOffset } });
    configurePlaces();
    if (!wasReady && isReady())
        m_log.write(events::ready, { { "version", m_context.routing->version() } });
    return true;
}

int GatewayNode::sourceRank() const
{
    const auto weight = [](const std::string& address) { return std::pair(stableHash(address), address); };
    const auto own = weight(peerAddress());
    const auto readers = m_peers.peersReachingSource();
    return static_cast<int>(std::count_if(
        readers.begin(), readers.end(), [&](const std::string& reader) { return !m_isSourceReached || weight(reader) < own; }));
}

void GatewayNode::announce(const std::string& changes) { sendToAll(StateUpdate { changes }); }

WholeAnswer GatewayNode::answerReadiness() const
{
    return isReady() ? plainAnswer(httpstatus::ok, "ready") : plainAnswer(httpstatus::serviceUnavailable, "not ready");
}

WholeAnswer GatewayNode::answerPeer(const WholeRequest& request)
{
    if (request.target() == statePath || request.target() == routingStatePath)
        return plainAnswer(httpstatus::ok, m_source.encode(request.target() == statePath));
    if (request.target() != metricsPath)
        return plainAnswer(httpstatus::notFound, "");
    m_metrics.setGauge("routing-version", m_context.routing ? static_cast<double>(m_context.routing->version()) : 0);
    m_metrics.setGauge("upstreams", static_cast<double>(m_context.directory.entries().size()));
    m_metrics.setGauge("members", m_peers.liveNodeCount());
    m_metrics.setGauge("waiting", static_cast<double>(m_places.waiting()));
    m_metrics.setGauge("running", static_cast<double>(m_places.running()));
    m_metrics.setGauge("log-lines-dropped", static_cast<double>(m_log.dropped()));
    return plainAnswer(httpstatus::ok, m_metrics.text());
}

void GatewayNode::onDatagram(const DatagramEndpoint& from, const std::string& bytes)
{
    const auto sender = text(from);
    const auto message = decode(bytes);
    if (!message) {
        m_log.write(events::recordSkipped, { { "from", sender }, { "reason", message.error().message } });
        return;
    }
    if (const auto* news = std::get_if<StateUpdate>(&*message)) {
        m_source.takeNews(news->changes);
        return;
    }
    const auto* report = std::get_if<NodeReport>(&*message);
    if (!report) {
        if (!m_quotas.onMessage(sender, *message))
            m_places.onMessage(sender, *message);
        return;
    }
    if (m_peers.onReport(sender, *report, monotonicNow())) {
        m_log.write(events::membersChanged, { { "found", report->node }, { "members", m_peers.liveNodeCount() } });
        send(sender, makeReport(true));
    }
    m_rollouts.setPeerReports(sender, report->incarnation, report->rollouts, monotonicNow());
    m_places.setPeerLoads(sender, report->loads);
}

void GatewayNode::send(const std::string& address, const Message& message) { sendBytes(address, encode(message)); }

void GatewayNode::sendBytes(const std::string& address, const std::string& bytes)
{
    const auto endpoint = parseEndpoint(address);
    if (endpoint)
        m_datagrams->send({ endpoint->address(), endpoint->port() }, bytes);
}

void GatewayNode::sendToAll(const Message& message)
{
    const auto bytes = encode(message);
    for (const auto& address : m_peers.addresses())
        sendBytes(address, bytes);
}

std::string GatewayNode::homeOf(const std::string& key, std::vector<std::string> peers) const
{
    if (isReady() || peers.empty())
        peers.push_back(peerAddress());
    return rendezvous(key, m_peers.filterByCapacity(std::move(peers), m_options.capacity));
}

NodeReport GatewayNode::makeReport(bool isWhole)
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
    report.loads = m_places.loads();
    report.rollouts = m_rollouts.reports(monotonicNow());
    report.capacity = m_options.capacity;
    report.isSourceReached = m_isSourceReached;
    if (isWhole)
        report.peers = m_peers.nextPeersToName(peersNamed);
    return report;
}

// A new routing is known to all as soon as one node has it.
void GatewayNode::reportNow()
{
    if (m_datagrams)
        sendToAll(makeReport(false));
}

Task<void> GatewayNode::sendReports()
{
    NodeReport last;
    int round = 0;
    int64_t quiet = 0; // In intervals of a small crowd.
    while (!m_isStopping) {
        const auto crowd = std::max<int64_t>(1, static_cast<int64_t>(m_peers.addresses().size() / nodesAtFullRate));
        const bool isWhole = round++ % wholeEvery == 0;
        auto report = makeReport(isWhole);
        quiet += crowd;
        const bool isDue = isWhole || saysMore(report, last) || quiet >= idleReportFactor;
        if (isDue) {
            quiet = 0;
            last = report;
            sendToAll(report);
        }
        co_await sleepFor(m_context.executor, reportInterval * crowd);
    }
}

Task<void> GatewayNode::keepHouse()
{
    auto nextSweep = monotonicNow();
    while (!m_isStopping) {
        co_await sleepFor(m_context.executor, houseInterval);
        const auto now = monotonicNow();
        const auto lost = m_peers.expire(now);
        for (const auto& address : lost)
            m_log.write(events::membersChanged, { { "lost", address }, { "members", m_peers.liveNodeCount() } });
        for (const auto& address : lost)
            m_places.onPeerLost(address);
        changeDirectory([&](UpstreamDirectory& directory) { return directory.expire(now); });
        advanceRollouts(now);
        m_places.tick();
        m_quotas.tick();
        m_writer.flush();
        if (now < nextSweep)
            continue;
        nextSweep = now + clientSweepInterval;
        m_clients.closeExpired();
    }
}

void GatewayNode::advanceRollouts(TimePoint now)
{
    const auto isLeader = [this](const std::string& service) { return isRolloutLeader(service); };
    const auto isIdle = [this](const std::string& service) { return isOldVersionIdle(service); };
    if (!m_rollouts.tick(now, isLeader, isIdle).empty())
        configurePlaces();
    for (const auto& [service, rule] : m_rollouts.rules()) {
        if (rule.phase == RolloutPhase::Trial)
            m_places.allowCandidate(service, rule.rollout, m_rollouts.headroom(service), m_peers.liveNodeCount());
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

bool GatewayNode::isOldVersionIdle(const std::string& service) const
{
    const auto rules = m_rollouts.rules();
    const auto rule = rules.find(service);
    const auto& entries = m_context.directory.entries();
    return rule != rules.end() && std::all_of(entries.begin(), entries.end(), [&](const auto& item) {
        const auto& [id, entry] = item;
        return entry.service != service || entry.version == rule->second.target || m_places.isIdle(service, id);
    });
}

// The directory changes all the time, so an offset that rests while peers go on shows that its source is out of reach.
bool GatewayNode::isBehind(std::string& address, bool& isDirectoryBehind) const
{
    const auto version = m_context.routing ? m_context.routing->version() : 0;
    isDirectoryBehind = m_context.directory.entries().empty();
    if (m_peers.newestRoutingPeer(version, address))
        return true;
    isDirectoryBehind = true;
    return monotonicNow() - m_directoryMoved > directoryRest && m_peers.newestDirectoryPeer(m_directoryOffset, address);
}

void GatewayNode::setDirectoryOffset(int64_t offset)
{
    if (offset != m_directoryOffset)
        m_directoryMoved = monotonicNow();
    m_directoryOffset = offset;
}

// Takes state from a peer that is ahead, so that a node which the source turns away follows all the same.
Task<void> GatewayNode::fetchState()
{
    while (!m_isStopping) {
        co_await sleepFor(m_context.executor, fetchPause);
        std::string address;
        bool isDirectoryBehind = false;
        if (!isBehind(address, isDirectoryBehind))
            continue;
        const auto endpoint = parseEndpoint(address);
        if (!endpoint)
            continue;
        OutgoingRequest request;
        HttpFields fields;
        fields.set("Host", address);
        request.head = formatRequestHead("GET", isDirectoryBehind ? statePath : routingStatePath, fields, 0);
        request.body = std::make_shared<const std::string>();
        const auto answer = co_await m_clients.call(*endpoint, std::move(request), monotonicNow() + fetchTime, maxStateBytes);
        if (!answer || answer->head.status != httpstatus::ok) {
            m_log.write(events::dependencyLost,
                { { "dependency", "peer " + address },
                    { "reason", answer ? "status " + std::to_string(answer->head.status) : answer.error().message } });
            continue;
        }
        m_metrics.countIncident("state-fetched");
        m_log.write(events::stateFetched, { { "from", address }, { "bytes", answer->body.size() } });
        m_source.take(answer->body);
    }
}

Task<void> GatewayNode::drain()
{
    m_log.write(events::stopping, { { "running", m_context.activeRequests } });
    m_quotas.returnAllShares();
    co_await m_callers->drain();
    m_isStopping = true;
    m_log.write(events::stopped, { { "running", m_context.activeRequests } });
    m_writer.flush();
}

} // namespace bronzeswitch
