#pragma once

#include <base/Error.h>
#include <base/TimerService.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/basic_stream.hpp>

#include <functional>
#include <string>

namespace bronzeswitch {

namespace asio = boost::asio;

using Executor = asio::io_context::executor_type;
template <typename T> using Task = asio::awaitable<T, Executor>;
using TcpStream = boost::beast::basic_stream<asio::ip::tcp, Executor>;
using TcpSocket = asio::basic_stream_socket<asio::ip::tcp, Executor>;
using TcpAcceptor = asio::basic_socket_acceptor<asio::ip::tcp, Executor>;
using SteadyTimer = asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, Executor>;

/** Completion token that suspends the task and returns the error code and the results as a tuple instead of throwing. */
inline constexpr asio::as_tuple_t<asio::use_awaitable_t<Executor>> awaitResult {};

/** @return the current time of the monotonic clock. */
TimePoint monotonicNow();

/** @return the time since boot, including time while the machine was suspended. Comparable with other results of this function only. */
TimePoint suspendAwareNow();

/** @return the wall-clock time in Unix milliseconds. For records only: never compare it with another clock. */
int64_t unixMilliseconds();

/** Suspends the calling task for a duration. */
Task<void> sleepFor(Executor, Duration);

/** Suspends the calling task until a time of the monotonic clock. */
Task<void> sleepUntil(Executor, TimePoint);

/**
 * Starts a detached task.
 * @param onFailure called with the exception's message if an exception ends the task.
 */
void startTask(Executor, Task<void>, std::function<void(const std::string& reason)> onFailure);

/**
 * One-shot event: one task waits for it, another one sets it.
 *
 *     AsyncEvent event(executor);
 *     const bool isSet = co_await event.wait(deadline);
 */
class AsyncEvent {
public:
    explicit AsyncEvent(Executor);

    /** Wakes the waiting task. A wait that starts later returns at once. */
    void set();

    bool isSet() const { return m_isSet; }

    /** Waits until the event is set. @return false if the deadline passed first. */
    Task<bool> wait(TimePoint deadline);

private:
    SteadyTimer m_timer;
    bool m_isSet = false;
};

/** Parses "address:port" with an IPv4 address. @return the endpoint, or Protocol if the text is malformed. */
Result<asio::ip::tcp::endpoint> parseEndpoint(const std::string& address);

} // namespace bronzeswitch
