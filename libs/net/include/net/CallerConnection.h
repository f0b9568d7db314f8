#pragma once

#include <net/Async.h>
#include <net/HttpTypes.h>

#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>

namespace bronzeswitch {

/** Limits on the size of a caller's request and on the time that the caller may take. */
struct CallerLimits {
    std::size_t maxHeadBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    Duration headTimeout { 3000 }; /**< From the first bytes of a request to the end of its head. */
    Duration idleTimeout { 15000 }; /**< Longest wait for the first bytes of a request. */

    bool operator==(const CallerLimits&) const = default;
};

/** Why no request could be read. */
enum class ReadError {
    Closed, /**< The connection was closed, failed, or idle for too long. */
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    TooSlow /**< The head or the body did not arrive in time. */
};

/**
 * Server side of one HTTP connection of a caller.
 *
 *     CallerConnection connection(std::move(socket));
 *     auto request = co_await connection.read(limits);
 *     co_await connection.write(text, deadline);
 */
class CallerConnection {
public:
    explicit CallerConnection(TcpSocket);
    ~CallerConnection();
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

    /** Reads the next request with its whole body. */
    Task<tl::expected<FullHttpRequest, ReadError>> read(const CallerLimits&);

    /** Writes bytes. @return false when the caller has disconnected or does not read in time. */
    Task<bool> write(std::string_view, TimePoint deadline);

    /** Writes a head and a body, without copying them. */
    Task<bool> write(std::string_view head, std::string_view body, TimePoint deadline);

    /**
     * Calls a function once when the caller closes or resets the connection, until stopWatching(). Data that arrives first, such
     * as a pipelined request, is not a disconnect; it ends the watch without a call.
     */
    void watchDisconnect(std::function<void()> onDisconnect);
    void stopWatching();

    /** @return true after a write failed or the watch has seen the caller disconnect. */
    bool hasDisconnected() const;

    /** @return true while the connection waits for the first bytes of a request. */
    bool isIdle() const { return m_isIdle; }

    /** Closes the connection. A task that waits for it sees an error and ends. */
    void close();

    /** Closes the connection by a TCP reset, so that the caller can't take an unfinished response for a complete one. */
    void reset();

    Executor executor() { return m_stream.get_executor(); }

private:
    /** Shared with the pending wait, which may end after stopWatching(). */
    struct Watch {
        std::function<void()> onDisconnect;
        bool isActive = false;
    };

    void armWatch();

    TcpStream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<Watch> m_watch;
    bool m_hasDisconnected = false;
    bool m_isIdle = true;
};

} // namespace bronzeswitch
