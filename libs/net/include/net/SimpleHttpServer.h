#pragma once

#include <net/Acceptor.h>

#include <functional>
#include <memory>
#include <set>

namespace bronzeswitch {

/** HTTP server on its own port whose synchronous handler responds to short requests of operators, load balancers and peers. */
class SimpleHttpServer {
public:
    using Handler = std::function<FullHttpResponse(const FullHttpRequest&)>;

    /** Binds the port. @return the server, or Unavailable when the address can't be bound. */
    static Result<std::unique_ptr<SimpleHttpServer>> create(Executor, const asio::ip::tcp::endpoint&, Handler);

    /** Starts to accept connections. @param onFailure called with the reason of each accept error or failed connection task. */
    void start(std::function<void(const std::string&)> onFailure);

    asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

private:
    SimpleHttpServer(TcpAcceptor, Handler);
    Task<void> handleConnection(std::shared_ptr<CallerConnection>);

    TcpAcceptor m_acceptor;
    Handler m_handler;
    std::function<void(const std::string&)> m_onFailure;
};

} // namespace bronzeswitch
