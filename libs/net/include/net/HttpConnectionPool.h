#pragma once

#include <net/UpstreamConnection.h>

#include <map>
#include <vector>

namespace bronzeswitch {

/** Limits of a connection pool. */
struct ConnectionLimits {
    Duration connectTimeout { 1000 };
    Duration idleTimeout { 4000 }; /**< Used when the server doesn't tell its own. */
    std::size_t idlePerServer = 8;

    bool operator==(const ConnectionLimits&) const = default;
};

/** How long a call may take, and how much it may return. */
struct CallLimits {
    TimePoint responseDeadline; /**< For the head of the response. */
    TimePoint deadline; /**< For the whole response. */
    Duration stallTimeout; /**< Longest time between two parts of the body. */
    std::size_t bodyBytes = 0;

    bool operator==(const CallLimits&) const = default;
};

/** A connection that can carry a request. */
struct AcquiredConnection {
    std::unique_ptr<UpstreamConnection> connection;
    bool isNew = false; /**< Opened now, rather than taken from the idle ones. */
};

/**
 * Keeps idle HTTP connections to reuse them, by server.
 *
 * A connection is not reused if it was closed, has received data without a request, or has been idle for most of the time that
 * its server allows. The pool itself never retries a request.
 */
class HttpConnectionPool {
public:
    HttpConnectionPool(Executor, ConnectionLimits);

    /**
     * Takes an idle connection or opens one.
     * @return Unavailable or Timeout when none could be opened; then nothing was sent.
     */
    Task<Result<AcquiredConnection>> acquire(asio::ip::tcp::endpoint, TimePoint deadline);

    /** Takes an idle connection. @return null if there is none. */
    std::unique_ptr<UpstreamConnection> takeIdle(const asio::ip::tcp::endpoint&);

    /** Opens a connection. @return it, or Unavailable or Timeout; nothing was sent then. */
    Task<Result<AcquiredConnection>> open(asio::ip::tcp::endpoint, TimePoint deadline);

    /** @return the time after which an attempt to open a connection is given up. */
    Duration connectTimeout() const { return m_limits.connectTimeout; }

    /** Closes the idle connections to a server. */
    void closeIdle(const asio::ip::tcp::endpoint& server) { m_idle.erase(server); }

    /** Returns a connection to the pool. One that can't be reused is closed. */
    void release(std::unique_ptr<UpstreamConnection>);

    /** Sends one request and reads the whole response. @param bodyLimit largest size of the body, in bytes. */
    Task<Result<FullHttpResponse>> call(asio::ip::tcp::endpoint, OutgoingRequest, TimePoint deadline, std::size_t bodyLimit);

    /** Does the same, with a time limit for the beginning of the response and one for its progress. */
    Task<Result<FullHttpResponse>> call(asio::ip::tcp::endpoint, OutgoingRequest, CallLimits);

    /** Closes connections that have been idle for too long. */
    void closeExpired();

    /** @return connections opened so far, including failed attempts. */
    uint64_t opened() const { return m_opened; }

private:
    bool isFresh(UpstreamConnection&) const;

    Executor m_executor;
    ConnectionLimits m_limits;
    std::map<asio::ip::tcp::endpoint, std::vector<std::unique_ptr<UpstreamConnection>>> m_idle;
    uint64_t m_opened = 0;
};

} // namespace bronzeswitch
