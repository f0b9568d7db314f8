#pragma once

#include <net/Acceptor.h>
#include <net/ConnectionSet.h>

#include <functional>
#include <memory>
#include <optional>

namespace bronzeswitch {

/** Limits how many large responses a server sends at the same time. */
struct ResponseLimit {
    std::size_t largeBytes = 0; /**< Bodies above this size are large. */
    int maxConcurrent = 0; /**< Further requests for large bodies get 503 meanwhile. */

    bool operator==(const ResponseLimit&) const = default;
};

/** HTTP server on its own port whose synchronous handler responds to short requests of operators, load balancers and peers. */
class SimpleHttpServer {
public:
    using Handler = std::function<FullHttpResponse(const FullHttpRequest&)>;

    /** Binds the port. @return the server, or Unavailable when the address can't be bound. */
    static Result<std::unique_ptr<SimpleHttpServer>> create(Executor, const asio::ip::tcp::endpoint&, Handler);

    /** Starts to accept connections. @param onFailure called with the reason of each accept error or failed connection task. */
    void start(std::function<void(const std::string&)> onFailure);

    /** Called with the name of a limit on connections or requests each time it is reached. */
    using LimitObserver = std::function<void(const std::string& limit)>;

    /** Limits what those who connect make the server hold. @param maxConnections number of connections; 0 for any number. */
    void limitRequests(const CallerLimits&, std::size_t maxConnections, LimitObserver);

    /** Limits large responses, so that many requests at once don't share a slow link until all of them time out. */
    void limitLargeResponses(const ResponseLimit& limit) { m_largeResponseLimit = limit; }

    /** Takes over a connection that asks to be passed on (CONNECT), until the task ends. */
    using PassOnHandler = std::function<Task<void>(std::shared_ptr<CallerConnection>, const FullHttpRequest&)>;

    /** Sets the handler of connections that ask to be passed on; without one, they are handled like other requests. */
    void setPassOnHandler(PassOnHandler handler) { m_passOn = std::move(handler); }

    asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

private:
    SimpleHttpServer(TcpAcceptor, Handler);
    void startConnection(const std::shared_ptr<CallerConnection>&);
    Task<void> handleConnection(std::shared_ptr<CallerConnection>);
    void onLimitReached(const char* limit);
    Task<bool> sendResponse(CallerConnection&, FullHttpResponse, bool isClosing);

    TcpAcceptor m_acceptor;
    Handler m_handler;
    CallerLimits m_limits;
    ConnectionSet m_connections;
    LimitObserver m_onLimitReached;
    std::function<void(const std::string&)> m_onFailure;
    PassOnHandler m_passOn;
    std::optional<ResponseLimit> m_largeResponseLimit;
    int m_largeResponses = 0; /**< Being sent. */
};

} // namespace bronzeswitch
