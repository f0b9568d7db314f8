#include <upstream/ServiceClient.h>

namespace bronzeswitch {

ServiceResult callService(const HttpRequest& request, const std::string& authority, const std::string& requestId, Duration timeout,
    const std::function<bool()>& isCancelled)
{
    CallOptions options;
    options.totalTimeout = timeout;
    options.idleTimeout = timeout;
    options.isCancelled = isCancelled;
    const auto response = httpCall(request, authority, options);
    ServiceResult result;
    if (!response) {
        result.message = response.error().message;
        if (response.error().stage == CallStage::NotSent)
            result.outcome = DispatchOutcome::Unreachable;
        else if (response.error().code == ErrorCode::Cancelled)
            result.outcome = DispatchOutcome::Cancelled;
        return result;
    }
    const auto responseId = findHeader(response->headers, "X-Request-Id");
    if (!responseId.empty() && responseId != requestId) {
        result.isMismatched = true;
        result.message = "the answer names request " + responseId;
        return result;
    }
    result.outcome = DispatchOutcome::Completed;
    result.response = *response;
    return result;
}

} // namespace bronzeswitch
