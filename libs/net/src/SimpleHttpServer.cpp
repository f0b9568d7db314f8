#include <net/SimpleHttpServer.h>

namespace bronzeswitch {

namespace {

constexpr Duration writeTimeout { 2000 };
constexpr CallerLimits limits { 16UL * 1024, 64UL * 1024, Duration(3000), Duration(15000) };

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
{
}

void SimpleHttpServer::start(std::function<void(const std::string&)> onFailure)
{
    m_onFailure = std::move(onFailure);
    const auto onConnection = [this](std::shared_ptr<CallerConnection> connection) {
        startTask(m_acceptor.get_executor(), handleConnection(std::move(connection)), m_onFailure);
    };
    acceptConnections(m_acceptor, onConnection, [this](const std::string& reason) { m_onFailure("accept: " + reason); });
}

Task<void> SimpleHttpServer::handleConnection(std::shared_ptr<CallerConnection> connection)
{
    for (;;) {
        const auto request = co_await connection->read(limits);
        if (!request)
            co_return;
        const auto response = m_handler(*request);
        ResponseFraming framing;
        framing.length = response.body.size();
        framing.isClosing = !request->keep_alive();
        const bool isWritten
            = co_await connection->write(formatResponseHead(response.head, framing) + response.body, monotonicNow() + writeTimeout);
        if (!isWritten || framing.isClosing)
            co_return;
    }
}

} // namespace bronzeswitch
