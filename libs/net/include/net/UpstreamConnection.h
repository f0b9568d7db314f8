#pragma once

#include <net/Async.h>
#include <net/HttpTypes.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>

namespace bronzeswitch {

/** What is sent to an upstream; kept alive until it has left the socket. */
struct OutgoingRequest {
    std::string head;
    std::shared_ptr<const std::string> body;
    bool isHeadMethod = false; /**< The answer has no body, whatever its head says. */
};

/**
 * One connection to a server, which carries one request at a time.
 *
 * The request is written while the answer is read, so that an answer that comes before the end of the request is seen. A
 * connection is used again only if both messages ended cleanly and nothing came after the answer.
 *
 *     auto connection = co_await UpstreamConnection::connect(executor, endpoint, deadline);
 *     auto head = co_await (*connection)->exchange(request, deadline);
 *     while (co_await (*connection)->readSome(body, deadline)) { }
 */
class UpstreamConnection {
public:
    static Task<Result<std::unique_ptr<UpstreamConnection>>> connect(Executor, asio::ip::tcp::endpoint, TimePoint deadline);

    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    /** Sends a request and reads the head of its answer. @return Timeout when the deadline passed. */
    Task<Result<ResponseHead>> exchange(OutgoingRequest, TimePoint deadline);

    /** Reads the next answer on the connection without sending anything, to skip one that belongs to an earlier request. */
    Task<Result<ResponseHead>> readHead(TimePoint deadline);

    /**
     * Reads the next part of the body.
     * @param body the part is appended here.
     * @return true if there may be more, false at the end of a complete body.
     */
    Task<Result<bool>> readSome(std::string& body, TimePoint deadline);

    /** Reads the rest of the body. @param limit bytes after which the body is given up. */
    Task<Result<std::string>> readBody(TimePoint deadline, std::size_t limit);

    /** Closes the connection at once; a waiting task sees Cancelled. */
    void abort();

    /** @return true when another request may be sent. */
    bool isReusable() const;

    /** @return true while the other side has neither closed an idle connection nor sent anything unasked. */
    bool isOpenAndIdle();

    /** @return how long the connection may stay idle by what the server said, 0 if it said nothing. */
    Duration idleTimeout() const { return m_idleTimeout; }

    const asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }
    TimePoint lastUsed() const { return m_lastUsed; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    struct PendingWrite {
        OutgoingRequest request;
        bool isDone = false;
        bool isFailed = false;
    };

    UpstreamConnection(Executor, asio::ip::tcp::endpoint);

    Error failure(const boost::system::error_code&) const;
    void startWrite(OutgoingRequest);
    void startParser();
    void noteIdleTimeout(const ResponseHead&);

    std::shared_ptr<TcpStream> m_stream; /**< Shared with a write that may outlive this object. */
    asio::ip::tcp::endpoint m_endpoint;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::shared_ptr<PendingWrite> m_write;
    bool m_isHeadMethod = false;
    bool m_isComplete = true;
    bool m_isAborted = false;
    Duration m_idleTimeout { 0 };
    TimePoint m_lastUsed {};
};

} // namespace bronzeswitch
