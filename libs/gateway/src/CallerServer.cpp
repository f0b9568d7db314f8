#include "CallerResponse.h"
#include "RequestTask.h"

#include <base/HttpStatus.h>
#include <gateway/CallerServer.h>
#include <gateway/UpstreamPaths.h>
#include <net/Acceptor.h>

namespace bronzeswitch {

namespace {

constexpr Duration drainPollInterval { 50 };
constexpr Duration errorResponseTimeout { 1000 };
constexpr Duration requestMemoryRetryAfter { 500 };
constexpr std::string_view refusalOfConnection
    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr Duration finalResponseTime { 300 }; // For the responses to abandoned requests.

std::optional<Problem> problemFor(ReadError problem)
{
    switch (problem) {
    case ReadError::Malformed:
        return notRunProblem(httpstatus::badRequest, "malformed", "not a request");
    case ReadError::HeadTooLarge:
        return notRunProblem(httpstatus::requestHeaderFieldsTooLarge, "head-too-large", "the head is too large");
    case ReadError::TrailersTooLarge:
        return notRunProblem(httpstatus::requestHeaderFieldsTooLarge, "trailers-too-large", "the trailers are too large");
    case ReadError::FramingTooLarge:
        return notRunProblem(httpstatus::badRequest, "framing-too-large", "the chunks have too much framing for their bytes");
    case ReadError::BodyTooLarge:
        return notRunProblem(httpstatus::payloadTooLarge, "body-too-large", "the body is too large");
    case ReadError::TooSlow:
        return notRunProblem(httpstatus::requestTimeout, "too-slow", "the request did not arrive in time");
    case ReadError::GivenUp:
        return notRunProblem(
            httpstatus::serviceUnavailable, "request-memory", "this node has no memory for the request", requestMemoryRetryAfter);
    case ReadError::Closed:
        break;
    }
    return std::nullopt;
}

} // namespace

Result<std::unique_ptr<CallerServer>> CallerServer::create(
    GatewayContext& context, const asio::ip::tcp::endpoint& endpoint, std::size_t maxConnections)
{
    auto acceptor = listenAt(context.executor, endpoint);
    if (!acceptor)
        return tl::unexpected(acceptor.error());
    return std::unique_ptr<CallerServer>(new CallerServer(context, std::move(*acceptor), maxConnections));
}

CallerServer::CallerServer(GatewayContext& context, TcpAcceptor acceptor, std::size_t maxConnections)
    : m_context(context)
    , m_acceptor(std::move(acceptor))
    , m_connections(maxConnections)
{
}

asio::ip::tcp::endpoint CallerServer::endpoint() const { return m_acceptor.local_endpoint(); }

void CallerServer::start()
{
    // The likely error is that the process has no free file descriptor; it gets some back as connections close.
    const auto onFailure = [this](const std::string& reason) {
        m_context.limits.onReached("accept", { { "reason", reason } }, monotonicNow());
    };
    acceptConnections(
        m_acceptor, [this](const std::shared_ptr<CallerConnection>& connection) { startConnection(connection); }, onFailure);
}

void CallerServer::startConnection(const std::shared_ptr<CallerConnection>& connection)
{
    const auto result = m_connections.add(connection);
    if (result != ConnectionSet::Result::Added) {
        const bool isRefused = result == ConnectionSet::Result::Refused;
        logLimit(isRefused ? "connections-refused" : "connections-closed");
        if (isRefused) {
            connection->closeWith(refusalOfConnection);
            return;
        }
    }
    startTask(m_context.executor, handleConnection(connection), [this, connection](const std::string& reason) {
        m_connections.remove(connection);
        m_context.log.write(events::taskFailed, { { "task", "caller" }, { "reason", reason } });
    });
}

Task<void> CallerServer::handleConnection(std::shared_ptr<CallerConnection> connection)
{
    // g++ 12 destroys the task early if it is awaited in the loop's condition.
    bool canReuseConnection = true;
    while (canReuseConnection)
        canReuseConnection = co_await handleRequest(*connection);
    connection->close();
    m_connections.remove(connection);
}

Task<bool> CallerServer::handleRequest(CallerConnection& connection)
{
    const auto limits = m_context.routing ? m_context.routing->document().callerLimits : CallerLimits {};
    const RequestMemory::GiveUp giveUp = [&connection] { connection.giveUpReading(); };
    RequestReservation reservation(m_context.requestMemory, giveUp);
    const CallerConnection::MemoryObserver onMemory = [&](std::size_t bytes) { reservation.setSize(bytes, monotonicNow()); };
    auto request = co_await connection.read(limits, onMemory);
    if (!request) {
        co_await respondToReadProblem(connection, request.error());
        co_return false;
    }
    reservation.setComplete();
    RequestTask task(m_context, connection, std::move(*request));
    co_return co_await task.run();
}

Task<void> CallerServer::respondToReadProblem(CallerConnection& connection, ReadError readProblem)
{
    const auto problem = problemFor(readProblem);
    if (!problem)
        co_return;
    m_context.log.write(events::requestRejected, { { "reason", problem->reason }, { "status", problem->status } });
    m_context.metrics.countRequest(0, problem->reason);
    if (readProblem != ReadError::Malformed)
        logLimit(problem->reason);
    ResponseHead head { problem->status, "", {} };
    if (problem->retryAfter)
        head.fields.set("Retry-After", formatSeconds(*problem->retryAfter));
    head.fields.set("Content-Type", "application/problem+json");
    const auto body = toJsonText(*problem);
    ResponseFraming framing;
    framing.length = body.size();
    framing.isClosing = true;
    const auto headText = formatResponseHead(head, framing);
    const std::string_view sentBody = connection.isHeadMethod() ? std::string_view() : body;
    co_await connection.write(headText, sentBody, monotonicNow() + errorResponseTimeout);
}

void CallerServer::logLimit(const std::string& limit)
{
    m_context.limits.onReached(limit,
        { { "connections", m_connections.size() }, { "running", m_context.activeRequests->size() },
            { "requestBytes", m_context.requestMemory->size() }, { "maxRequestBytes", m_context.requestMemory->capacity() } },
        monotonicNow());
}

Task<void> CallerServer::drain()
{
    const auto start = monotonicNow();
    m_context.isDraining = true;
    co_await sleepUntil(m_context.executor, start + m_context.bounds.closeListenerAfter);
    boost::system::error_code error;
    m_acceptor.close(error);
    co_await closeIdleConnections(start + m_context.bounds.lastDispatchAfter);
    stopDispatching();
    co_await closeIdleConnections(start + m_context.bounds.abandonRequestsAfter);
    if (!hasWork())
        co_return;
    m_context.log.write(events::drainTimedOut, { { "connections", m_connections.size() }, { "passedOn", m_context.paths->passedOn() } });
    abandonRequests();
    co_await closeIdleConnections(monotonicNow() + finalResponseTime);
}

bool CallerServer::hasWork() const { return !m_connections.isEmpty() || m_context.paths->passedOn() > 0; }

Task<void> CallerServer::closeIdleConnections(TimePoint until)
{
    while (hasWork() && monotonicNow() < until) {
        for (const auto& connection : std::set(m_connections.connections()))
            connection->closeIdle();
        co_await sleepFor(m_context.executor, drainPollInterval);
    }
}

void CallerServer::stopDispatching()
{
    m_context.mayDispatch = false;
    for (auto* request : std::set(*m_context.activeRequests))
        request->stopWaiting();
}

void CallerServer::abandonRequests()
{
    for (auto* request : std::set(*m_context.activeRequests))
        request->abandon();
}

} // namespace bronzeswitch
