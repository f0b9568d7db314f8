#include "SocketOptions.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <net/CallerConnection.h>

namespace bronzeswitch {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t readBlockBytes = 8UL * 1024;
constexpr Duration bodyTimeout { 30000 };
constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

ReadError toReadError(const boost::system::error_code& error)
{
    if (error == http::error::header_limit)
        return ReadError::HeadTooLarge;
    if (error == http::error::body_limit)
        return ReadError::BodyTooLarge;
    if (error == boost::beast::error::timeout)
        return ReadError::TooSlow;
    if (error.category() == http::make_error_code(http::error::end_of_stream).category() && error != http::error::end_of_stream
        && error != http::error::partial_message)
        return ReadError::Malformed;
    return ReadError::Closed;
}

// Accepts no transfer coding but "chunked": an upstream could frame a request with another one differently (request smuggling).
bool hasUnambiguousFraming(const http::request_header<>& head)
{
    if (head.count(http::field::transfer_encoding) > 1 || head.count(http::field::content_length) > 1 || head.count(http::field::host) > 1)
        return false;
    const auto coding = head.find(http::field::transfer_encoding);
    const bool isChunked = coding != head.end();
    if (isChunked && head.find(http::field::content_length) != head.end())
        return false;
    return !isChunked || boost::beast::iequals(coding->value(), "chunked");
}

} // namespace

CallerConnection::CallerConnection(TcpSocket socket)
    : m_stream(std::move(socket))
{
    configureSocket(m_stream.socket());
}

CallerConnection::~CallerConnection() { stopWatching(); }

Task<tl::expected<FullHttpRequest, ReadError>> CallerConnection::read(const CallerLimits& limits)
{
    m_isIdle = true;
    if (m_buffer.size() == 0) {
        m_stream.expires_after(limits.idleTimeout);
        const auto [error, size] = co_await m_stream.async_read_some(m_buffer.prepare(readBlockBytes), awaitResult);
        if (error)
            co_return tl::unexpected(ReadError::Closed);
        m_buffer.commit(size);
    }
    m_isIdle = false;
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<uint32_t>(limits.maxHeadBytes));
    parser.body_limit(limits.maxBodyBytes);
    m_stream.expires_after(limits.headTimeout);
    const auto [headError, headSize] = co_await http::async_read_header(m_stream, m_buffer, parser, awaitResult);
    if (headError)
        co_return tl::unexpected(toReadError(headError));
    if (!hasUnambiguousFraming(parser.get()))
        co_return tl::unexpected(ReadError::Malformed);
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue"))
        co_await write(continueResponse, monotonicNow() + limits.headTimeout);
    if (!parser.is_done()) {
        m_stream.expires_after(bodyTimeout);
        const auto [bodyError, bodySize] = co_await http::async_read(m_stream, m_buffer, parser, awaitResult);
        if (bodyError)
            co_return tl::unexpected(toReadError(bodyError));
    }
    co_return parser.release();
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

void CallerConnection::close()
{
    boost::system::error_code error;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, error);
    m_stream.close();
}

void CallerConnection::reset()
{
    boost::system::error_code error;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), error);
    m_stream.close();
}

} // namespace bronzeswitch
