#include <algorithm>
#include <limits>
#include <sched/UpstreamState.h>

namespace bronzeswitch {

namespace {

constexpr Duration maxReportAge { 10000 };
constexpr Duration inFlightHistorySpan { 12000 }; // Longer than maxReportAge, so that every usable report can be compared.
constexpr int untrackedTolerance = 1; // Untracked requests per upstream that are ignored.

TimePoint::duration toDuration(double seconds)
{
    return std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

int heldTokensOf(const SlotRequest& request)
{
    const auto tokens = static_cast<int64_t>(std::max(0, request.promptTokens)) + std::max(0, request.outputTokens);
    return static_cast<int>(std::min<int64_t>(tokens, std::numeric_limits<int>::max() / 2));
}

UpstreamState::UpstreamState(const Upstream& upstream, const PoolPlan& plan)
    : config(upstream)
    , version(upstream.version)
    , speed(plan.nominalSpeed)
    , m_limit(upstream.slots, { plan.limits.firstTokenTarget, plan.limits.betweenTokensTarget })
    , m_capacity(upstream.slots)
{
    setLimitsColdStart(plan.limitsColdStart);
}

// A limit that goes on keeps its state.
void UpstreamState::setLimitsColdStart(bool isLimited)
{
    if (isLimited != coldStartLimit.has_value())
        coldStartLimit = isLimited ? std::optional<ColdStartLimit>(std::in_place) : std::nullopt;
}

void UpstreamState::configure(const Upstream& upstream, const PoolPlan& plan)
{
    // An upstream that reports its load runs the old version until it reports the new one.
    if (!upstream.reportsLoad)
        version = upstream.version;
    config = upstream;
    m_limit.setSlots(upstream.slots);
    m_capacity.setSlots(upstream.slots);
    setLimitsColdStart(plan.limitsColdStart);
}

int UpstreamState::uncachedTokens(const SlotRequest& request) const
{
    return std::max(0, request.promptTokens - prefixCache.cachedTokens(request.prefixes));
}

double UpstreamState::firstTokenSeconds(const SlotRequest& request, TimePoint now) const
{
    const double backlog = std::max(speed.backlogSeconds(now), toSeconds(m_backlogUntil - now));
    return backlog + speed.prefillSeconds(uncachedTokens(request));
}

double UpstreamState::serviceSeconds(const SlotRequest& request) const
{
    return speed.prefillSeconds(uncachedTokens(request)) + speed.decodeSeconds(request.outputTokens);
}

// The nominal speed is that of a usual machine; measured speeds contain the machine's average pace.
double UpstreamState::atPresentPace(double seconds, TimePoint now) const
{
    if (!learnsCapacity)
        return seconds;
    return pace.expectedSeconds(speed.isNominal() ? seconds * pace.average() : seconds, now);
}

double UpstreamState::plainServiceSeconds(TimePoint now) const
{
    if (!learnsCapacity || config.kind != UpstreamKind::Service)
        return 0;
    return pace.expectedSeconds(m_capacity.serviceMs(now) * pace.average() / millisecondsPerSecond, now);
}

int UpstreamState::load(const PoolPlan& plan, TimePoint now) const
{
    const int known = inFlight.grantedSlots() + m_untracked.limiting(now);
    return plan.countsPeerReports ? std::max(known, inFlight.load()) : known;
}

double UpstreamState::usage(const SlotRequest& request, const PoolPlan& plan, TimePoint now) const
{
    const double requests = std::max<double>(load(plan, now), inFlight.grantedSlots() + m_untracked.smoothed(now));
    const double ofLimit = (requests + 1) / std::max(1, limit(now));
    if (plan.memoryTokens <= 0)
        return ofLimit;
    return std::max(ofLimit, (static_cast<double>(heldTokens.load()) + heldTokensOf(request)) / plan.memoryTokens);
}

int UpstreamState::limit(TimePoint now) const
{
    const int limit = m_limit.value(now);
    return learnsCapacity ? std::min(limit, m_capacity.limit(now)) : limit;
}

bool UpstreamState::hasFreeSlot(const PoolPlan& plan, TimePoint now) const
{
    return config.takesRequests() && requestLimit.mayGrant(now) && (!coldStartLimit || coldStartLimit->mayGrant(now))
        && load(plan, now) < limit(now);
}

bool UpstreamState::hasMemoryFor(const SlotRequest& request, const PoolPlan& plan) const
{
    return plan.memoryTokens <= 0 || static_cast<int64_t>(heldTokens.load()) + heldTokensOf(request) < plan.memoryTokens;
}

void UpstreamState::addSlot(const std::string& node, const SlotRequest& request)
{
    inFlight.addSlot(node);
    heldTokens.addSlot(node, heldTokensOf(request));
}

void UpstreamState::removeSlot(const std::string& node, const SlotRequest& request)
{
    inFlight.removeSlot(node);
    heldTokens.removeSlot(node, heldTokensOf(request));
}

void UpstreamState::onGrant(const SlotRequest& request, TimePoint now)
{
    speed.onDispatch(uncachedTokens(request), now);
    prefixCache.onDispatch(request.prefixes);
    requestLimit.onGrant(now);
    if (coldStartLimit)
        coldStartLimit->onGrant(now);
    lastGrantAt = now;
}

void UpstreamState::onRelease(const SlotRelease& slotRelease, const PoolPlan& plan, bool isMeasured, TimePoint now)
{
    if (slotRelease.outcome == DispatchOutcome::Failed || slotRelease.outcome == DispatchOutcome::Unreachable) {
        m_limit.onFailure(now);
        return;
    }
    if (slotRelease.outcome != DispatchOutcome::Completed || (learnsCapacity && !isMeasured))
        return;
    m_limit.onSample(
        Duration(slotRelease.firstTokenMs), std::chrono::microseconds(slotRelease.betweenTokensUs), inFlight.grantedSlots(), now);
    speed.onResponse(slotRelease.betweenTokensUs / millisecondsPerSecond);
    if (!learnsCapacity)
        return;
    const bool isReportFresh = now - m_reportedAt <= plan.loadReportLifetime;
    const int requests = std::max({ 1, load(plan, now), isReportFresh ? m_reportedLoad : 0 });
    // The output of an engine takes longer than one pace lasts; the whole response of a plain service is shorter.
    if (config.kind == UpstreamKind::Engine)
        m_capacity.onResponse(slotRelease.betweenTokensUs / millisecondsPerSecond / pace.average(), requests, now);
    else
        m_capacity.onResponse(slotRelease.firstTokenMs / pace.present(now), requests, now);
}

void UpstreamState::onLoadReport(const LoadReport& report, const PoolPlan& plan, TimePoint now)
{
    if (!report.version.empty())
        version = report.version;
    if (report.age > maxReportAge) {
        m_untracked.onReport(0, plan.loadReportLifetime, now);
        return;
    }
    // The report describes the past, so it is compared with the slots granted at that time.
    const auto measuredAt = now - report.age;
    int inFlightThen = inFlight.grantedSlots();
    for (const auto& [time, count] : m_inFlightHistory) {
        if (time <= measuredAt)
            inFlightThen = count;
    }
    const int own = std::max(inFlightThen, inFlight.grantedSlots());
    const int reported = report.running + report.waiting;
    m_untracked.onReport(std::max(0, reported - own - untrackedTolerance), plan.loadReportLifetime, now);
    m_reportedLoad = reported;
    m_reportedAt = measuredAt;
    if (report.slots)
        m_capacity.onStatedSlots(*report.slots, now);
    if (report.pace)
        pace.onPace(*report.pace, measuredAt);
    if (learnsCapacity && report.isRefusal)
        m_capacity.onRefusal(reported, now);
}

void UpstreamState::setNodeLoad(const std::string& node, const NodeLoad& load, TimePoint now)
{
    inFlight.setReported(node, load.running);
    heldTokens.setReported(node, load.heldTokens);
    m_backlogUntil = std::max(m_backlogUntil, now + toDuration(load.backlogSeconds));
    speed.onPeerEstimate(load.betweenTokensMs);
    if (load.pace)
        pace.onPeerPace(*load.pace, now);
    m_capacity.onPeerLevels(node, load.serviceMs, now);
}

void UpstreamState::forgetNode(const std::string& node)
{
    inFlight.forgetReport(node);
    heldTokens.forgetReport(node);
    m_capacity.forgetPeer(node);
}

void UpstreamState::tick(TimePoint now)
{
    m_inFlightHistory.emplace_back(now, inFlight.grantedSlots());
    while (m_inFlightHistory.front().first < now - inFlightHistorySpan)
        m_inFlightHistory.pop_front();
}

// The home of a pool sees all of its responses, so only the nodes of a pool without one share the times by load.
NodeLoad UpstreamState::estimates(const PoolPlan& plan, TimePoint now) const
{
    NodeLoad result { 0, speed.backlogSeconds(now), speed.learned().value_or(0) };
    if (!learnsCapacity)
        return result;
    result.pace = pace.report(now);
    if (!plan.countsPeerReports)
        result.serviceMs = m_capacity.ownLevels(now);
    return result;
}

UpstreamSummary UpstreamState::summary(TimePoint now) const
{
    return { config.name, version, inFlight.grantedSlots(), limit(now), speed.betweenTokensMs() };
}

std::optional<LearnedLimit> UpstreamState::learnedLimit(TimePoint now) const
{
    const int limit = m_capacity.limit(now);
    if (!learnsCapacity || config.leaving || limit >= config.slots)
        return std::nullopt;
    return LearnedLimit { limit, config.slots, pace.average(), m_capacity.serviceMs(now), m_capacity.age(now) };
}

} // namespace bronzeswitch
