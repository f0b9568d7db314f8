#include <boost/beast/core/string.hpp>
#include <net/RequestReader.h>

namespace bronzeswitch {

namespace {

namespace http = boost::beast::http;

// A field's node in the container of Boost.Beast with two hooks, and the allocator's overhead: 16 KB of 4-byte lines take 0.27 MB.
constexpr std::size_t fieldNodeBytes = 80;

// Framing that a body may have beyond the head's limit, for each of its bytes. A one-byte chunk takes 5 bytes of framing, and some callers
// pad the size with zeros to 8 digits.
constexpr std::size_t maxFramingPerByte = 16;

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

ReadError toReadError(const boost::beast::error_code& error)
{
    if (error == http::error::header_limit)
        return ReadError::HeadTooLarge;
    return error == http::error::body_limit ? ReadError::BodyTooLarge : ReadError::Malformed;
}

} // namespace

RequestReader::RequestReader(const CallerLimits& limits)
    : m_limits(limits)
{
    header_limit(static_cast<uint32_t>(limits.maxHeadBytes));
    body_limit(limits.maxBodyBytes);
}

tl::expected<std::size_t, ReadError> RequestReader::put(std::string_view bytes)
{
    std::size_t taken = 0;
    while (taken < bytes.size() && !isComplete()) {
        const auto rest = bytes.substr(taken);
        const bool wasHeadComplete = isHeadComplete();
        boost::beast::error_code error;
        const auto count = basic_parser::put({ rest.data(), rest.size() }, error);
        (wasHeadComplete ? m_framedBytes : m_headBytes) += count;
        taken += count;
        if (error && error != http::error::need_more)
            return tl::unexpected(toReadError(error));
        auto exceeded = exceededLimit();
        if (!exceeded && error)
            exceeded = exceededLimit(bytes.substr(taken));
        if (exceeded)
            return tl::unexpected(*exceeded);
        if (error)
            break;
        if (wasHeadComplete || !isHeadComplete())
            continue;
        if (!hasUnambiguousFraming(m_request))
            return tl::unexpected(ReadError::Malformed);
        break;
    }
    return taken;
}

std::optional<ReadError> RequestReader::exceededLimit() const
{
    // Boost.Beast checks each piece of a head against the limit, but not their sum.
    if (m_headBytes > m_requestLineBytes + m_limits.maxHeadBytes)
        return ReadError::HeadTooLarge;
    const auto bodyBytes = m_request.body().size();
    const auto framingBytes = m_framedBytes - bodyBytes;
    if (framingBytes > 2 * m_limits.maxHeadBytes + maxFramingPerByte * bodyBytes)
        return ReadError::FramingTooLarge;
    return std::nullopt;
}

std::optional<ReadError> RequestReader::exceededLimit(std::string_view pending) const
{
    if (pending.size() < m_limits.maxHeadBytes)
        return std::nullopt;
    if (!isHeadComplete())
        return ReadError::HeadTooLarge;
    // The end of the chunk before may come first; a further line end shows that trailers follow.
    constexpr std::size_t lineEndBytes = 2;
    return pending.find('\n', lineEndBytes) == std::string_view::npos ? ReadError::FramingTooLarge : ReadError::TrailersTooLarge;
}

bool RequestReader::expectsContinue() const { return boost::beast::iequals(m_request[http::field::expect], "100-continue"); }

std::size_t RequestReader::memory() const
{
    const auto& body = m_request.body();
    // Of a stated length the memory is reserved at once, but the system provides it as the bytes arrive.
    return m_headBytes + m_headLines * fieldNodeBytes + (m_hasStatedLength ? body.size() : body.capacity());
}

void RequestReader::on_request_impl(Verb verb, StringView method, StringView target, int version, ErrorCode&)
{
    constexpr std::size_t versionBytes = sizeof("  HTTP/1.1\r\n") - 1;
    m_requestLineBytes = method.size() + target.size() + versionBytes;
    if (verb == Verb::unknown)
        m_request.method_string(method);
    else
        m_request.method(verb);
    m_request.target(target);
    m_request.version(static_cast<unsigned>(version));
}

void RequestReader::on_field_impl(Field field, StringView name, StringView value, ErrorCode& error)
{
    if (isHeadComplete())
        return;
    if (m_limits.maxHeadLines > 0 && m_headLines >= m_limits.maxHeadLines) {
        error = http::error::header_limit;
        return;
    }
    ++m_headLines;
    m_request.insert(field, name, value);
}

void RequestReader::on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode&)
{
    if (!length)
        return;
    m_hasStatedLength = true;
    m_request.body().reserve(static_cast<std::size_t>(*length));
}

std::size_t RequestReader::on_body_impl(StringView body, ErrorCode&)
{
    m_request.body().append(body.data(), body.size());
    return body.size();
}

std::size_t RequestReader::on_chunk_body_impl(std::uint64_t, StringView body, ErrorCode&)
{
    m_request.body().append(body.data(), body.size());
    return body.size();
}

} // namespace bronzeswitch
