#pragma once

#include <gateway/GatewayContext.h>

#include <string>

namespace bronzeswitch {

/**
 * Checks whether a request may be sent to an upstream, to this node's own knowledge, which may be newer than that of the slot's grantor.
 * @param service that the request is for.
 * @param upstream identifier of the upstream that the slot was granted at.
 * @param grantedAt when the slot was granted.
 * @return why the request must not be sent there, or null if it may be.
 */
const char* reasonToWithhold(GatewayContext&, const std::string& service, const std::string& upstream, TimePoint grantedAt, TimePoint now);

} // namespace bronzeswitch
