#pragma once

#include <base/TimerService.h>

#include <deque>
#include <map>
#include <set>
#include <string>

namespace bronzeswitch {

/** How recent requests to one upstream ended. */
struct UpstreamResults {
    int succeeded = 0;
    int failed = 0;

    bool operator==(const UpstreamResults&) const = default;
};

/**
 * Finds upstreams that fail many of their requests although they respond.
 *
 * Load pattern: one of a few plain upstreams fails nearly half of its requests while its health check is good, and each of many nodes
 * sends it less than a request a second, so none sees several failures in a row. The nodes therefore share their counts of a short
 * window, and an upstream is suspected by their sum. A suspected upstream gets hardly any requests and so gives no further
 * evidence; the suspicion ends after a fixed time, and the next requests show whether it still fails.
 */
class FailureCounts {
public:
    /** Records the end of a request of this node. */
    void onResult(const std::string& upstream, bool isFailed, TimePoint now);

    /** @return this node's counts of the window, for its reports to peers. */
    std::map<std::string, UpstreamResults> own(TimePoint now);

    /** Replaces the counts that a peer has reported. */
    void setPeer(const std::string& peer, std::map<std::string, UpstreamResults>);

    /** Forgets a lost peer. */
    void removePeer(const std::string& peer) { m_peers.erase(peer); }

    /** Updates the suspicions. @return the upstreams that this node suspects by the counts it knows. */
    std::set<std::string> suspects(TimePoint now);

private:
    struct Result {
        TimePoint time;
        std::string upstream;
        bool isFailed = false;
    };

    void dropExpired(TimePoint now);

    std::deque<Result> m_results; /**< Of this node, within the window. */
    std::map<std::string, std::map<std::string, UpstreamResults>> m_peers;
    std::map<std::string, TimePoint> m_suspectedUntil;
};

} // namespace bronzeswitch
