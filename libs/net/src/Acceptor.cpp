#include <net/Acceptor.h>

namespace bronzeswitch {

namespace {

constexpr int listenBacklog = 1024;
constexpr Duration acceptRetryDelay { 50 };

Task<void> acceptAll(TcpAcceptor& acceptor, std::function<void(std::shared_ptr<CallerConnection>)> onConnection,
    std::function<void(const std::string&)> onFailure)
{
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(awaitResult);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
            co_return;
        if (error) {
            onFailure(error.message());
            co_await sleepFor(acceptor.get_executor(), acceptRetryDelay);
            continue;
        }
        onConnection(std::make_shared<CallerConnection>(std::move(socket)));
    }
}

} // namespace

Result<TcpAcceptor> listenAt(Executor executor, const asio::ip::tcp::endpoint& endpoint)
{
    TcpAcceptor acceptor(executor);
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(listenBacklog, error);
    if (error)
        return fail(ErrorCode::Unavailable, "can't listen on port " + std::to_string(endpoint.port()) + ": " + error.message());
    return acceptor;
}

void acceptConnections(TcpAcceptor& acceptor, std::function<void(std::shared_ptr<CallerConnection>)> onConnection,
    const std::function<void(const std::string&)>& onFailure)
{
    startTask(acceptor.get_executor(), acceptAll(acceptor, std::move(onConnection), onFailure), onFailure);
}

} // namespace bronzeswitch
