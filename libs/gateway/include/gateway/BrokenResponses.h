#pragma once

#include <gateway/GatewayContext.h>

#include <string>

namespace bronzeswitch {

/**
 * Counts responses that break off against the versions of their upstreams.
 *
 * Load pattern: a version breaks off a part of its responses, and others are sound. An upstream that crashes breaks off all that it runs,
 * whatever its version; so a response counts only if its upstream still accepts connections a moment later.
 *
 *     brokenResponses.onBroken(service, route, upstream);
 */
class BrokenResponses {
public:
    explicit BrokenResponses(GatewayContext& context)
        : m_context(context)
    {
    }

    /** Records that an upstream broke a response off. Nothing is checked unless the service has a rollout that is not decided. */
    void onBroken(const std::string& service, const std::string& route, const UpstreamEntry&);

private:
    Task<void> count(std::string service, std::string route, UpstreamEntry);

    GatewayContext& m_context;
    int m_checks = 0; /**< That are running. */
};

} // namespace bronzeswitch
