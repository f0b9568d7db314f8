#pragma once

#include <base/Problem.h>
#include <http/HttpMessage.h>

namespace bronzeswitch {

/** @return the problem document as a response, with a Retry-After header (whole seconds, rounded up) if the problem has a retry time. */
HttpResponse toResponse(const Problem&);

/** @return the problem as a server-sent event named "error", to end a stream that has already started. */
std::string toStreamErrorEvent(const Problem&);

} // namespace bronzeswitch
