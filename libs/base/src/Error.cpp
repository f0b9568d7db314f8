#include <base/Error.h>

namespace bronzeswitch {

const char* toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid-argument";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::Protocol:
        return "protocol";
    case ErrorCode::Stale:
        return "stale";
    case ErrorCode::Exhausted:
        return "exhausted";
    }
    return "unknown";
}

tl::unexpected<Error> fail(ErrorCode code, std::string message) { return tl::unexpected<Error>(Error { code, std::move(message) }); }

std::string format(const Findings& findings)
{
    std::string text;
    for (const auto& finding : findings)
        text += finding.place + ": " + finding.message + "\n";
    return text;
}

} // namespace bronzeswitch
