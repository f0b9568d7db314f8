#pragma once

#include <http/HttpServer.h>
#include <nlohmann/json.hpp>

namespace bronzeswitch {

/** Sends a whole response with a JSON document as its body. */
void sendJson(HttpResponder&, int status, const nlohmann::json& body);

} // namespace bronzeswitch
