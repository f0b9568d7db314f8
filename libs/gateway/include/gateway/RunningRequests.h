#pragma once

#include <base/TimerService.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bronzeswitch {

/**
 * The requests that this node runs, with the nodes that granted their slots, and the load that they put on each upstream.
 *
 *     requests.start(id, { grantor, now, heldTokens }, upstream);
 *     ...
 *     const auto request = requests.end(id, upstream);
 */
class RunningRequests {
public:
    /** A request that runs. */
    struct Request {
        std::string grantor; /**< Node that granted the slot. */
        TimePoint startedAt {};
        int heldTokens = 0; /**< Prompt and expected output tokens. */

        bool operator==(const Request&) const = default;
    };

    /** Requests at one upstream. */
    struct Load {
        int requests = 0;
        int heldTokens = 0; /**< Prompt and expected output tokens. */

        bool operator==(const Load&) const = default;
    };

    /** Adds a request. */
    void start(uint64_t id, const Request&, const std::string& upstream);

    /** Removes a request. @return the request, or none if it is not known. */
    std::optional<Request> end(uint64_t id, const std::string& upstream);

    /** @return true if the request runs with a slot that the node granted. */
    bool isGrantedBy(uint64_t id, const std::string& grantor) const;

    /** @return the load on one upstream. */
    Load at(const std::string& upstream) const;

    const std::map<std::string, Load>& byUpstream() const { return m_loads; }
    int count() const;

private:
    std::map<uint64_t, Request> m_requests; /**< By request identifier. */
    std::map<std::string, Load> m_loads;
};

} // namespace bronzeswitch
