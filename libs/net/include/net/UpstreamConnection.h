#pragma once

#include <net/Async.h>
#include <net/HttpTypes.h>
#include <net/PassedStream.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>

namespace bronzeswitch {

/** A request to an upstream, kept alive until it has been written to the socket. */
struct OutgoingRequest {
    std::string head;
    std::shared_ptr<const std::string> body;
    bool isHeadMethod = false; /**< The method is HEAD: the response has no body, whatever its head says. */
};

/**
 * Client side of one HTTP connection, which carries one request at a time.
 *
 * The request is written while the response is read, so that a response is seen even if it comes before the end of the request.
 * A connection can be reused only if both messages ended cleanly and no data followed the response.
 *
 *     auto connection = co_await UpstreamConnection::connect(executor, endpoint, deadline);
 *     auto head = co_await (*connection)->exchange(request, deadline);
 *     while (co_await (*connection)->readSome(body, deadline)) { }
 */
class UpstreamConnection {
public:
    /** Opens a connection. @return the connection, or Timeout or Unavailable; nothing was sent then. */
    static Task<Result<std::unique_ptr<UpstreamConnection>>> connect(Executor, asio::ip::tcp::endpoint, TimePoint deadline);

    /**
     * Opens a connection to a server by way of a node that reaches it. It can carry one request.
     * @param target names the server to the node.
     * @return the connection; Conflict if the node does not pass connections on now, NotFound if it does not reach the server either, or an
     *     error of the connection to the node. Nothing was sent to the server then.
     */
    static Task<Result<std::unique_ptr<UpstreamConnection>>> connectThrough(
        Executor, asio::ip::tcp::endpoint node, std::string target, TimePoint deadline);

    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    /**
     * Sends a request and reads the head of its response.
     * @return the head, Timeout when the deadline passed, or Protocol if its status is not a final one of HTTP.
     */
    Task<Result<ResponseHead>> exchange(OutgoingRequest, TimePoint deadline);

    /** Reads the head of the next response without sending anything, after skipping a response to an earlier request. */
    Task<Result<ResponseHead>> readHead(TimePoint deadline);

    /**
     * Reads the next part of the body.
     * @param body the part is appended to it.
     * @return true if more may follow, false at the end of a complete body; Unavailable if the connection was reset before.
     */
    Task<Result<bool>> readSome(std::string& body, TimePoint deadline);

    /** Reads the rest of the body. @param limit largest size in bytes. @return the body, or Protocol when it is larger. */
    Task<Result<std::string>> readBody(TimePoint deadline, std::size_t limit);

    /** Closes the connection at once. A waiting task gets Cancelled. */
    void abort();

    /** @return true if the current response states no length, so that the end of the connection is the end of its body. */
    bool endsWithConnection() const { return m_parser && m_parser->need_eof(); }

    /** @return the length that the current response states for its body; none if it states no length or has no body. */
    std::optional<uint64_t> statedLength() const;

    /** @return true if the connection can carry another request. */
    bool isReusable() const;

    /** @return true while the server has neither closed the idle connection nor sent data without a request. */
    bool isOpenAndIdle();

    /** @return the idle timeout that the server announced, 0 if it announced none. */
    Duration idleTimeout() const { return m_idleTimeout; }

    /** @return true if another node passes the connection on. */
    bool isPassedOn() const { return m_reader.isPassedOn(); }

    /** @return when bytes last arrived, the last request was sent or the connection was opened. */
    TimePoint lastProgress() const { return m_lastProgress; }

    /** @return when bytes of a response last arrived. */
    TimePoint lastReceived() const { return m_lastReceived; }

    const asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }

    /** @return when the last response ended. */
    TimePoint lastUsed() const { return m_lastUsed; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    struct PendingWrite {
        explicit PendingWrite(Executor executor, OutgoingRequest outgoing)
            : request(std::move(outgoing))
            , ended(executor)
        {
        }
        OutgoingRequest request; /**< Released when the write has ended. */
        AsyncEvent ended;
        bool isFailed = false;
    };

    UpstreamConnection(Executor, asio::ip::tcp::endpoint);

    Error toError(const boost::system::error_code&) const;
    void startWrite(OutgoingRequest);

    /** @return true if the end of the connection was a reset, which the write of the request noticed in place of the read. */
    Task<bool> wasReset();
    void resetParser();
    void updateIdleTimeout(const ResponseHead&);
    void recordReceived();

    std::shared_ptr<TcpStream> m_stream; /**< Shared with a pending write, which may outlive this object. */
    PassedStream m_reader; /**< Reads from m_stream. */
    asio::ip::tcp::endpoint m_endpoint;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::shared_ptr<PendingWrite> m_write;
    bool m_isHeadMethod = false;
    bool m_isComplete = true;
    bool m_isAborted = false;
    Duration m_idleTimeout { 0 };
    TimePoint m_lastUsed {};
    TimePoint m_lastProgress {};
    TimePoint m_lastReceived {};
};

} // namespace bronzeswitch
