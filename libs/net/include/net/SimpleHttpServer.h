#pragma once

#include <net/Acceptor.h>

#include <functional>
#include <memory>
#include <set>

namespace bronzeswitch {

/** Answers short requests of operators, balancers and peers on a port of its own. */
class SimpleHttpServer {
public:
    using Handler = std::function<FullHttpResponse(const FullHttpRequest&)>;

    /** @return the server, or Unavailable when the address can't be bound. */
    static Result<std::unique_ptr<SimpleHttpServer>> create(Executor, const asio::ip::tcp::endpoint&, Handler);

    /** Starts to take connections. @param onFailure called with the reason when a task ends unexpectedly. */
    void start(std::function<void(const std::string&)> onFailure);

    asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

private:
    SimpleHttpServer(TcpAcceptor, Handler);
    Task<void> serve(std::shared_ptr<CallerConnection>);

    TcpAcceptor m_acceptor;
    Handler m_handler;
    std::function<void(const std::string&)> m_onFailure;
};

} // namespace bronzeswitch
