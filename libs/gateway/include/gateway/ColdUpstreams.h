#pragma once

#include <gateway/DecisionLog.h>
#include <gateway/HeaderCodec.h>
#include <gateway/RoutingTable.h>
#include <gateway/UpstreamDirectory.h>
#include <protocol/Messages.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bronzeswitch {

/**
 * Knows which upstreams are cold after a start, or may be, until when, and from which source.
 *
 * An upstream states in its directory entry and in responses for how long it is still cold. It restarts before anybody reads that, so it
 * counts as possibly cold after a new start, a lost or refused connection, the return of its removed entry, and the end of an evacuation.
 * This ends when an entry or a response that it has written later says otherwise, at the latest after the service's cold time and a
 * margin. A node announces what it has found by itself; of the statements of several nodes, the one that lasts longest counts.
 * Only upstreams of services that state what a cold upstream tolerates are judged.
 *
 *     cold.onEntry(entry, directory.find(entry.id), now);
 *     cold.onConnectionLost(entry, now);
 *     if (cold.isCold(entry.id, now)) ...
 */
class ColdUpstreams {
public:
    /** Connection to the node. */
    struct Callbacks {
        std::function<const GatewayService*(const std::string& service)> findService; /**< @return null if it is not known. */
        std::function<void(const UpstreamEntry&, TimePoint until)> onChange; /**< Called when the end of the time has changed. */
        std::function<int64_t()> unixTime; /**< @return the time of day in Unix milliseconds. */
    };

    explicit ColdUpstreams(DecisionLog&);

    void connect(Callbacks);

    /** Processes an entry that is not outdated, before the directory gets it, also if only its heartbeat has changed. */
    void onEntry(const UpstreamEntry&, const UpstreamDirectory&, TimePoint now);

    /** Processes what an upstream states in a response. @param sentAt when the request was sent. */
    void onResponse(const UpstreamEntry&, const ResponseMetadata&, TimePoint sentAt, TimePoint now);

    /** Records that an upstream has refused or broken off a connection: it may be starting again. */
    void onConnectionLost(const UpstreamEntry&, TimePoint now);

    /** Marks the upstreams of a data centre as possibly cold, since its evacuation has ended: they were idle, or started meanwhile. */
    void onEvacuationEnded(const UpstreamDirectory&, const std::string& dataCentre, TimePoint now);

    /** Processes what a peer has announced. */
    void onPeerNotices(const std::string& from, const std::vector<UpstreamNotice>&, const UpstreamDirectory&, TimePoint now);

    /** @return what this node has found since the last call, for its peers. Limited in number; the rest follows with the next call. */
    std::vector<UpstreamNotice> takeAnnouncements(TimePoint now);

    /** @return true if upstreams of the service are judged. */
    bool isLimited(const std::string& service) const { return limitedService(service); }

    /** @return until when the upstream is cold or possibly cold; a time in the past if it is not. */
    TimePoint coldUntil(const std::string& upstream) const;
    bool isCold(const std::string& upstream, TimePoint now) const { return now < coldUntil(upstream); }

    /** @return true if a grant at the upstream is so old that its request might add up with those of newer grants. */
    bool isStale(const UpstreamEntry&, TimePoint grantedAt, TimePoint now) const;

    /** Logs the upstreams that are no longer cold. Called periodically. */
    void tick(TimePoint now);

    /** Forgets upstreams that left the directory long ago, if there are many. Called periodically. */
    void dropExcess(const UpstreamDirectory&);

    /** @return the number of upstreams that are cold or may be. */
    std::size_t count() const { return m_cold.size(); }

private:
    struct State {
        int64_t startedAt = 0;
        std::optional<int64_t> sequence; /**< Of the last entry. */
        TimePoint until {};
        TimePoint foundAt {}; /**< When this node last found that the upstream may be cold. */
        std::optional<int64_t> clearingSequence; /**< Entries from this number on were written after that. */
    };

    struct Found {
        const char* source;
        int entriesInTransit; /**< Entries that may still come although they were written before. */
        bool isAnnounced;
    };

    struct Statement {
        Duration remaining;
        const char* source;
        bool isLater; /**< Made after this node last found that the upstream may be cold. */
    };

    const GatewayService* limitedService(const std::string& service) const;
    Duration longestColdTime(const UpstreamEntry&) const;
    bool isWrittenLater(const State&, const UpstreamEntry&, TimePoint now) const;
    void markPossiblyCold(const UpstreamEntry&, const Found&, TimePoint now);
    bool applyStatement(const UpstreamEntry&, State&, const Statement&, TimePoint now);
    void setUntil(const UpstreamEntry&, State&, TimePoint until, const char* source, TimePoint now);

    DecisionLog& m_log;
    Callbacks m_callbacks;
    std::map<std::string, State> m_states; /**< By identifier; of all upstreams that have had an entry. */
    std::map<std::string, std::string> m_cold; /**< Identifiers of the upstreams that may be cold, with the source. */
    std::map<std::string, UpstreamNotice> m_announcements;
};

} // namespace bronzeswitch
