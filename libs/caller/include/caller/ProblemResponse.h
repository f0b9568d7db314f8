#pragma once

#include <base/Problem.h>
#include <http/HttpMessage.h>

namespace bronzeswitch {

/** @return the problem as a response with Retry-After where it has one. */
HttpResponse toResponse(const Problem&);

/** @return the problem as an error event, to end a stream that has begun. */
std::string toStreamErrorEvent(const Problem&);

} // namespace bronzeswitch
