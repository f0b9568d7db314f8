#pragma once

#include <net/Async.h>
#include <net/HttpTypes.h>

#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>

namespace bronzeswitch {

/** Bounds on what a caller may send and how long it may take. */
struct CallerBounds {
    std::size_t maxHeadBytes = 16UL * 1024;
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    Duration headTimeout { 3000 };
    Duration idleTimeout { 15000 };

    bool operator==(const CallerBounds&) const = default;
};

/** Why no request could be read. */
enum class ReadError { Closed, Malformed, HeadTooLarge, BodyTooLarge, TooSlow };

/**
 * One connection of a caller.
 *
 *     CallerConnection connection(std::move(socket));
 *     auto request = co_await connection.read(bounds);
 *     co_await connection.write(text, deadline);
 */
class CallerConnection {
public:
    explicit CallerConnection(TcpSocket);
    ~CallerConnection();
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

    /** Reads the next request, whole. */
    Task<tl::expected<FullHttpRequest, ReadError>> read(const CallerBounds&);

    /** Writes bytes. @return false when the caller has gone or does not read in time. */
    Task<bool> write(std::string_view, TimePoint deadline);

    /** Calls once when the caller leaves, until stopWatching(). Bytes of a next request are no leaving. */
    void watchDisconnect(std::function<void()> onDisconnect);
    void stopWatching();

    /** @return true after the caller closed or reset the connection. */
    bool hasDisconnected() const;

    /** @return true when nothing of a request has been read and none is being handled. */
    bool isIdle() const { return m_isIdle; }

    /** Closes the connection; a waiting task ends. */
    void close();

    /** Resets the connection, so that an unfinished answer can't be taken for a complete one. */
    void reset();

    Executor executor() { return m_stream.get_executor(); }

private:
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
