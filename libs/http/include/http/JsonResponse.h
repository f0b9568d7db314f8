#pragma once

#include <http/HttpServer.h>
#include <nlohmann/json.hpp>

namespace bronzeswitch {

/** Sends a JSON document as a whole response. */
void sendJson(HttpResponder&, int status, const nlohmann::json& body);

} // namespace bronzeswitch
