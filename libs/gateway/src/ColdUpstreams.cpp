#include <algorithm>
#include <gateway/ColdUpstreams.h>
#include <net/Async.h>
#include <sched/ColdStartLimit.h>

namespace bronzeswitch {

namespace {

constexpr Duration coldTimeMargin { 1000 }; // An upstream that breaks a connection off needs some time until it listens again.
constexpr Duration maxEntryDelay { 1500 }; // From the writing of an entry until it is read.
constexpr Duration clockTolerance { 2000 }; // Difference between this node's time of day and an upstream's.
constexpr Duration considerableChange { 200 }; // Shorter extensions are not announced: all nodes see the same broken connections.
constexpr std::size_t maxAnnouncements = 64; // In one message, which then fits a datagram.
constexpr std::size_t maxUnlisted = 4096;

} // namespace

ColdUpstreams::ColdUpstreams(DecisionLog& log)
    : m_log(log)
{
}

void ColdUpstreams::connect(Callbacks callbacks) { m_callbacks = std::move(callbacks); }

const GatewayService* ColdUpstreams::limitedService(const std::string& service) const
{
    const auto* found = m_callbacks.findService(service);
    return found && found->coldStart.isLimited() ? found : nullptr;
}

Duration ColdUpstreams::longestColdTime(const UpstreamEntry& upstream) const
{
    const auto* service = m_callbacks.findService(upstream.service);
    return (service ? service->coldStart : ColdStart {}).duration + coldTimeMargin;
}

void ColdUpstreams::onEntry(const UpstreamEntry& entry, const UpstreamDirectory& directory, TimePoint now)
{
    const auto [found, isFirst] = m_states.try_emplace(entry.id);
    auto& state = found->second;
    const auto startedBefore = std::exchange(state.startedAt, entry.startedAt);
    const auto sequenceBefore = std::exchange(state.sequence, entry.sequence);
    // A node that has just started gets to know all upstreams; only those that started a short time ago may be cold.
    const auto age = Duration(m_callbacks.unixTime() - std::max<int64_t>(0, entry.startedAt)) - clockTolerance;
    const bool isNewStart = isFirst ? age < longestColdTime(entry) : startedBefore != entry.startedAt;
    if (isNewStart && entry.coldRemaining == Duration(0))
        markPossiblyCold(entry, { "new start", 0, false }, now);
    else if (!isNewStart && !isFirst && !directory.find(entry.id))
        markPossiblyCold(entry, { "return of the entry", 0, false }, now);
    else if (!isFirst && !isNewStart && entry.sequence && sequenceBefore == entry.sequence)
        return;
    applyStatement(entry, state, { entry.coldRemaining, "entry", isWrittenLater(state, entry, now) }, now);
}

bool ColdUpstreams::isWrittenLater(const State& state, const UpstreamEntry& entry, TimePoint now) const
{
    if (state.clearingSequence && entry.sequence)
        return *entry.sequence >= *state.clearingSequence;
    return now >= state.foundAt + maxEntryDelay;
}

// An earlier end than the known one counts only if the upstream has stated it later. The limit then rises from now on.
bool ColdUpstreams::applyStatement(const UpstreamEntry& upstream, State& state, const Statement& statement, TimePoint now)
{
    const auto until = now + statement.remaining;
    const bool isLonger = until > state.until && statement.remaining > Duration(0);
    const bool isShorter = until < state.until && statement.isLater;
    if (isLonger || isShorter)
        setUntil(upstream, state, until, statement.source, now);
    return isLonger || isShorter;
}

void ColdUpstreams::onResponse(const UpstreamEntry& upstream, const ResponseMetadata& metadata, TimePoint sentAt, TimePoint now)
{
    const auto found = m_states.find(upstream.id);
    if (!metadata.coldRemaining || found == m_states.end() || !limitedService(upstream.service))
        return;
    auto& state = found->second;
    const auto remaining = std::min(*metadata.coldRemaining, longestColdTime(upstream));
    if (remaining > Duration(0) && now + remaining > state.until + considerableChange)
        m_announcements[upstream.id] = { upstream.id, upstream.startedAt };
    if (!applyStatement(upstream, state, { remaining, "response", sentAt > state.foundAt }, now))
        return;
    state.foundAt = now;
    state.clearingSequence = state.sequence ? std::optional(*state.sequence + 2) : std::nullopt;
}

void ColdUpstreams::onConnectionLost(const UpstreamEntry& upstream, TimePoint now)
{
    // The last entry that was written before may not have been read yet.
    markPossiblyCold(upstream, { "lost connection", 1, true }, now);
}

void ColdUpstreams::onEvacuationEnded(const UpstreamDirectory& directory, const std::string& dataCentre, TimePoint now)
{
    for (const auto& [id, entry] : directory.entries()) {
        if (entry.dataCentre == dataCentre)
            markPossiblyCold(entry, { "end of an evacuation", 1, false }, now);
    }
}

void ColdUpstreams::markPossiblyCold(const UpstreamEntry& upstream, const Found& found, TimePoint now)
{
    auto& state = m_states[upstream.id];
    state.foundAt = now;
    state.clearingSequence = state.sequence ? std::optional(*state.sequence + 1 + found.entriesInTransit) : std::nullopt;
    const auto until = now + longestColdTime(upstream);
    if (until <= state.until)
        return;
    if (found.isAnnounced && limitedService(upstream.service) && until > state.until + considerableChange)
        m_announcements[upstream.id] = { upstream.id, upstream.startedAt };
    setUntil(upstream, state, until, found.source, now);
}

void ColdUpstreams::setUntil(const UpstreamEntry& upstream, State& state, TimePoint until, const char* source, TimePoint now)
{
    if (std::exchange(state.until, until) == until || !limitedService(upstream.service))
        return;
    m_callbacks.onChange(upstream, until);
    if (until <= now || m_cold.contains(upstream.id))
        return;
    m_cold[upstream.id] = source;
    m_log.write(events::upstreamCold,
        { { "upstream", upstream.id }, { "source", source }, { "startedAt", upstream.startedAt },
            { "remainingMs", std::chrono::ceil<Duration>(until - now).count() } });
}

void ColdUpstreams::onPeerNotices(
    const std::string& from, const std::vector<UpstreamNotice>& notices, const UpstreamDirectory& directory, TimePoint now)
{
    for (const auto& notice : notices) {
        const auto* entry = directory.find(notice.upstream);
        const auto state = m_states.find(notice.upstream);
        if (notice.coldRemainingMs <= 0 || !entry || state == m_states.end() || notice.startedAt < entry->startedAt)
            continue;
        const auto until = now + std::min(Duration(notice.coldRemainingMs), longestColdTime(*entry));
        if (until <= state->second.until)
            continue;
        state->second.foundAt = now;
        state->second.clearingSequence = state->second.sequence ? std::optional(*state->second.sequence + 2) : std::nullopt;
        setUntil(*entry, state->second, until, from.c_str(), now);
    }
}

std::vector<UpstreamNotice> ColdUpstreams::takeAnnouncements(TimePoint now)
{
    std::vector<UpstreamNotice> result;
    while (!m_announcements.empty() && result.size() < maxAnnouncements) {
        auto notice = m_announcements.extract(m_announcements.begin()).mapped();
        notice.coldRemainingMs = std::chrono::ceil<Duration>(coldUntil(notice.upstream) - now).count();
        if (notice.coldRemainingMs > 0)
            result.push_back(std::move(notice));
    }
    return result;
}

TimePoint ColdUpstreams::coldUntil(const std::string& upstream) const
{
    const auto found = m_states.find(upstream);
    return found == m_states.end() ? TimePoint {} : found->second.until;
}

bool ColdUpstreams::isStale(const UpstreamEntry& upstream, TimePoint grantedAt, TimePoint now) const
{
    return now - grantedAt > maxColdStartGrantAge && limitedService(upstream.service);
}

void ColdUpstreams::tick(TimePoint now)
{
    std::erase_if(m_cold, [&](const auto& item) {
        if (isCold(item.first, now))
            return false;
        m_log.write(events::upstreamWarm, { { "upstream", item.first }, { "source", item.second } });
        return true;
    });
}

void ColdUpstreams::dropExcess(const UpstreamDirectory& directory)
{
    if (m_states.size() > directory.entries().size() + maxUnlisted)
        std::erase_if(m_states, [&](const auto& item) { return !directory.find(item.first); });
}

} // namespace bronzeswitch
