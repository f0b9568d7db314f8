#include <base/HttpStatus.h>
#include <net/SimpleHttpServer.h>

namespace bronzeswitch {

namespace {

constexpr Duration writeTimeout { 2000 };
constexpr CallerLimits defaultLimits { 16UL * 1024, 64UL * 1024 };

} // namespace

Result<std::unique_ptr<SimpleHttpServer>> SimpleHttpServer::create(
    Executor executor, const asio::ip::tcp::endpoint& endpoint, Handler handler)
{
    auto acceptor = listenAt(executor, endpoint);
    if (!acceptor)
        return tl::unexpected(acceptor.error());
    return std::unique_ptr<SimpleHttpServer>(new SimpleHttpServer(std::move(*acceptor), std::move(handler)));
}

SimpleHttpServer::SimpleHttpServer(TcpAcceptor acceptor, Handler handler)
    : m_acceptor(std::move(acceptor))
    , m_handler(std::move(handler))
    , m_limits(defaultLimits)
{
}

void SimpleHttpServer::limitRequests(const CallerLimits& limits, std::size_t maxConnections, LimitObserver onLimitReached)
{
    m_limits = limits;
    m_connections.setLimit(maxConnections);
    m_onLimitReached = std::move(onLimitReached);
}

void SimpleHttpServer::onLimitReached(const char* limit)
{
    if (m_onLimitReached)
        m_onLimitReached(limit);
}

void SimpleHttpServer::start(std::function<void(const std::string&)> onFailure)
{
    m_onFailure = std::move(onFailure);
    acceptConnections(
        m_acceptor, [this](const std::shared_ptr<CallerConnection>& connection) { startConnection(connection); },
        [this](const std::string& reason) { m_onFailure("accept: " + reason); });
}

void SimpleHttpServer::startConnection(const std::shared_ptr<CallerConnection>& connection)
{
    const auto result = m_connections.add(connection);
    if (result != ConnectionSet::Result::Added)
        onLimitReached("connections");
    if (result == ConnectionSet::Result::Refused)
        return;
    startTask(m_acceptor.get_executor(), handleConnection(connection), [this, connection](const std::string& reason) {
        m_connections.remove(connection);
        m_onFailure(reason);
    });
}

Task<void> SimpleHttpServer::handleConnection(std::shared_ptr<CallerConnection> connection)
{
    bool isOpen = true;
    while (isOpen) {
        const auto request = co_await connection->read(m_limits);
        if (!request) {
            if (request.error() != ReadError::Closed)
                onLimitReached("request");
            break;
        }
        if (m_passOn && request->method() == boost::beast::http::verb::connect) {
            co_await m_passOn(connection, *request);
            break;
        }
        const bool isClosing = !request->keep_alive();
        isOpen = co_await sendResponse(*connection, m_handler(*request), isClosing) && !isClosing;
    }
    connection->close();
    m_connections.remove(connection);
}

Task<bool> SimpleHttpServer::sendResponse(CallerConnection& connection, FullHttpResponse response, bool isClosing)
{
    const bool isLarge = m_largeResponseLimit && response.body.size() > m_largeResponseLimit->largeBytes;
    const bool isRefused = isLarge && m_largeResponses >= m_largeResponseLimit->maxConcurrent;
    if (isRefused)
        response = { { httpstatus::serviceUnavailable, "", {} }, "" };
    const int counted = isLarge && !isRefused ? 1 : 0;
    ResponseFraming framing;
    framing.length = response.body.size();
    framing.isClosing = isClosing;
    m_largeResponses += counted;
    const std::string_view body = connection.isHeadMethod() ? std::string_view() : response.body;
    const auto head = formatResponseHead(response.head, framing);
    const bool isWritten = co_await connection.write(head, body, monotonicNow() + writeTimeout);
    m_largeResponses -= counted;
    co_return isWritten;
}

} // namespace bronzeswitch
