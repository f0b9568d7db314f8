#pragma once

#include <base/Error.h>
#include <http/HttpMessage.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace bronzeswitch {

/** Sends the response to one request, whole or as a stream of chunks. Must only be used by the thread that handles the request. */
class HttpResponder {
public:
    virtual ~HttpResponder() = default;

    /** Sends a whole response. Does nothing if a response has been started already. */
    virtual void send(const HttpResponse&) = 0;

    /** Sends status and headers of a streamed response. Does nothing if a response has been started already. */
    virtual void startStream(int status, const HttpHeaders&) = 0;

    /** Sends one chunk of a streamed response. @return false if the client has disconnected. */
    virtual bool write(std::string_view chunk) = 0;

    /** Ends a streamed response. */
    virtual void finishStream() = 0;

    /** @return true once the client has closed its connection or a write to it has failed. */
    virtual bool isClientDisconnected() const = 0;

    /** @return true once send() or startStream() has been called. */
    virtual bool isStarted() const = 0;
};

/**
 * An HTTP server that handles each request in a task, which is a thread of its own.
 *
 *     auto server = HttpServer::create({ .address = "127.0.0.1" }, handleRequest, rejectRequest);
 *     int port = (*server)->port();
 */
class HttpServer {
public:
    struct Options {
        std::string address = "127.0.0.1";
        uint16_t port = 0;
        int reactorThreads = 1; /**< Threads that read requests and write responses. */
        int maxTasks = 4096; /**< Requests that are handled at the same time. */
        std::size_t maxRequestBytes = 8U << 20U; /**< Head and body together. */
    };
    using Handler = std::function<void(const HttpRequest&, HttpResponder&)>;

    /**
     * Binds the address and starts to serve requests.
     * @param handler handles a request in its task; may block.
     * @param overloadHandler handles a request that arrives while maxTasks tasks run or during shutdown(); runs on a reactor thread
     *     and must not block.
     * @return the server, or Unavailable if the address can't be bound.
     */
    static Result<std::unique_ptr<HttpServer>> create(const Options&, Handler handler, Handler overloadHandler);

    virtual ~HttpServer() = default;

    /** @return the port that was bound; the kernel chooses it if Options::port is 0. */
    virtual uint16_t port() const = 0;

    /** @return the number of tasks that are running. */
    virtual int runningTasks() const = 0;

    /** Starts no further tasks, waits for the running ones, then stops listening and closes all connections. */
    virtual void shutdown() = 0;
};

} // namespace bronzeswitch
