#pragma once

#include <sched/FailureCounts.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bronzeswitch {

/**
 * The upstreams that fail many of their requests, by this node's counts and those of its peers, or that a peer suspects.
 *
 *     suspected.onResult("e1", isFailure, now);
 *     if (suspected.update(now))
 *         scheduler.setSuspects(suspected.all());
 */
class SuspectedUpstreams {
public:
    /** Counts the end of a request. */
    void onResult(const std::string& upstream, bool isFailure, TimePoint now) { m_counts.onResult(upstream, isFailure, now); }

    /** Replaces a peer's counts. */
    void setPeerResults(const std::string& peer, std::map<std::string, UpstreamResults> results)
    {
        m_counts.setPeer(peer, std::move(results));
    }

    /** Replaces the upstreams that a peer suspects. */
    void setPeerSuspects(const std::string& peer, const std::vector<std::string>& suspects)
    {
        m_peerSuspects[peer] = { suspects.begin(), suspects.end() };
    }

    void removePeer(const std::string& peer);

    /** @return this node's recent counts by upstream. */
    std::map<std::string, UpstreamResults> ownResults(TimePoint now) { return m_counts.own(now); }

    /** @return the upstreams suspected by counts, to report to peers. */
    std::vector<std::string> byCounts(TimePoint now);

    /** Determines the suspected upstreams anew. @return true if they have changed. */
    bool update(TimePoint now);

    /** @return the suspected upstreams at the last update. */
    const std::set<std::string>& all() const { return m_all; }

private:
    FailureCounts m_counts;
    std::map<std::string, std::set<std::string>> m_peerSuspects;
    std::set<std::string> m_all;
};

} // namespace bronzeswitch
