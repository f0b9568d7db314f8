#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <ctime>
#include <exception>
#include <net/Async.h>

namespace bronzeswitch {

TimePoint monotonicNow() { return std::chrono::steady_clock::now(); }

TimePoint suspendAwareNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Task<void> sleepFor(Executor executor, Duration duration) { return sleepUntil(executor, monotonicNow() + duration); }

Task<void> sleepUntil(Executor executor, TimePoint time)
{
    SteadyTimer timer(executor, time);
    co_await timer.async_wait(awaitResult);
}

void startTask(Executor executor, Task<void> task, std::function<void(const std::string&)> onFailure)
{
    asio::co_spawn(executor, std::move(task), [onFailure = std::move(onFailure)](const std::exception_ptr& thrown) {
        if (!thrown)
            return;
        try {
            std::rethrow_exception(thrown);
        } catch (const std::exception& exception) {
            onFailure(exception.what());
        }
    });
}

AsyncEvent::AsyncEvent(Executor executor)
    : m_timer(executor)
{
}

void AsyncEvent::set()
{
    m_isSet = true;
    m_timer.cancel();
}

Task<bool> AsyncEvent::wait(TimePoint deadline)
{
    if (m_isSet)
        co_return true;
    m_timer.expires_at(deadline);
    co_await m_timer.async_wait(awaitResult);
    co_return m_isSet;
}

Result<asio::ip::tcp::endpoint> parseEndpoint(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return fail(ErrorCode::Protocol, "no port in address '" + address + "'");
    boost::system::error_code error;
    const auto ip = asio::ip::make_address_v4(address.substr(0, colon), error);
    uint16_t port = 0;
    const auto* end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end || !port)
        return fail(ErrorCode::Protocol, "invalid IPv4 address or port in '" + address + "'");
    return asio::ip::tcp::endpoint(ip, port);
}

} // namespace bronzeswitch
