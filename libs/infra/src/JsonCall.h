#pragma once

#include <base/Error.h>
#include <http/HttpClient.h>

#include <nlohmann/json.hpp>

namespace bronzeswitch {

/**
 * Sends a request with a JSON body and parses the JSON response.
 *
 * @param body JSON text, or empty.
 * @param timeout for the whole call.
 * @return the document of a successful response. Unavailable if the request was not sent or the response is 503: it had no effect.
 *     Timeout if it may have had one: the response is missing or has another status. Stale if the response is 409, Protocol if the
 *     body of a successful one is not JSON.
 */
Result<nlohmann::json> jsonCall(
    const std::string& authority, const std::string& method, const std::string& path, const std::string& body, Duration timeout);

} // namespace bronzeswitch
