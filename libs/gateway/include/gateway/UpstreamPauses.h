#pragma once

#include <gateway/UpstreamDirectory.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeswitch {

/**
 * The upstreams that want no request from this node for a time, as they stated when they turned one away.
 *
 * Load pattern: an upstream that has no room answers each request with a refusal at once, so its slots look free and the next
 * request goes there again. The pause is between one node and one upstream: other nodes may still send requests there.
 *
 *     pauses.onRefused(upstream, retryAfter, now);
 *     request.excluded = pauses.upstreams(directory, service, now);
 */
class UpstreamPauses {
public:
    /** Records that an upstream wants no request for a time. A shorter time does not end a longer pause. */
    void onRefused(const UpstreamEntry&, Duration retryAfter, TimePoint now);

    /** @return true if the upstream, since its last start, wants no request now. */
    bool isPaused(const UpstreamEntry&, TimePoint now) const;

    /** @return the upstreams of a service that want no request now. */
    std::vector<std::string> upstreams(const UpstreamDirectory&, const std::string& service, TimePoint now) const;

    /** @return the time until the first pause of a service's upstreams ends; none if no upstream is paused. */
    std::optional<Duration> shortest(const UpstreamDirectory&, const std::string& service, TimePoint now) const;

    /** Forgets the pauses that have ended. Called periodically. */
    void expire(TimePoint now);

private:
    struct Pause {
        int64_t startedAt = 0; /**< Unix milliseconds of the upstream's start. */
        TimePoint until {};
    };

    std::map<std::string, Pause> m_pauses; /**< By identifier of the upstream. */
};

} // namespace bronzeswitch
