#include <algorithm>
#include <gateway/ResourceShares.h>
#include <sys/resource.h>

namespace bronzeswitch {

namespace {

constexpr std::size_t fileDescriptors = 200; // Of each process, for files.
constexpr std::size_t shares = 16; // 7 for callers, 7 for upstreams and the store, 1 for peers, 1 for the readiness port.
constexpr std::size_t callerShares = 7;
constexpr std::size_t minConnections = 8;
constexpr std::size_t maxServerConnections = 256; // To the ports for peers and readiness; these requests are short.
constexpr std::size_t connectionBytes = 8UL * 1024; // Of an idle connection with its tasks, without its request.
constexpr std::size_t memoryShareDivisor = 8; // For callers' idle connections.

} // namespace

ResourceShares ResourceShares::of(std::size_t descriptors, std::size_t memoryBytes)
{
    ResourceShares result;
    result.peers = result.readiness = maxServerConnections;
    if (descriptors > 0) {
        const auto share = (descriptors > fileDescriptors ? descriptors - fileDescriptors : 0) / shares;
        result.callers = std::max(minConnections, callerShares * share);
        result.peers = result.readiness = std::clamp(share, minConnections, maxServerConnections);
    }
    if (memoryBytes > 0) {
        const auto fitting = std::max(minConnections, memoryBytes / memoryShareDivisor / connectionBytes);
        result.callers = result.callers > 0 ? std::min(result.callers, fitting) : fitting;
    }
    return result;
}

std::size_t descriptorLimit()
{
    rlimit limit {};
    const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return isKnown ? static_cast<std::size_t>(limit.rlim_cur) : 0;
}

} // namespace bronzeswitch
