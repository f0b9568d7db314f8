#pragma once

#include <base/Error.h>
#include <base/TimerService.h>
#include <http/HttpMessage.h>

#include <atomic>
#include <functional>

namespace bronzeswitch {

/** How far a call had got when it failed. */
enum class CallStage {
    NotSent, /**< No connection was made, so no part of the request left this process. */
    Sent, /**< The request may have reached the server. */
    ResponseStarted, /**< Part of the response has arrived. */
};

/** Why a call failed and how far it had got. */
struct CallError {
    ErrorCode code = ErrorCode::Unavailable;
    CallStage stage = CallStage::NotSent;
    std::string message;

    bool operator==(const CallError&) const = default;
};

/** Limits and callbacks of one call. */
struct CallOptions {
    Duration connectTimeout { 1000 };
    Duration totalTimeout { 10000 }; /**< For the whole call, including the connection. */
    /** The call fails with Timeout if no part of the response arrives for this long. */
    Duration idleTimeout { 10000 };
    /** The call fails with Protocol if the head and the body that is kept are larger together; data for onData is not counted. */
    std::size_t maxResponseBytes = 16UL * 1024 * 1024;
    /** Polled while the call runs; the call fails with Cancelled once it returns true. */
    std::function<bool()> isCancelled;
    /** Receives the body of a successful response piece by piece as it arrives; the call fails with Cancelled if it returns false. */
    std::function<bool(std::string_view)> onData;
};

/**
 * Sends an HTTP request and blocks until its response is complete or the call fails.
 *
 * Every call makes a new connection. When a reused connection turns out to be closed, libcurl sends the request again by itself,
 * which would break at-most-once dispatch.
 *
 *     auto response = httpCall({ "GET", "/load" }, "127.0.0.1:8000", {});
 *
 * @param request its path includes the query string; its query field is ignored.
 * @param authority address and port of the server, as "address:port".
 * @return the response, without the part of the body that onData has received; or why and at which stage the call failed.
 */
tl::expected<HttpResponse, CallError> httpCall(const HttpRequest& request, const std::string& authority, const CallOptions&);

} // namespace bronzeswitch
