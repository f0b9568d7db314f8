#pragma once

#include <net/HttpTypes.h>

#include <boost/beast/http/basic_parser.hpp>

#include <string_view>

namespace bronzeswitch {

/** Limits on the size of a caller's request and on the time that the caller may take. */
struct CallerLimits {
    std::size_t maxHeadBytes = 16UL * 1024; /**< Of the request line, of all header lines together, and of all trailers together. */
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    Duration headTimeout { 3000 }; /**< From the first bytes of a request to the end of its head. */
    Duration idleTimeout { 15000 }; /**< Longest wait for the first bytes of a request. */
    Duration bodyTimeout { 30000 }; /**< From the end of the head to the end of the body. */
    std::size_t maxHeadLines = 0; /**< Header lines; 0 allows as many as fit into maxHeadBytes. */

    bool operator==(const CallerLimits&) const = default;
};

/** Why no request could be read. */
enum class ReadError {
    Closed, /**< The connection was closed, failed, or idle for too long. */
    Malformed,
    HeadTooLarge, /**< The head has too many bytes or lines. */
    TrailersTooLarge, /**< The trailers after a chunked body have too many bytes. */
    BodyTooLarge,
    FramingTooLarge, /**< The chunks of a body take too many bytes beyond those of the body. */
    TooSlow, /**< The head or the body did not arrive in time. */
    GivenUp /**< The node wanted the request's memory back (CallerConnection::giveUpReading()). */
};

/**
 * Reads one request from bytes as they arrive, and checks each of them against the limits before it takes memory for more.
 *
 * Load pattern: requests of callers that nobody controls, with endless heads, chunk extensions, chunk framing or trailers. What a request
 * makes the reader hold is bounded by the limits, and memory() states it. Trailers are checked and dropped: merged into the head they would
 * evade its checks.
 *
 *     RequestReader reader(limits);
 *     const auto taken = reader.put(bytes);
 *     if (reader.isComplete())
 *         handle(reader.release());
 */
class RequestReader : private boost::beast::http::basic_parser<true> {
public:
    explicit RequestReader(const CallerLimits&);

    /**
     * Reads bytes.
     * @param bytes all that has arrived and has not been taken yet.
     * @return how many of them were taken; the others have to be passed again with those that follow. It stops at the end of the head, and
     * at the end of the request. An error if the request is malformed or exceeds a limit.
     */
    tl::expected<std::size_t, ReadError> put(std::string_view bytes);

    bool isHeadComplete() const { return is_header_done(); }
    bool isComplete() const { return is_done(); }

    /** @return true once the request line has been read and names the method HEAD. */
    bool isHeadMethod() const { return m_request.method() == boost::beast::http::verb::head; }

    /** @return true if the caller waits for an interim response before it sends the body. */
    bool expectsContinue() const;

    /** @return bytes of memory that the request takes so far, with the structures for its header fields. */
    std::size_t memory() const;

    /** @return the request; call it once, when it is complete. */
    FullHttpRequest release() { return std::move(m_request); }

private:
    using Verb = boost::beast::http::verb;
    using Field = boost::beast::http::field;
    using StringView = boost::beast::string_view;
    using ErrorCode = boost::beast::error_code;

    void on_request_impl(Verb, StringView method, StringView target, int version, ErrorCode&) override;
    void on_response_impl(int, StringView, int, ErrorCode&) override { }
    void on_field_impl(Field, StringView name, StringView value, ErrorCode&) override;
    void on_header_impl(ErrorCode&) override { }
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode&) override;
    std::size_t on_body_impl(StringView body, ErrorCode&) override;
    void on_chunk_header_impl(std::uint64_t, StringView, ErrorCode&) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, StringView body, ErrorCode&) override;
    void on_finish_impl(ErrorCode&) override { }

    /** @return the limit that the request exceeds with what has been taken, if any. */
    std::optional<ReadError> exceededLimit() const;

    /** @return the limit that the request exceeds because the parser needs so many bytes at once, if any. */
    std::optional<ReadError> exceededLimit(std::string_view pending) const;

    CallerLimits m_limits;
    FullHttpRequest m_request;
    std::size_t m_headBytes = 0;
    std::size_t m_requestLineBytes = 0;
    std::size_t m_headLines = 0;
    std::size_t m_framedBytes = 0; /**< Of the body with its framing. */
    bool m_hasStatedLength = false;
};

} // namespace bronzeswitch
