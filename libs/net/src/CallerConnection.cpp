#include "SocketOptions.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <net/CallerConnection.h>

namespace bronzeswitch {

namespace {

constexpr std::size_t readBlockBytes = 8UL * 1024;
constexpr std::size_t firstReadBytes = 1024; // Small, since each idle connection holds a block.
constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

CallerConnection::CallerConnection(TcpSocket socket)
    : m_stream(std::move(socket))
    , m_stateSince(monotonicNow())
{
    configureSocket(m_stream.socket());
}

CallerConnection::~CallerConnection() { stopWatching(); }

void CallerConnection::setState(State state)
{
    m_state = state;
    m_stateSince = monotonicNow();
}

std::string_view CallerConnection::buffered() const
{
    const auto data = m_buffer.data();
    return { static_cast<const char*>(data.data()), data.size() };
}

Task<tl::expected<FullHttpRequest, ReadError>> CallerConnection::read(const CallerLimits& limits, const MemoryObserver& onMemory)
{
    setState(State::Idle);
    m_isReadingGivenUp = false;
    m_isHeadMethod = false;
    bool isOpen = true;
    if (m_buffer.size() == 0)
        isOpen = co_await readFirstBytes(limits.idleTimeout);
    if (!isOpen || m_isClosed)
        co_return tl::unexpected(ReadError::Closed);
    setState(State::Reading);
    m_isHeadMethod = buffered().starts_with("HEAD ");
    RequestReader reader(limits);
    const auto result = co_await readWhole(reader, limits, onMemory);
    m_isHeadMethod = m_isHeadMethod || reader.isHeadMethod();
    setState(State::Busy);
    if (m_isClosed)
        co_return tl::unexpected(ReadError::Closed);
    if (!result)
        co_return tl::unexpected(result.error());
    co_return reader.release();
}

Task<bool> CallerConnection::readFirstBytes(Duration idleTimeout)
{
    m_buffer = {}; // Frees what a larger request has left.
    m_stream.expires_after(idleTimeout);
    const auto block = m_buffer.prepare(firstReadBytes);
    auto [error, size] = co_await m_stream.async_read_some(block, awaitResult);
    if (error && m_isClosingIdle)
        size = readArrived(block);
    m_buffer.commit(size);
    co_return size > 0;
}

std::size_t CallerConnection::readArrived(asio::mutable_buffer block)
{
    const auto size = ::recv(m_stream.socket().native_handle(), block.data(), block.size(), MSG_DONTWAIT);
    return size > 0 ? static_cast<std::size_t>(size) : 0;
}

Task<tl::expected<void, ReadError>> CallerConnection::readWhole(
    RequestReader& reader, const CallerLimits& limits, const MemoryObserver& onMemory)
{
    m_stream.expires_after(limits.headTimeout);
    bool isHeadComplete = false;
    for (;;) {
        const auto taken = reader.put(buffered());
        if (!taken)
            co_return tl::unexpected(taken.error());
        m_buffer.consume(*taken);
        if (onMemory)
            onMemory(reader.memory() + m_buffer.capacity());
        if (m_isReadingGivenUp)
            co_return tl::unexpected(ReadError::GivenUp);
        if (reader.isComplete())
            co_return tl::expected<void, ReadError> {};
        if (!isHeadComplete && reader.isHeadComplete()) {
            isHeadComplete = true;
            if (reader.expectsContinue())
                co_await write(continueResponse, monotonicNow() + limits.headTimeout);
            m_stream.expires_after(limits.bodyTimeout);
            if (m_buffer.size() > 0 || m_isReadingGivenUp)
                continue;
        }
        if (const auto isRead = co_await readMore(); !isRead)
            co_return isRead;
    }
}

Task<tl::expected<void, ReadError>> CallerConnection::readMore()
{
    const auto [error, size] = co_await m_stream.async_read_some(m_buffer.prepare(readBlockBytes), awaitResult);
    if (m_isReadingGivenUp)
        co_return tl::unexpected(ReadError::GivenUp);
    if (error)
        co_return tl::unexpected(error == boost::beast::error::timeout ? ReadError::TooSlow : ReadError::Closed);
    m_buffer.commit(size);
    co_return tl::expected<void, ReadError> {};
}

Task<std::optional<std::string>> CallerConnection::readBytes()
{
    if (m_buffer.size() == 0) {
        m_stream.expires_never();
        const auto [error, size] = co_await m_stream.async_read_some(m_buffer.prepare(readBlockBytes), awaitResult);
        if (error)
            co_return std::nullopt;
        m_buffer.commit(size);
    }
    std::string bytes(buffered());
    m_buffer.consume(m_buffer.size());
    co_return bytes;
}

void CallerConnection::giveUpReading()
{
    if (m_state != State::Reading)
        return;
    m_isReadingGivenUp = true;
    m_stream.cancel();
}

Task<bool> CallerConnection::write(std::string_view text, TimePoint deadline) { return write(text, {}, deadline); }

Task<bool> CallerConnection::write(std::string_view head, std::string_view body, TimePoint deadline)
{
    m_stream.expires_at(deadline);
    const std::array buffers { asio::buffer(head.data(), head.size()), asio::buffer(body.data(), body.size()) };
    const auto [error, size] = co_await asio::async_write(m_stream, buffers, awaitResult);
    m_hasDisconnected = m_hasDisconnected || error;
    co_return !error;
}

void CallerConnection::watchDisconnect(std::function<void()> onDisconnect)
{
    stopWatching();
    m_watch = std::make_shared<Watch>();
    m_watch->onDisconnect = std::move(onDisconnect);
    m_watch->isActive = true;
    armWatch();
}

void CallerConnection::armWatch()
{
    m_stream.socket().async_wait(asio::socket_base::wait_read, [this, watch = m_watch](const boost::system::error_code& error) {
        if (error || !watch->isActive)
            return;
        char byte = 0;
        const auto count = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            armWatch(); // Woken without data.
            return;
        }
        watch->isActive = false;
        if (count > 0)
            return;
        m_hasDisconnected = true;
        watch->onDisconnect();
    });
}

void CallerConnection::stopWatching()
{
    if (!m_watch)
        return;
    m_watch->isActive = false;
    m_watch.reset();
    boost::system::error_code error;
    m_stream.socket().cancel(error);
}

bool CallerConnection::hasDisconnected() const { return m_hasDisconnected; }

void CallerConnection::closeIdle()
{
    if (m_state != State::Idle)
        return;
    m_isClosingIdle = true;
    m_stream.cancel();
}

void CallerConnection::close()
{
    m_isClosed = true;
    boost::system::error_code error;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, error);
    m_stream.close();
}

void CallerConnection::closeWith(std::string_view bytes)
{
    ::send(m_stream.socket().native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    close();
}

void CallerConnection::reset()
{
    m_isClosed = true;
    boost::system::error_code error;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), error);
    m_stream.close();
}

} // namespace bronzeswitch
