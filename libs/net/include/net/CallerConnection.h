#pragma once

#include <net/Async.h>
#include <net/RequestReader.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace bronzeswitch {

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

    /** What a connection does. */
    enum class State {
        Idle, /**< It waits for the first bytes of a request. */
        Reading, /**< A request arrives. */
        Busy /**< A request has been read, or the response to an unreadable one is being written. */
    };

    /** Called with the bytes of memory that the request being read takes, whenever they change. */
    using MemoryObserver = std::function<void(std::size_t bytes)>;

    /** Reads the next request with its whole body. */
    Task<tl::expected<FullHttpRequest, ReadError>> read(const CallerLimits& limits) { return read(limits, noObserver); }

    /** Reads the next request with its whole body. @param observer must outlive the task. */
    Task<tl::expected<FullHttpRequest, ReadError>> read(const CallerLimits&, const MemoryObserver& observer);

    /** Ends the reading of a request, if there is one, with ReadError::GivenUp. It may be called by the MemoryObserver. */
    void giveUpReading();

    /** Reads what has arrived behind a request, or waits for it without a time limit. @return nothing at the end of the connection. */
    Task<std::optional<std::string>> readBytes();

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

    State state() const { return m_state; }

    /** @return the time at which the present state began. */
    TimePoint stateSince() const { return m_stateSince; }

    /** @return true while the connection waits for the first bytes of a request. */
    bool isIdle() const { return m_state == State::Idle; }

    /** @return true if the request that was read last, or could not be read, has the method HEAD: its response has no body. */
    bool isHeadMethod() const { return m_isHeadMethod; }

    /** Sends bytes as far as that is possible at once, and closes the connection. */
    void closeWith(std::string_view);

    /** Ends the wait for a request, so that the connection is closed. A request of which bytes have arrived is still handed over. */
    void closeIdle();

    /** Closes the connection. A task that waits for it sees an error and ends; a request that has arrived is not handed over. */
    void close();

    /** Closes the connection by a TCP reset, so that the caller can't take an unfinished response for a complete one. */
    void reset();

    Executor executor() { return m_stream.get_executor(); }

private:
    inline static const MemoryObserver noObserver {};

    /** Shared with the pending wait, which may end after stopWatching(). */
    struct Watch {
        std::function<void()> onDisconnect;
        bool isActive = false;
    };

    void armWatch();
    void setState(State);

    /** Waits for the first bytes of a request. @return false if the connection ended or was idle for too long. */
    Task<bool> readFirstBytes(Duration idleTimeout);

    /** Reads what has arrived, without waiting. @return number of bytes. */
    std::size_t readArrived(asio::mutable_buffer);

    /** Reads a request of which the first bytes have arrived. */
    Task<tl::expected<void, ReadError>> readWhole(RequestReader&, const CallerLimits&, const MemoryObserver&);

    /** Waits for more bytes and reads them. */
    Task<tl::expected<void, ReadError>> readMore();

    std::string_view buffered() const;

    TcpStream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<Watch> m_watch;
    bool m_hasDisconnected = false;
    State m_state = State::Idle;
    TimePoint m_stateSince;
    bool m_isHeadMethod = false;
    bool m_isReadingGivenUp = false;
    bool m_isClosingIdle = false; /**< No further request is waited for. */
    bool m_isClosed = false;
};

} // namespace bronzeswitch
