#include <gateway/UpstreamNotices.h>

namespace bronzeswitch {

UpstreamNotices::UpstreamNotices(DecisionLog& log)
    : m_log(log)
{
}

void UpstreamNotices::connect(Callbacks callbacks) { m_callbacks = std::move(callbacks); }

void UpstreamNotices::onResponse(const UpstreamEntry& upstream, const ResponseMetadata& metadata)
{
    if (metadata.isLeaving)
        setLeaving(upstream.id, upstream.startedAt, "response");
}

void UpstreamNotices::onPeerNotices(const std::string& from, const std::vector<UpstreamNotice>& notices)
{
    for (const auto& notice : notices) {
        if (notice.isLeaving)
            setLeaving(notice.upstream, notice.startedAt, from);
    }
}

void UpstreamNotices::setLeaving(const std::string& upstream, int64_t startedAt, const std::string& source)
{
    if (!m_callbacks.updateDirectory([&](UpstreamDirectory& directory) { return directory.setLeaving(upstream, startedAt); }))
        return;
    m_log.write(events::upstreamNotice, { { "upstream", upstream }, { "leaving", true }, { "source", source } });
    m_callbacks.onChange();
}

std::vector<UpstreamNotice> UpstreamNotices::entries(const UpstreamDirectory& directory) const
{
    std::vector<UpstreamNotice> result;
    for (const auto& [upstream, startedAt] : directory.leaving())
        result.push_back({ upstream, startedAt, true });
    return result;
}

} // namespace bronzeswitch
