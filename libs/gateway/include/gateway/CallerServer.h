#pragma once

#include <gateway/GatewayContext.h>
#include <net/ConnectionSet.h>

#include <memory>

namespace bronzeswitch {

/**
 * Accepts callers' connections and handles each one in a task of its own.
 *
 *     auto server = CallerServer::create(context, endpoint);
 *     (*server)->start();
 *     co_await (*server)->drain();
 */
class CallerServer {
public:
    /**
     * Starts to listen at an endpoint.
     * @param maxConnections number of open connections; 0 for any number.
     * @return the server, or Unavailable if the address can't be bound.
     */
    static Result<std::unique_ptr<CallerServer>> create(GatewayContext&, const asio::ip::tcp::endpoint&, std::size_t maxConnections = 0);

    /** Starts to accept connections. */
    void start();

    /**
     * Shuts down gracefully: marks the node as draining, goes on accepting connections until GatewayBounds::closeListenerAfter, then
     * closes idle connections and waits for running requests and for what is passed on for peers. After GatewayBounds::lastDispatchAfter,
     * requests that have not run are refused; after GatewayBounds::abandonRequestsAfter, those that still run are ended.
     */
    Task<void> drain();

    /** @return the endpoint that the server listens at, with the port that was bound. */
    asio::ip::tcp::endpoint endpoint() const;

    /** @return number of open connections. */
    std::size_t connectionCount() const { return m_connections.size(); }

private:
    CallerServer(GatewayContext&, TcpAcceptor, std::size_t maxConnections);

    void startConnection(const std::shared_ptr<CallerConnection>&);

    /** @return true while callers are connected or connections of peers are passed on. */
    bool hasWork() const;

    /** Closes connections as they become idle, until there is no more work or the time is over. */
    Task<void> closeIdleConnections(TimePoint until);
    void stopDispatching();
    void abandonRequests();
    Task<void> handleConnection(std::shared_ptr<CallerConnection>);

    /** Reads and handles the next request of a connection. @return true if the connection can carry another one. */
    Task<bool> handleRequest(CallerConnection&);
    void logLimit(const std::string& limit);
    Task<void> respondToReadProblem(CallerConnection&, ReadError);

    GatewayContext& m_context;
    TcpAcceptor m_acceptor;
    ConnectionSet m_connections;
};

} // namespace bronzeswitch
