#include "RequestTask.h"

#include <algorithm>
#include <base/HttpStatus.h>
#include <gateway/UpstreamPaths.h>

namespace bronzeswitch {

namespace {

constexpr Duration attemptDelay { 250 }; // For a connection over the own path while another node may open one.
constexpr Duration passOnConnectTime { 200 };
constexpr Duration passOnTimeout { 300 }; // For the way to the other node and its connection.
constexpr std::size_t maxNodesAsked = 2; // For one connection.
constexpr Duration avoidanceTime { 1000 };
constexpr int maxPassedOn = 200; // Two descriptors each.
constexpr Duration refusalTimeout { 1000 };

std::string refusalText() { return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"; }

// Identifiers with other characters can't be named in a request between nodes.
bool isToken(const std::string& id)
{
    return !id.empty() && std::all_of(id.begin(), id.end(), [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '.' || character == '_';
    });
}

ConnectResult resultOf(const Result<AcquiredConnection>& connection)
{
    if (connection)
        return ConnectResult::Connected;
    return connection.error().code == ErrorCode::Timeout ? ConnectResult::TimedOut : ConnectResult::Refused;
}

} // namespace

UpstreamPaths::UpstreamPaths(GatewayContext& context, const PeerView& peers, std::string dataCentre)
    : m_context(context)
    , m_peers(peers)
    , m_dataCentre(std::move(dataCentre))
{
}

Task<Result<UpstreamPath>> UpstreamPaths::acquire(UpstreamEntry upstream, TimePoint deadline)
{
    const auto endpoint = parseEndpoint(upstream.address);
    if (!endpoint)
        co_return tl::unexpected(endpoint.error());
    auto idle = m_context.connectionPool.takeIdle(*endpoint);
    const bool isUsable = idle && !m_monitor.isSilent(monotonicNow());
    if (isUsable)
        co_return UpstreamPath { { std::move(idle), false }, "" };
    Result<UpstreamPath> path = fail(ErrorCode::Unavailable, "no path");
    const bool isDirect = m_monitor.shouldConnectDirectly(upstream.id, monotonicNow());
    if (isDirect) {
        path = co_await acquireDirectly(upstream, *endpoint, deadline);
        if (path)
            co_return path;
    }
    for (const auto& node : nodesToAsk()) {
        path = co_await acquireThrough(node, upstream, deadline);
        const bool isConclusive = path || path.error().code == ErrorCode::NotFound;
        if (isConclusive)
            co_return path;
    }
    // Without another node, the own path is the only one.
    if (!isDirect)
        co_return co_await acquireDirectly(upstream, *endpoint, deadline);
    co_return path;
}

Task<Result<UpstreamPath>> UpstreamPaths::acquireDirectly(
    const UpstreamEntry& upstream, const asio::ip::tcp::endpoint& endpoint, TimePoint deadline)
{
    const bool isAlone = nodesToAsk().empty();
    const auto time = isAlone ? m_context.connectionPool.connectTimeout() : attemptDelay;
    auto connection = co_await m_context.connectionPool.open(endpoint, std::min(deadline, monotonicNow() + time));
    m_monitor.onDirect(upstream.id, resultOf(connection), monotonicNow());
    if (!connection)
        co_return tl::unexpected(connection.error());
    co_return UpstreamPath { std::move(*connection), "" };
}

Task<Result<UpstreamPath>> UpstreamPaths::acquireThrough(const std::string& node, const UpstreamEntry& upstream, TimePoint deadline)
{
    const auto endpoint = parseEndpoint(node);
    if (!endpoint || !isToken(upstream.id))
        co_return fail(ErrorCode::Unavailable, "no path by another node");
    const auto start = monotonicNow();
    auto connection = co_await UpstreamConnection::connectThrough(
        m_context.executor, *endpoint, passOnPath + upstream.id, std::min(deadline, start + passOnTimeout));
    const auto now = monotonicNow();
    if (connection) {
        m_context.metrics.countIncident("path-by-node");
        m_monitor.onReachedByOther(upstream.id, std::chrono::ceil<Duration>(now - start), now);
        co_return UpstreamPath { { std::move(*connection), true }, node };
    }
    if (connection.error().code != ErrorCode::NotFound)
        m_avoidedUntil[node] = now + avoidanceTime;
    co_return tl::unexpected(connection.error());
}

std::vector<std::string> UpstreamPaths::nodesToAsk()
{
    const auto now = monotonicNow();
    std::erase_if(m_avoidedUntil, [&](const auto& entry) { return entry.second <= now; });
    auto nodes = m_peers.peersWithPaths();
    std::erase_if(nodes, [&](const std::string& node) { return m_avoidedUntil.contains(node); });
    std::shuffle(nodes.begin(), nodes.end(), m_random);
    std::stable_partition(nodes.begin(), nodes.end(), [&](const std::string& node) { return m_peers.dataCentreOf(node) == m_dataCentre; });
    nodes.resize(std::min(nodes.size(), maxNodesAsked));
    return nodes;
}

const char* UpstreamPaths::reasonToRefuse(const UpstreamEntry* upstream) const
{
    if (!upstream || upstream->isDraining)
        return "the upstream leaves";
    if (m_context.pauses.isPaused(*upstream, monotonicNow()))
        return "the upstream has asked for a pause";
    if (m_passedOn >= maxPassedOn)
        return "enough connections are passed on";
    if (isLost(upstream->id))
        return "the path is lost";
    return m_context.isDraining ? "this node stops" : nullptr;
}

Task<void> UpstreamPaths::passOn(std::shared_ptr<CallerConnection> connection, PassOnRequest request)
{
    const auto& target = request.target;
    const auto* upstream
        = target.starts_with(passOnPath) ? m_context.directory.find(target.substr(std::string_view(passOnPath).size())) : nullptr;
    const auto* reason = request.mark.empty() ? "no mark" : reasonToRefuse(upstream);
    const auto endpoint = upstream ? parseEndpoint(upstream->address) : Result<asio::ip::tcp::endpoint>(fail(ErrorCode::NotFound, target));
    if (reason || !endpoint) {
        m_context.metrics.countIncident("pass-on-refused");
        co_await connection->write(refusalText(), monotonicNow() + refusalTimeout);
        co_return;
    }
    ++m_passedOn;
    const auto bytes = co_await bronzeswitch::passOn(connection, *endpoint, request, monotonicNow() + passOnConnectTime);
    --m_passedOn;
    m_context.metrics.countIncident("passed-on");
    m_context.metrics.countIncident("passed-on-bytes", static_cast<int>(std::min<uint64_t>(bytes, INT32_MAX)));
}

void UpstreamPaths::tick()
{
    const auto now = monotonicNow();
    for (const auto* request : *m_context.activeRequests)
        m_monitor.onReceived(request->lastReceivedDirectly());
    m_monitor.expire(now);
    const bool isCut = isCutOff();
    if (std::exchange(m_wasCutOff, isCut) != isCut)
        m_context.log.write(isCut ? events::pathsLost : events::pathsRegained, { { "passedOn", m_passedOn } });
    if (!m_monitor.isSilent(now))
        return;
    for (auto* request : std::set(*m_context.activeRequests))
        request->endSilentDispatch();
}

} // namespace bronzeswitch
