#include <algorithm>
#include <gateway/UpstreamPauses.h>

namespace bronzeswitch {

void UpstreamPauses::onRefused(const UpstreamEntry& upstream, Duration retryAfter, TimePoint now)
{
    auto& pause = m_pauses[upstream.id];
    if (pause.startedAt != upstream.startedAt)
        pause = { upstream.startedAt, {} };
    pause.until = std::max(pause.until, now + retryAfter);
}

bool UpstreamPauses::isPaused(const UpstreamEntry& upstream, TimePoint now) const
{
    const auto found = m_pauses.find(upstream.id);
    return found != m_pauses.end() && found->second.startedAt == upstream.startedAt && now < found->second.until;
}

std::vector<std::string> UpstreamPauses::upstreams(const UpstreamDirectory& directory, const std::string& service, TimePoint now) const
{
    std::vector<std::string> result;
    for (const auto& [id, pause] : m_pauses) {
        const auto* entry = directory.find(id);
        if (entry && entry->service == service && isPaused(*entry, now))
            result.push_back(id);
    }
    return result;
}

std::optional<Duration> UpstreamPauses::shortest(const UpstreamDirectory& directory, const std::string& service, TimePoint now) const
{
    std::optional<Duration> result;
    for (const auto& id : upstreams(directory, service, now)) {
        const auto left = std::chrono::ceil<Duration>(m_pauses.at(id).until - now);
        result = result ? std::min(*result, left) : left;
    }
    return result;
}

void UpstreamPauses::expire(TimePoint now)
{
    std::erase_if(m_pauses, [&](const auto& item) { return item.second.until <= now; });
}

} // namespace bronzeswitch
