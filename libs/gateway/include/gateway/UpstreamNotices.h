#pragma once

#include <gateway/DecisionLog.h>
#include <gateway/HeaderCodec.h>
#include <gateway/UpstreamDirectory.h>
#include <protocol/Messages.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeswitch {

/**
 * Applies what upstreams state about themselves in their responses, together with the other nodes.
 *
 * An upstream's own statement is newer than the directory, and reaches this node also while the directory's source does not. The node
 * that gets it announces it to the nodes that it knows, among them all delegates, on which the homes of pools lie; the
 * delegates' reports to each other repeat the statements, so no message has to arrive. That an upstream leaves holds until it starts again.
 * A request limit holds until a later response states another one or none; of the statements of several nodes, the latest
 * counts.
 *
 *     notices.onResponse(upstream, metadata);
 *     report.notices = notices.entries(directory);
 */
class UpstreamNotices {
public:
    /** Connection to the node. */
    struct Callbacks {
        std::function<bool(const std::function<bool(UpstreamDirectory&)>&)> updateDirectory; /**< See GatewayNode::updateDirectory(). */
        std::function<void()> onLimitChange; /**< Called when requestLimits() has changed. */
        std::function<void(const Message&)> broadcast; /**< Sends to all known nodes. */
        std::function<int64_t()> unixTime; /**< @return the time of day in Unix milliseconds. */
    };

    explicit UpstreamNotices(DecisionLog&);

    void connect(Callbacks);

    /** Processes what an upstream states in a response to a request of this node. */
    void onResponse(const UpstreamEntry&, const ResponseMetadata&, TimePoint now);

    /** Announces again that an upstream leaves: its home, which has granted a slot there, does not know. Limited to once in a while. */
    void onWithheld(const UpstreamEntry&, TimePoint now);

    /** Processes the notices that a peer has announced or reported. */
    void onPeerNotices(const std::string& from, const std::vector<UpstreamNotice>&, TimePoint now);

    /** @return the notices of upstreams in the directory, for this node's reports. */
    std::vector<UpstreamNotice> entries(const UpstreamDirectory&, TimePoint now) const;

    /** @return the requests a second that upstreams in the directory take from all nodes together, if they state a limit. */
    std::map<std::string, double> requestLimits(const UpstreamDirectory&) const;

    /** Forgets statements of upstreams that are no longer in the directory, if there are many. Called periodically. */
    void dropExcess(const UpstreamDirectory&);

private:
    struct LimitStatement {
        int64_t startedAt = 0; /**< Unix milliseconds of the upstream's start. */
        std::optional<double> perSecond;
        TimePoint statedAt {};
    };

    /** @return true if that is new to the directory. */
    bool setLeaving(const std::string& upstream, int64_t startedAt, const std::string& source);
    void onLeavingResponse(const UpstreamEntry&, TimePoint now);
    void onLimitResponse(const UpstreamEntry&, std::optional<double> perSecond, TimePoint now);

    /** @return true if the limit is new or has changed considerably. */
    bool setLimit(const std::string& upstream, const LimitStatement&, const std::string& source);
    void announce(const UpstreamNotice&, TimePoint now);
    void addLimits(std::vector<UpstreamNotice>&, const UpstreamDirectory&, TimePoint now) const;

    DecisionLog& m_log;
    Callbacks m_callbacks;
    std::map<std::string, TimePoint> m_announcedAt; /**< When this node last announced something about an upstream. */
    std::map<std::string, LimitStatement> m_limits; /**< The latest statements of upstreams that have stated a limit, by identifier. */
};

} // namespace bronzeswitch
