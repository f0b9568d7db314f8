#include <algorithm>
#include <cmath>
#include <gateway/UpstreamNotices.h>
#include <net/Async.h>

namespace bronzeswitch {

namespace {

constexpr Duration maxReportedAge { 30000 }; // Limits of upstreams that get requests are stated again sooner.
constexpr std::size_t maxLimits = 4096; // More than upstreams exist.
constexpr std::size_t maxReportedNotices = 64;
constexpr Duration announcementInterval {
    5000
}; // For a limit that goes on; reports carry it as long as it is younger than maxReportedAge.
constexpr Duration reminderInterval { 500 };
constexpr Duration clockTolerance { 2000 }; // Difference between this node's time of day and an upstream's.
constexpr double considerableChange = 0.1; // Part of a limit.
constexpr double limitUnit = 1000; // Reports carry requests in this number of seconds.

// Returns true if the upstream that made a statement is the one that the directory knows, not an earlier start of it.
bool isCurrent(const UpstreamDirectory& directory, const std::string& upstream, int64_t startedAt)
{
    const auto* entry = directory.find(upstream);
    return entry && entry->startedAt == startedAt;
}

// The directory may still name an earlier start than the one that has responded, which had begun before its response.
int64_t latestPossibleStart(const UpstreamEntry& upstream, int64_t unixTime)
{
    return std::max<int64_t>(upstream.startedAt, unixTime - clockTolerance.count());
}

int64_t toReported(std::optional<double> perSecond) { return perSecond ? std::llround(std::min(*perSecond, 1e9) * limitUnit) : -1; }

std::optional<double> fromReported(int64_t limit)
{
    return limit < 0 ? std::nullopt : std::optional(static_cast<double>(limit) / limitUnit);
}

bool isConsiderableChange(std::optional<double> before, std::optional<double> after)
{
    if (!before || !after)
        return before.has_value() != after.has_value();
    return std::abs(*before - *after) > considerableChange * *before;
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
        onLeavingResponse(upstream, now);
    if (metadata.requestLimit || m_limits.contains(upstream.id))
        onLimitResponse(upstream, metadata.requestLimit, now);
}

void UpstreamNotices::onLeavingResponse(const UpstreamEntry& upstream, TimePoint now)
{
    const auto latestStart = latestPossibleStart(upstream, m_callbacks.unixTime());
    if (setLeaving(upstream.id, latestStart, "response"))
        announce({ upstream.id, latestStart, true }, now);
}

void UpstreamNotices::onLimitResponse(const UpstreamEntry& upstream, std::optional<double> perSecond, TimePoint now)
{
    const auto reported = toReported(perSecond);
    const bool isNews = setLimit(upstream.id, { upstream.startedAt, fromReported(reported), now }, "response");
    if (isNews || (perSecond && now - m_announcedAt[upstream.id] > announcementInterval))
        announce({ upstream.id, upstream.startedAt, false, 0, reported }, now);
}

void UpstreamNotices::onWithheld(const UpstreamEntry& upstream, TimePoint now)
{
    if (upstream.isDraining && now - m_announcedAt[upstream.id] > reminderInterval)
        announce({ upstream.id, upstream.startedAt, true }, now);
}

void UpstreamNotices::announce(const UpstreamNotice& notice, TimePoint now)
{
    m_announcedAt[notice.upstream] = now;
    m_callbacks.broadcast(NoticeUpdate { { notice } });
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

bool UpstreamNotices::setLeaving(const std::string& upstream, int64_t startedAt, const std::string& source)
{
    if (!m_callbacks.updateDirectory([&](UpstreamDirectory& directory) { return directory.setLeaving(upstream, startedAt); }))
        return false;
    m_log.write(events::upstreamNotice, { { "upstream", upstream }, { "leaving", true }, { "source", source } });
    return true;
}

bool UpstreamNotices::setLimit(const std::string& upstream, const LimitStatement& statement, const std::string& source)
{
    auto& known = m_limits[upstream];
    const bool isOutdated
        = statement.startedAt < known.startedAt || (statement.startedAt == known.startedAt && statement.statedAt <= known.statedAt);
    if (isOutdated)
        return false;
    const auto before = std::exchange(known, statement);
    if (before.perSecond == statement.perSecond && before.startedAt == statement.startedAt)
        return false;
    m_log.write(events::upstreamNotice,
        { { "upstream", upstream }, { "requestsPerSecond", statement.perSecond ? nlohmann::json(*statement.perSecond) : nlohmann::json() },
            { "source", source } });
    m_callbacks.onLimitChange();
    return isConsiderableChange(before.perSecond, statement.perSecond);
}

std::vector<UpstreamNotice> UpstreamNotices::entries(const UpstreamDirectory& directory, TimePoint now) const
{
    std::vector<UpstreamNotice> notices;
    for (const auto& [upstream, latestStart] : directory.leavingUnlisted())
        notices.push_back({ upstream, latestStart, true });
    addLimits(notices, directory, now);
    notices.resize(std::min(notices.size(), maxReportedNotices));
    return notices;
}

void UpstreamNotices::addLimits(std::vector<UpstreamNotice>& notices, const UpstreamDirectory& directory, TimePoint now) const
{
    for (const auto& [upstream, statement] : m_limits) {
        const auto age = std::chrono::duration_cast<Duration>(now - statement.statedAt);
        if (age > maxReportedAge || !isCurrent(directory, upstream, statement.startedAt))
            continue;
        notices.push_back({ upstream, statement.startedAt, false, age.count(), toReported(statement.perSecond) });
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
    const auto isUnlisted = [&](const auto& item) { return !directory.find(item.first); };
    if (m_limits.size() > maxLimits)
        std::erase_if(m_limits, isUnlisted);
    std::erase_if(m_announcedAt, isUnlisted);
}

} // namespace bronzeswitch
