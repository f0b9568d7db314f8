#pragma once

#include <gateway/GatewayContext.h>
#include <net/UpstreamConnection.h>

#include <cstdint>
#include <optional>
#include <string>

namespace bronzeswitch {

/** Reads the bodies of upstreams' responses to one request, within the memory that the node has for all responses. */
class BodyReader {
public:
    /** @param requestId identifier of the request, for the log. */
    BodyReader(GatewayContext&, std::string requestId);

    /**
     * Reads a body completely.
     * @param upstream identifier of the upstream whose memory the body counts in.
     * @param limit size in bytes.
     * @return Protocol if the body is larger, Exhausted if it had to be given up although it states a length within the limit.
     */
    Task<Result<BufferedBody>> read(const std::string& upstream, UpstreamConnection&, std::size_t limit, TimePoint deadline) const;

    /** Logs that a response had to be given up. @return the error, which tells whether that shows a fault of the upstream. */
    Error recordGivenUp(const std::string& upstream, std::optional<uint64_t> statedLength, std::size_t bytes) const;

private:
    GatewayContext& m_context;
    std::string m_requestId;
};

} // namespace bronzeswitch
