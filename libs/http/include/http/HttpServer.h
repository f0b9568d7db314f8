#pragma once

#include <base/Error.h>
#include <http/HttpMessage.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace bronzeswitch {

/** Answers one request, whole or as a stream of chunks. Safe to use from the task of the request only. */
class HttpResponder {
public:
    virtual ~HttpResponder() = default;

    /** Sends a whole response. Only the first send or start has an effect. */
    virtual void send(const HttpResponse&) = 0;

    /** Sends status and headers of a streamed response. */
    virtual void startStream(int status, const HttpHeaders&) = 0;

    /** Sends one chunk of a streamed response. @return false when the client has left. */
    virtual bool write(std::string_view chunk) = 0;

    /** Ends a streamed response. */
    virtual void finishStream() = 0;

    /** @return true once the client has closed its connection. */
    virtual bool isClientDisconnected() const = 0;

    /** @return true once a status line has been sent. */
    virtual bool isStarted() const = 0;
};

/**
 * An HTTP server that runs one task for each request.
 *
 *     auto server = HttpServer::create({ .address = "127.0.0.1" }, handle);
 *     int port = (*server)->port();
 */
class HttpServer {
public:
    struct Options {
        std::string address = "127.0.0.1";
        uint16_t port = 0;
        int reactorThreads = 1;
        int maxTasks = 4096;
        std::size_t maxBodyBytes = 8U << 20U;
    };
    using Handler = std::function<void(const HttpRequest&, HttpResponder&)>;

    /**
     * Binds and starts to serve.
     * @param handler runs in a task of its own and may block.
     * @param overloaded answers when maxTasks are running; must not block.
     * @return the server, or Unavailable when the address can't be bound.
     */
    static Result<std::unique_ptr<HttpServer>> create(const Options&, Handler handler, Handler overloaded);

    virtual ~HttpServer() = default;

    /** @return the bound port, which the kernel picked when the option was 0. */
    virtual uint16_t port() const = 0;

    /** @return the number of requests whose task is running. */
    virtual int runningTasks() const = 0;

    /** Stops to accept, waits for the running tasks and closes all connections. */
    virtual void shutdown() = 0;
};

} // namespace bronzeswitch
