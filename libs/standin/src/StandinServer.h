#pragma once

#include <http/HttpServer.h>

#include <memory>

namespace bronzeswitch {

/**
 * Starts the HTTP server of a stand-in.
 * @param handle member function that is called for each request, each in a task of its own. @param port 0 lets the kernel pick.
 */
template <typename Standin, typename Handle>
Result<std::unique_ptr<HttpServer>> serveStandin(Standin* standin, Handle handle, uint16_t port)
{
    HttpServer::Options options;
    options.port = port;
    const auto handler
        = [standin, handle](const HttpRequest& request, HttpResponder& responder) { (standin->*handle)(request, responder); };
    return HttpServer::create(options, handler, handler);
}

} // namespace bronzeswitch
