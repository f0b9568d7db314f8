#include "SocketOptions.h"

#include <array>
#include <base/HttpStatus.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <net/PassOn.h>
#include <net/UpstreamConnection.h>

namespace bronzeswitch {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t maxHeadBytes = 64UL * 1024;
constexpr std::size_t readBlockBytes = 16UL * 1024;
constexpr int maxInterimResponses = 8; // Before the final response.

constexpr Duration writeErrorDelay { 20 }; // For a write's error that the event loop has not reported yet.

// A connection does not switch to another protocol, since no request asks for that.
bool isInterim(int status) { return status >= 100 && status < 200 && status != httpstatus::switchingProtocols; }

Duration parseKeepAliveTimeout(const std::string& field)
{
    constexpr std::string_view key = "timeout=";
    const auto start = field.find(key);
    if (start == std::string::npos)
        return Duration(0);
    int seconds = 0;
    std::from_chars(field.data() + start + key.size(), field.data() + field.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace

UpstreamConnection::UpstreamConnection(Executor executor, asio::ip::tcp::endpoint endpoint)
    : m_stream(std::make_shared<TcpStream>(executor))
    , m_reader(m_stream)
    , m_endpoint(std::move(endpoint))
    , m_buffer(maxHeadBytes + readBlockBytes)
{
}

UpstreamConnection::~UpstreamConnection() { abort(); }

Task<Result<std::unique_ptr<UpstreamConnection>>> UpstreamConnection::connect(
    Executor executor, asio::ip::tcp::endpoint endpoint, TimePoint deadline)
{
    std::unique_ptr<UpstreamConnection> connection(new UpstreamConnection(executor, endpoint));
    connection->m_stream->expires_at(deadline);
    const auto [error] = co_await connection->m_stream->async_connect(endpoint, awaitResult);
    if (error)
        co_return tl::unexpected(connection->toError(error));
    configureSocket(connection->m_stream->socket());
    connection->m_lastProgress = monotonicNow();
    co_return connection;
}

Task<Result<std::unique_ptr<UpstreamConnection>>> UpstreamConnection::connectThrough(
    Executor executor, asio::ip::tcp::endpoint node, std::string target, TimePoint deadline)
{
    auto connected = co_await connect(executor, node, deadline);
    if (!connected)
        co_return connected;
    auto& connection = **connected;
    const PassOnRequest passOn { std::move(target), EndMarkFilter::makeMark(), true };
    connection.m_reader.expectMark(passOn.mark);
    const OutgoingRequest request { formatPassOnRequest(passOn, node), std::make_shared<const std::string>(), false };
    auto head = co_await connection.exchange(request, deadline);
    if (!head)
        co_return tl::unexpected(head.error());
    if (head->status == httpstatus::serviceUnavailable)
        co_return fail(ErrorCode::Conflict, "the node does not pass connections on");
    if (head->status != httpstatus::ok)
        co_return fail(ErrorCode::NotFound, "no answer in time or refused, also from another node");
    co_return connected;
}

Error UpstreamConnection::toError(const boost::system::error_code& error) const
{
    if (m_isAborted)
        return { ErrorCode::Cancelled, "connection aborted" };
    if (error == boost::beast::error::timeout)
        return { ErrorCode::Timeout, "no answer in time" };
    return { ErrorCode::Unavailable, error.message() };
}

void UpstreamConnection::startWrite(OutgoingRequest request)
{
    m_write = std::make_shared<PendingWrite>(m_stream->get_executor(), std::move(request));
    const auto& pending = m_write->request;
    const std::array buffers { asio::buffer(pending.head), asio::buffer(*pending.body) };
    asio::async_write(*m_stream, buffers, [write = m_write, stream = m_stream](const boost::system::error_code& error, std::size_t) {
        write->isFailed = static_cast<bool>(error);
        write->request = {};
        write->ended.set();
    });
}

void UpstreamConnection::resetParser()
{
    m_parser.emplace();
    m_parser->header_limit(maxHeadBytes);
    m_parser->body_limit(boost::none);
    m_parser->skip(m_isHeadMethod);
}

Task<Result<ResponseHead>> UpstreamConnection::exchange(OutgoingRequest request, TimePoint deadline)
{
    m_isHeadMethod = request.isHeadMethod;
    m_isComplete = false;
    m_lastProgress = monotonicNow();
    m_stream->expires_at(deadline);
    startWrite(std::move(request));
    co_return co_await readHead(deadline);
}

Task<Result<ResponseHead>> UpstreamConnection::readHead(TimePoint deadline)
{
    m_isComplete = false;
    for (int interim = 0; interim <= maxInterimResponses; ++interim) {
        resetParser();
        m_stream->expires_at(deadline);
        const auto [error, size] = co_await http::async_read_header(m_reader, m_buffer, *m_parser, awaitResult);
        if (error)
            co_return tl::unexpected(toError(error));
        recordReceived();
        const auto& message = m_parser->get();
        const auto status = static_cast<int>(message.result_int());
        if (isInterim(status))
            continue;
        if (!httpstatus::isFinal(status))
            co_return fail(ErrorCode::Protocol, "status " + std::to_string(status) + " is not a final one of HTTP");
        ResponseHead head { status, std::string(message.reason()), message.base() };
        updateIdleTimeout(head);
        co_return head;
    }
    co_return fail(ErrorCode::Protocol, "too many interim responses");
}

void UpstreamConnection::recordReceived()
{
    m_lastReceived = monotonicNow();
    m_lastProgress = m_lastReceived;
}

void UpstreamConnection::updateIdleTimeout(const ResponseHead& head)
{
    const auto timeout = parseKeepAliveTimeout(fieldValue(head.fields, "Keep-Alive"));
    if (timeout.count() > 0)
        m_idleTimeout = timeout;
}

Task<Result<bool>> UpstreamConnection::readSome(std::string& body, TimePoint deadline)
{
    std::array<char, readBlockBytes> block; // NOLINT: filled by the read.
    m_stream->expires_at(deadline);
    while (!m_parser->is_done()) {
        m_parser->get().body().data = block.data();
        m_parser->get().body().size = block.size();
        m_parser->get().body().more = true;
        auto [error, size] = co_await http::async_read_some(m_reader, m_buffer, *m_parser, awaitResult);
        const auto filled = block.size() - m_parser->get().body().size;
        body.append(block.data(), filled);
        if (filled)
            recordReceived();
        if (error && error != http::error::need_buffer)
            co_return tl::unexpected(toError(error));
        if (filled && !m_parser->is_done())
            co_return true;
    }
    if (endsWithConnection() && co_await wasReset())
        co_return tl::unexpected(toError(asio::error::connection_reset));
    m_isComplete = true;
    m_lastUsed = monotonicNow();
    co_return false;
}

// A socket reports the reset of its connection once. If a write is pending, it gets the error, and a read sees an orderly end.
Task<bool> UpstreamConnection::wasReset()
{
    co_await m_write->ended.wait(monotonicNow() + writeErrorDelay);
    co_return m_write->isFailed;
}

Task<Result<std::string>> UpstreamConnection::readBody(TimePoint deadline, std::size_t limit)
{
    std::string body;
    for (;;) {
        const auto more = co_await readSome(body, deadline);
        if (!more)
            co_return tl::unexpected(more.error());
        if (!*more)
            co_return body;
        if (body.size() > limit)
            co_return fail(ErrorCode::Protocol, "response body too large");
    }
}

void UpstreamConnection::abort()
{
    m_isAborted = true;
    m_stream->close();
}

std::optional<uint64_t> UpstreamConnection::statedLength() const
{
    if (!m_parser || m_isHeadMethod || !m_parser->content_length())
        return std::nullopt;
    return *m_parser->content_length();
}

bool UpstreamConnection::isReusable() const
{
    const bool isWritten = m_write && m_write->ended.isSet() && !m_write->isFailed;
    return isWritten && !isPassedOn() && m_isComplete && !m_isAborted && m_buffer.size() == 0 && m_parser && m_parser->keep_alive();
}

bool UpstreamConnection::isOpenAndIdle()
{
    char byte = 0;
    boost::system::error_code error;
    m_stream->socket().native_non_blocking(true, error);
    if (error)
        return false;
    const auto count = ::recv(m_stream->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace bronzeswitch
