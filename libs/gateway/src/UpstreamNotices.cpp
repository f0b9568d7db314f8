#include <algorithm>
#include <cmath>
#include <gateway/UpstreamNotices.h>
#include <net/Async.h>

namespace bronzeswitch {

namespace {

constexpr Duration maxReportedAge { 30000 }; // Limits of upstreams that get requests are stated again sooner.
constexpr std::size_t maxLimits = 4096; // More than upstreams exist.
constexpr double limitUnit = 1000; // Reports carry requests in this number of seconds.

// Returns true if the upstream that made a statement is the one that the directory knows, not an earlier start of it.
bool isCurrent(const UpstreamDirectory& directory, const std::string& upstream, int64_t startedAt)
{
    const auto* entry = directory.find(upstream);
    return entry && entry->startedAt == startedAt;
}

int64_t toReported(std::optional<double> perSecond) { return perSecond ? std::llround(std::min(*perSecond, 1e9) * limitUnit) : -1; }

std::optional<double> fromReported(int64_t limit)
{
    return limit < 0 ? std::nullopt : std::optional(static_cast<double>(limit) / limitUnit);
}

} // namespace

UpstreamNotices::UpstreamNotices(DecisionLog& log)
    : m_log(log)
{
}

void UpstreamNotices::connect(Callbacks callbacks) { m_callbacks = std::move(callbacks); }

void UpstreamNotices::onResponse(const UpstreamEntry& upstream, const ResponseMetadata& metadata, TimePoint now)
{
    if (metadata.isLeaving)
        setLeaving(upstream.id, upstream.startedAt, "response");
    if (metadata.requestLimit || m_limits.contains(upstream.id))
        setLimit(upstream.id, { upstream.startedAt, fromReported(toReported(metadata.requestLimit)), now }, "response");
}

void UpstreamNotices::onPeerNotices(const std::string& from, const std::vector<UpstreamNotice>& notices, TimePoint now)
{
    for (const auto& notice : notices) {
        if (notice.isLeaving)
            setLeaving(notice.upstream, notice.startedAt, from);
        const bool hasLimitStatement = notice.limitAgeMs >= 0 && notice.limitAgeMs <= maxReportedAge.count();
        if (hasLimitStatement)
            setLimit(notice.upstream, { notice.startedAt, fromReported(notice.requestLimit), now - Duration(notice.limitAgeMs) }, from);
    }
}

void UpstreamNotices::setLeaving(const std::string& upstream, int64_t startedAt, const std::string& source)
{
    if (!m_callbacks.updateDirectory([&](UpstreamDirectory& directory) { return directory.setLeaving(upstream, startedAt); }))
        return;
    m_log.write(events::upstreamNotice, { { "upstream", upstream }, { "leaving", true }, { "source", source } });
    m_callbacks.onChange();
}

void UpstreamNotices::setLimit(const std::string& upstream, const LimitStatement& statement, const std::string& source)
{
    auto& known = m_limits[upstream];
    const bool isOutdated
        = statement.startedAt < known.startedAt || (statement.startedAt == known.startedAt && statement.statedAt <= known.statedAt);
    if (isOutdated)
        return;
    const auto before = std::exchange(known, statement);
    if (before.perSecond == statement.perSecond && before.startedAt == statement.startedAt)
        return;
    m_log.write(events::upstreamNotice,
        { { "upstream", upstream }, { "requestsPerSecond", statement.perSecond ? nlohmann::json(*statement.perSecond) : nlohmann::json() },
            { "source", source } });
    m_callbacks.onLimitChange();
    if (before.perSecond.has_value() != statement.perSecond.has_value())
        m_callbacks.onChange();
}

std::vector<UpstreamNotice> UpstreamNotices::entries(const UpstreamDirectory& directory, TimePoint now) const
{
    std::map<std::string, UpstreamNotice> notices;
    for (const auto& [upstream, startedAt] : directory.leaving())
        notices[upstream] = { upstream, startedAt, true };
    addLimits(notices, directory, now);
    std::vector<UpstreamNotice> result;
    for (auto& [upstream, notice] : notices)
        result.push_back(std::move(notice));
    return result;
}

void UpstreamNotices::addLimits(std::map<std::string, UpstreamNotice>& notices, const UpstreamDirectory& directory, TimePoint now) const
{
    for (const auto& [upstream, statement] : m_limits) {
        const auto age = std::chrono::duration_cast<Duration>(now - statement.statedAt);
        if (age > maxReportedAge || !isCurrent(directory, upstream, statement.startedAt))
            continue;
        auto& notice = notices[upstream];
        notice.upstream = upstream;
        notice.startedAt = statement.startedAt;
        notice.limitAgeMs = age.count();
        notice.requestLimit = toReported(statement.perSecond);
    }
}

std::map<std::string, double> UpstreamNotices::requestLimits(const UpstreamDirectory& directory) const
{
    std::map<std::string, double> result;
    for (const auto& [upstream, statement] : m_limits) {
        if (statement.perSecond && isCurrent(directory, upstream, statement.startedAt))
            result[upstream] = *statement.perSecond;
    }
    return result;
}

void UpstreamNotices::dropExcess(const UpstreamDirectory& directory)
{
    if (m_limits.size() > maxLimits)
        std::erase_if(m_limits, [&](const auto& item) { return !directory.find(item.first); });
}

} // namespace bronzeswitch
