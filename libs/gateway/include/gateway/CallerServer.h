#pragma once

#include <gateway/GatewayContext.h>
#include <net/CallerConnection.h>

#include <memory>
#include <set>

namespace bronzeswitch {

/**
 * Accepts the connections of callers; one task for each.
 *
 *     auto server = CallerServer::create(context, endpoint);
 *     (*server)->start();
 *     co_await (*server)->drain();
 */
class CallerServer {
public:
    /** @return the server, or Unavailable when the address can't be bound. */
    static Result<std::unique_ptr<CallerServer>> create(GatewayContext&, const asio::ip::tcp::endpoint&);

    void start();

    /** Stops taking connections, lets running requests end, and closes what is idle. */
    Task<void> drain();

    asio::ip::tcp::endpoint endpoint() const;

private:
    CallerServer(GatewayContext&, TcpAcceptor);

    void take(const std::shared_ptr<CallerConnection>&);
    Task<void> serve(std::shared_ptr<CallerConnection>);
    Task<void> answerProblem(CallerConnection&, ReadError);

    GatewayContext& m_context;
    TcpAcceptor m_acceptor;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
};

} // namespace bronzeswitch
