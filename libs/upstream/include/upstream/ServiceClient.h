#pragma once

#include <http/HttpClient.h>
#include <protocol/Messages.h>

#include <string>

namespace bronzeswitch {

/** How a call of a plain service ended. */
struct ServiceResult {
    /** Completed with an answer, Unreachable when nothing was sent, Cancelled, or Failed when it may have run. */
    DispatchOutcome outcome = DispatchOutcome::Failed;
    HttpResponse response;
    std::string message;
    bool isMismatched = false; /**< The answer named another request and was dropped. */

    bool operator==(const ServiceResult&) const = default;
};

/**
 * Passes one request to a plain service, once.
 * @param authority address and port of the service.
 * @param requestId identifier that an answer must name if it names one.
 * @param timeout bound on the whole call.
 */
ServiceResult callService(const HttpRequest&, const std::string& authority, const std::string& requestId, Duration timeout,
    const std::function<bool()>& isCancelled);

} // namespace bronzeswitch
