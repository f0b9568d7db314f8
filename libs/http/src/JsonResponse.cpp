#include <http/JsonResponse.h>

namespace bronzeswitch {

void sendJson(HttpResponder& responder, int status, const nlohmann::json& body)
{
    responder.send({ status, { { "Content-Type", "application/json" } }, body.dump() });
}

} // namespace bronzeswitch
