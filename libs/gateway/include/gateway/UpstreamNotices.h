#pragma once

#include <gateway/DecisionLog.h>
#include <gateway/HeaderCodec.h>
#include <gateway/UpstreamDirectory.h>
#include <protocol/Messages.h>

#include <functional>
#include <string>
#include <vector>

namespace bronzeswitch {

/**
 * Applies what upstreams state about themselves in their responses, together with the other nodes.
 *
 * An upstream's own statement is newer than the directory, and reaches this node also while the directory's source does not. Reports
 * repeat the statements, so no message has to arrive.
 *
 *     notices.onResponse(upstream, metadata);
 *     report.notices = notices.entries(directory);
 */
class UpstreamNotices {
public:
    /** Connection to the node. */
    struct Callbacks {
        std::function<bool(const std::function<bool(UpstreamDirectory&)>&)> updateDirectory; /**< See GatewayNode::updateDirectory(). */
        std::function<void()> onChange; /**< Called when the notices have changed, so that the next report comes soon. */
    };

    explicit UpstreamNotices(DecisionLog&);

    void connect(Callbacks);

    /** Processes what an upstream states in a response to a request of this node. */
    void onResponse(const UpstreamEntry&, const ResponseMetadata&);

    /** Processes the notices that a peer has reported. */
    void onPeerNotices(const std::string& from, const std::vector<UpstreamNotice>&);

    /** @return the notices of upstreams in the directory, for this node's reports. */
    std::vector<UpstreamNotice> entries(const UpstreamDirectory&) const;

private:
    void setLeaving(const std::string& upstream, int64_t startedAt, const std::string& source);

    DecisionLog& m_log;
    Callbacks m_callbacks;
};

} // namespace bronzeswitch
