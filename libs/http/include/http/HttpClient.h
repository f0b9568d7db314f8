#pragma once

#include <base/Error.h>
#include <base/TimerService.h>
#include <http/HttpMessage.h>

#include <atomic>
#include <functional>

namespace bronzeswitch {

/** How far a call got before it failed. */
enum class CallStage {
    NotSent, /**< The connection was never made, so nothing of the request left this process. */
    Sent, /**< The request may have reached the server. */
    ResponseStarted, /**< At least one byte of the answer came back. */
};

/** Why a call failed and how far it had got. */
struct CallError {
    ErrorCode code = ErrorCode::Unavailable;
    CallStage stage = CallStage::NotSent;
    std::string message;

    bool operator==(const CallError&) const = default;
};

/** Bounds and hooks of one call. */
struct CallOptions {
    Duration connectTimeout { 1000 };
    Duration totalTimeout { 10000 };
    /** A call without a byte for this long has gone silent and is ended with Timeout. */
    Duration idleTimeout { 10000 };
    /** An answer whose head or whole body is larger is ended with Protocol. */
    std::size_t maxResponseBytes = 16UL * 1024 * 1024;
    /** Checked often while the call runs; true ends it with Cancelled. */
    std::function<bool()> isCancelled;
    /** Takes each piece of a successful body as it comes; false ends the call with Cancelled. */
    std::function<bool(std::string_view)> onData;
};

/**
 * Sends one HTTP request and waits for its end.
 *
 * Every call makes a connection of its own. A reused connection would let the HTTP library send a request again by
 * itself when the connection turns out to be dead, which breaks at-most-once dispatch.
 *
 *     auto answer = httpCall({ "GET", "/load" }, "127.0.0.1:8000", {});
 *
 * @param request method, path (with query), headers and body.
 * @param authority address and port of the server.
 * @return the response, its body empty where onData took it, or how and when the call failed.
 */
tl::expected<HttpResponse, CallError> httpCall(const HttpRequest& request, const std::string& authority, const CallOptions&);

} // namespace bronzeswitch
