#include <algorithm>
#include <base/Hash.h>
#include <gateway/CallerFingerprint.h>
#include <string>

namespace bronzeswitch {

namespace {

constexpr std::size_t hashedBodyBytes = 4096; // A body may have megabytes, and nodes have a tenth of a core.

} // namespace

uint64_t callerFingerprint(const SlotRequest& request, std::string_view target, std::string_view body)
{
    uint64_t hash = stableHash(request.route, stableHash(request.organisation));
    if (!request.prefixes.empty())
        hash = stableHash(std::to_string(request.prefixes.back().hash), hash); // The longest prefix covers the whole prompt.
    else
        hash = stableHash(body.substr(0, hashedBodyBytes), stableHash(std::to_string(body.size()), stableHash(target, hash)));
    return std::max<uint64_t>(1, hash);
}

} // namespace bronzeswitch
