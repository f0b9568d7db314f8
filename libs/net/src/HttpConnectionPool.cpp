#include <algorithm>
#include <net/HttpConnectionPool.h>

namespace bronzeswitch {

namespace {

constexpr double usableIdleFraction = 0.6; // Of the server's idle timeout, so that no request is sent while the server closes.

} // namespace

HttpConnectionPool::HttpConnectionPool(Executor executor, ConnectionLimits limits)
    : m_executor(executor)
    , m_limits(limits)
{
}

bool HttpConnectionPool::isFresh(UpstreamConnection& connection) const
{
    const auto announced = connection.idleTimeout();
    const auto maxIdleTime
        = announced.count() > 0 ? std::chrono::duration_cast<Duration>(announced * usableIdleFraction) : m_limits.idleTimeout;
    return monotonicNow() - connection.lastUsed() < maxIdleTime && connection.isOpenAndIdle();
}

std::unique_ptr<UpstreamConnection> HttpConnectionPool::takeIdle(const asio::ip::tcp::endpoint& endpoint)
{
    auto& idle = m_idle[endpoint];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (isFresh(*connection))
            return connection;
    }
    return nullptr;
}

Task<Result<AcquiredConnection>> HttpConnectionPool::acquire(asio::ip::tcp::endpoint endpoint, TimePoint deadline)
{
    if (auto connection = takeIdle(endpoint))
        co_return AcquiredConnection { std::move(connection), false };
    co_return co_await open(std::move(endpoint), deadline);
}

Task<Result<AcquiredConnection>> HttpConnectionPool::open(asio::ip::tcp::endpoint endpoint, TimePoint deadline)
{
    ++m_opened;
    const auto connectDeadline = std::min(deadline, monotonicNow() + m_limits.connectTimeout);
    auto connection = co_await UpstreamConnection::connect(m_executor, endpoint, connectDeadline);
    if (!connection)
        co_return tl::unexpected(connection.error());
    co_return AcquiredConnection { std::move(*connection), true };
}

void HttpConnectionPool::release(std::unique_ptr<UpstreamConnection> connection)
{
    if (!connection->isReusable())
        return;
    auto& idle = m_idle[connection->endpoint()];
    if (idle.size() < m_limits.idlePerServer)
        idle.push_back(std::move(connection));
}

Task<Result<FullHttpResponse>> HttpConnectionPool::call(
    asio::ip::tcp::endpoint endpoint, OutgoingRequest request, TimePoint deadline, std::size_t bodyLimit)
{
    const auto untilDeadline = std::chrono::ceil<Duration>(deadline - monotonicNow());
    return call(std::move(endpoint), std::move(request), CallLimits { deadline, deadline, untilDeadline, bodyLimit });
}

Task<Result<FullHttpResponse>> HttpConnectionPool::call(asio::ip::tcp::endpoint endpoint, OutgoingRequest request, CallLimits limits)
{
    auto acquired = co_await acquire(endpoint, limits.responseDeadline);
    if (!acquired)
        co_return tl::unexpected(acquired.error());
    auto& connection = *acquired->connection;
    auto head = co_await connection.exchange(std::move(request), limits.responseDeadline);
    if (!head)
        co_return tl::unexpected(head.error());
    std::string body;
    for (bool isComplete = false; !isComplete;) {
        const auto more = co_await connection.readSome(body, std::min(limits.deadline, monotonicNow() + limits.stallTimeout));
        if (!more)
            co_return tl::unexpected(more.error());
        if (body.size() > limits.bodyBytes)
            co_return fail(ErrorCode::Protocol, "response body too large");
        isComplete = !*more;
    }
    release(std::move(acquired->connection));
    co_return FullHttpResponse { std::move(*head), std::move(body) };
}

void HttpConnectionPool::closeExpired()
{
    for (auto server = m_idle.begin(); server != m_idle.end();) {
        std::erase_if(server->second, [&](const auto& connection) { return !isFresh(*connection); });
        server = server->second.empty() ? m_idle.erase(server) : std::next(server);
    }
}

} // namespace bronzeswitch
