#pragma once

#include <base/Error.h>
#include <http/HttpClient.h>

#include <nlohmann/json.hpp>

namespace bronzeswitch {

/** Sends a JSON request and reads a JSON answer; the error says whether the request may have had its effect. */
Result<nlohmann::json> jsonCall(
    const std::string& authority, const std::string& method, const std::string& path, const std::string& body, Duration timeout);

} // namespace bronzeswitch
