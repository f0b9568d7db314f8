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

/** Completion token that suspends the task and returns the error code and the results as a tuple. */
inline constexpr asio::as_tuple_t<asio::use_awaitable_t<Executor>> awaitResult {};

/** @return the monotonic time. */
TimePoint monotonicNow();

/** @return the time since the machine's start, which goes on while the machine is suspended; comparable with itself only. */
TimePoint suspendAwareNow();

/** @return the time of day in Unix milliseconds; only to be written down, never to be compared with other clocks. */
int64_t unixMilliseconds();

/** Suspends the calling task. */
Task<void> sleepFor(Executor, Duration);

/** Suspends the calling task until a time. */
Task<void> sleepUntil(Executor, TimePoint);

/**
 * Starts a task that runs on its own until it ends.
 * @param onFailure called with the reason if the task ends by an exception.
 */
void startTask(Executor, Task<void>, std::function<void(const std::string& reason)> onFailure);

/**
 * Lets one task wait for something that another one announces.
 *
 *     AsyncEvent event(executor);
 *     const bool isSet = co_await event.wait(deadline);
 */
class AsyncEvent {
public:
    explicit AsyncEvent(Executor);

    /** Wakes the waiting task; a wait that starts later returns at once. */
    void set();

    bool isSet() const { return m_isSet; }

    /** @return true once set, false when the time passed first. */
    Task<bool> wait(TimePoint until);

private:
    SteadyTimer m_timer;
    bool m_isSet = false;
};

/** Reads "address:port" with an IP number. @return Protocol if it is none. */
Result<asio::ip::tcp::endpoint> parseEndpoint(const std::string& address);

} // namespace bronzeswitch
