#pragma once

#include <protocol/Messages.h>

#include <cstdint>
#include <string_view>

namespace bronzeswitch {

/**
 * Identifies a caller's request by what stays the same when the caller tries again: organisation, route, and the parts of its prompt,
 * or its target and body if it states none. Of a long body, only the beginning and the size count.
 * @param request with its organisation, route and prefixes.
 * @return the hash, never 0. Equal requests of several callers can't be told apart.
 */
uint64_t callerFingerprint(const SlotRequest& request, std::string_view target, std::string_view body);

} // namespace bronzeswitch
