#include "JsonCall.h"

#include <base/HttpStatus.h>

namespace bronzeswitch {

Result<nlohmann::json> jsonCall(
    const std::string& authority, const std::string& method, const std::string& path, const std::string& body, Duration timeout)
{
    CallOptions options;
    options.totalTimeout = timeout;
    options.idleTimeout = timeout;
    const auto response = httpCall({ method, path, { { "Content-Type", "application/json" } }, body, "" }, authority, options);
    if (!response) {
        const bool mayHaveTakenEffect = response.error().stage != CallStage::NotSent;
        return fail(
            mayHaveTakenEffect ? ErrorCode::Timeout : ErrorCode::Unavailable, method + " " + path + ": " + response.error().message);
    }
    if (response->status == httpstatus::serviceUnavailable)
        return fail(ErrorCode::Unavailable, method + " " + path + ": service unavailable");
    if (response->status == httpstatus::conflict)
        return fail(ErrorCode::Stale, method + " " + path + ": " + response->body);
    if (!response->isSuccess())
        return fail(ErrorCode::Timeout, method + " " + path + ": status " + std::to_string(response->status));
    auto value = nlohmann::json::parse(response->body, nullptr, false);
    if (value.is_discarded())
        return fail(ErrorCode::Protocol, method + " " + path + ": response is not JSON");
    return value;
}

} // namespace bronzeswitch
