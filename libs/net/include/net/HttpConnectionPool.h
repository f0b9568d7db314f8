#pragma once

#include <net/UpstreamConnection.h>

#include <map>
#include <vector>

namespace bronzeswitch {

/** How long connections stay idle and how long a new one may take. */
struct ConnectionBounds {
    Duration connectTimeout { 1000 };
    Duration idleTimeout { 4000 }; /**< Used when the server doesn't tell its own. */
    std::size_t idlePerServer = 8;

    bool operator==(const ConnectionBounds&) const = default;
};

/** A connection that is ready for a request. */
struct AcquiredConnection {
    std::unique_ptr<UpstreamConnection> connection;
    bool isNew = false;
};

/**
 * Idle connections by server.
 *
 * A connection that was closed, spoke unasked or has been idle for most of the time that its server allows is not
 * handed out again. Nothing is ever sent twice by the pool itself.
 */
class HttpConnectionPool {
public:
    HttpConnectionPool(Executor, ConnectionBounds);

    /**
     * Takes an idle connection or opens one.
     * @return Unavailable or Timeout when none could be opened; then nothing was sent.
     */
    Task<Result<AcquiredConnection>> acquire(asio::ip::tcp::endpoint, TimePoint deadline);

    /** Gives a connection back; one that can't be used again is closed. */
    void release(std::unique_ptr<UpstreamConnection>);

    /** Sends one request and reads the whole answer. */
    Task<Result<FullHttpResponse>> call(asio::ip::tcp::endpoint, OutgoingRequest, TimePoint deadline, std::size_t bodyLimit);

    /** Closes connections that have been idle for too long. */
    void closeExpired();

    /** @return connections opened so far. */
    uint64_t opened() const { return m_opened; }

private:
    bool isFresh(UpstreamConnection&) const;

    Executor m_executor;
    ConnectionBounds m_bounds;
    std::map<asio::ip::tcp::endpoint, std::vector<std::unique_ptr<UpstreamConnection>>> m_idle;
    uint64_t m_opened = 0;
};

} // namespace bronzeswitch
