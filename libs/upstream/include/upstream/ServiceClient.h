#pragma once

#include <http/HttpClient.h>
#include <protocol/Messages.h>

#include <string>

namespace bronzeswitch {

/** Outcome of a request to a plain service. */
struct ServiceResult {
    /** Completed with a response, Unreachable if nothing was sent, Cancelled, or Failed if the request may have run. */
    DispatchOutcome outcome = DispatchOutcome::Failed;
    HttpResponse response; /**< Set if the request completed. */
    std::string message; /**< Why the request did not complete. */
    bool isMismatched = false; /**< The response carried the identifier of another request and was discarded. */

    bool operator==(const ServiceResult&) const = default;
};

/**
 * Sends a request to a plain service, without retries.
 * @param authority address and port of the service.
 * @param requestId identifier that the response's X-Request-Id header must have, if the response has that header.
 * @param timeout limit on the whole exchange.
 * @param isCancelled polled during the exchange; true cancels it.
 */
ServiceResult callService(const HttpRequest&, const std::string& authority, const std::string& requestId, Duration timeout,
    const std::function<bool()>& isCancelled);

} // namespace bronzeswitch
