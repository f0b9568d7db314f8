#include <algorithm>
#include <base/Hash.h>
#include <sched/AdmissionControl.h>

namespace bronzeswitch {

namespace {

constexpr Duration minRetryAfter { 200 };
constexpr Duration maxRetryAfter { 30000 };
constexpr uint64_t requestsPerProbe = 16; // Of the requests that an estimate speaks against, one in so many is let through.
constexpr Duration sheddingHold { 2000 }; // Refusals for overload come in waves, as callers return.
// A caller observes Retry-After up to a third of the time it has left; the rest is for the way of the refusal to it.
constexpr double observedShareOfTimeLeft = 0.3;
constexpr Duration minHeldTime { 50 }; // A slot returned sooner was not used and shows nothing about the capacity.

TimePoint::duration toDuration(double seconds)
{
    return std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(seconds));
}

std::optional<TimePoint> targetOf(const Waiter& waiter)
{
    if (waiter.request.firstTokenTargetMs <= 0)
        return std::nullopt;
    return waiter.arrivedAt + Duration(waiter.request.firstTokenTargetMs);
}

/** @return when the caller gives up a response that has not begun. */
TimePoint leaveTimeOf(const Waiter& waiter)
{
    return waiter.request.startTimeoutMs ? std::min(waiter.deadline, waiter.arrivedAt + Duration(waiter.request.startTimeoutMs))
                                         : waiter.deadline;
}

// Without a forecast, a request that has missed its target and used half of the time its caller waits for a first token is refused,
// so that the caller can retry after the burst.
bool hasWaitedLong(const Waiter& waiter, TimePoint now)
{
    constexpr int startTimeoutDivisor = 2;
    return waiter.request.startTimeoutMs > 0 && now - waiter.arrivedAt > Duration(waiter.request.startTimeoutMs / startTimeoutDivisor);
}

// Spreads the retries, so that the callers of a burst do not all return at the same time.
Duration spreadRetryAfter(const Waiter& waiter)
{
    constexpr int64_t minRetryMs = 1000;
    constexpr uint64_t spreadMs = 3000;
    return Duration(minRetryMs + static_cast<int64_t>(stableHash(waiter.node, waiter.request.id) % spreadMs));
}

bool isForOverload(RefusalReason reason)
{
    return reason == RefusalReason::Overloaded || reason == RefusalReason::Evicted || reason == RefusalReason::QueueFull;
}

} // namespace

void AdmissionControl::recogniseReturn(Waiter& waiter, TimePoint now)
{
    if (!m_settings.schedulesReturns || !waiter.request.caller)
        return;
    const auto arrival = m_returns.take(waiter.request.caller, now);
    waiter.hasReturned = arrival == ReturnSchedule::Arrival::InTime;
    waiter.isEarlyReturn = arrival == ReturnSchedule::Arrival::Early;
}

std::optional<RefusalReason> AdmissionControl::refusalIfInfeasible(
    const Waiter& waiter, const std::optional<FastestTimes>& times, TimePoint now)
{
    if (!times)
        return RefusalReason::NoUpstream;
    const bool isStartPossible = !waiter.request.startTimeoutMs
        || now + toDuration(times->firstTokenSeconds) <= waiter.arrivedAt + Duration(waiter.request.startTimeoutMs);
    const bool isFeasible = isStartPossible && now + toDuration(times->serviceSeconds) <= waiter.deadline;
    if (isFeasible || (waiter.isProbe && now < leaveTimeOf(waiter)))
        return std::nullopt;
    return RefusalReason::DeadlineTooShort;
}

bool AdmissionControl::makeProbe(Waiter& waiter, RefusalReason reason)
{
    const bool isByEstimate = m_settings.refusesEarly && reason == RefusalReason::DeadlineTooShort;
    if (!isByEstimate || ++m_infeasible % requestsPerProbe)
        return false;
    waiter.isProbe = true;
    ++m_probes;
    return true;
}

std::optional<RefusalReason> AdmissionControl::refusalIfLate(
    const Waiter& waiter, const FastestTimes& times, const PoolQueue& queue, bool isQueued, TimePoint now)
{
    if (!m_settings.refusesEarly || waiter.isProbe)
        return std::nullopt;
    const int rank = waiter.request.rank;
    const bool servesRanksBelow = m_forecast.servesRanksBelow(rank, now);
    if (waiter.isEarlyReturn && !servesRanksBelow) {
        ++m_refusedEarly;
        return RefusalReason::Overloaded;
    }
    auto place = waiter;
    auto lastStart
        = std::min(leaveTimeOf(waiter) - toDuration(times.firstTokenSeconds), waiter.deadline - toDuration(times.serviceSeconds));
    if (const auto target = targetOf(waiter)) {
        const auto lastInTime = *target - toDuration(times.firstTokenSeconds);
        place.isLate = !waiter.hasReturned && lastInTime <= now;
        const bool mayBeLate = m_settings.servesLate || waiter.hasReturned || place.isLate || servesRanksBelow;
        if (!mayBeLate)
            lastStart = std::min(lastStart, lastInTime);
    }
    double ahead = queue.requestsAhead(place) - (isQueued ? 1 : 0);
    if (!waiter.hasReturned)
        ahead += m_returns.dueUntil(rank, lastStart);
    const auto wait = m_forecast.expectedWait({ std::max(0.0, ahead), rank, place.isLate }, now);
    if (!wait || now + *wait <= lastStart)
        return std::nullopt;
    if (++m_unpromising[rank] % requestsPerProbe == 0) {
        ++m_probes;
        return std::nullopt;
    }
    ++m_refusedEarly;
    return RefusalReason::Overloaded;
}

bool AdmissionControl::isTooLate(const Waiter& waiter, double firstTokenSeconds, TimePoint now) const
{
    return m_settings.refusesEarly && !waiter.isProbe && waiter.request.startTimeoutMs > 0
        && now + toDuration(firstTokenSeconds) > leaveTimeOf(waiter);
}

std::vector<Waiter> AdmissionControl::removeHopeless(PoolQueue& queue, TimePoint now) const
{
    if (!m_settings.refusesEarly || !m_forecast.slotsPerSecond(now))
        return queue.removeLateIf([&](const Waiter& waiter) { return hasWaitedLong(waiter, now); });
    std::map<int, double> ahead;
    return queue.removeLateIf([&](const Waiter& waiter) {
        const int rank = waiter.request.rank;
        auto& position = ahead.try_emplace(rank, static_cast<double>(queue.sizeBeforeLate(rank))).first->second;
        const auto wait = m_forecast.expectedWait({ position, rank, true }, now);
        const bool isHopeless = wait && now + *wait > leaveTimeOf(waiter) && !m_forecast.servesRanksBelow(rank, now);
        position += isHopeless ? 0 : 1;
        return isHopeless;
    });
}

bool AdmissionControl::hasForecast(TimePoint now) const { return m_settings.schedulesReturns && m_forecast.slotsPerSecond(now); }

Duration AdmissionControl::retryAfter(const Waiter& waiter, RefusalReason reason, Duration estimatedWait, TimePoint now)
{
    const int rank = waiter.request.rank;
    if (now > waiter.arrivedAt)
        ++m_refusedWaiting;
    if (isForOverload(reason)) {
        m_highestRankRefused = now < m_sheddingUntil ? std::min(m_highestRankRefused, rank) : rank;
        m_sheddingUntil = now + sheddingHold;
    }
    if (reason == RefusalReason::NoUpstream)
        return minRetryAfter;
    if (isForOverload(reason) && hasForecast(now)) {
        const auto observed = observedShareOfTimeLeft * static_cast<double>(std::chrono::floor<Duration>(waiter.deadline - now).count());
        return m_returns.plan(
            { waiter.request.caller, rank, Duration(static_cast<int64_t>(observed)),
                m_settings.returnShare * m_forecast.slotsPerSecondFor(rank, false, now).value_or(0), !waiter.hasReturned },
            now);
    }
    return reason == RefusalReason::Overloaded ? spreadRetryAfter(waiter) : std::clamp(estimatedWait, minRetryAfter, maxRetryAfter);
}

void AdmissionControl::onGrant(const Waiter& waiter, TimePoint now)
{
    m_forecast.onGrant(waiter.request.rank, waiter.isLate, now);
    if (m_settings.schedulesReturns)
        m_returns.forget(waiter.request.caller);
}

void AdmissionControl::onRelease(DispatchOutcome outcome, Duration held, TimePoint now)
{
    const bool hasRun = outcome == DispatchOutcome::Completed || outcome == DispatchOutcome::Failed || held >= minHeldTime;
    if (hasRun && outcome != DispatchOutcome::Unreachable)
        m_forecast.onRelease(now);
}

void AdmissionControl::tick(PoolQueue& queue, double lowerRankShare, TimePoint now)
{
    m_updatedAt = now;
    m_returns.expire(now);
    const bool isScarce = now < m_sheddingUntil || queue.hasLate();
    queue.setLowerRankShare(m_settings.shedsByRank && isScarce ? 0 : lowerRankShare);
    queue.setFairShareWindow(m_settings.fairShareWindow);
}

AdmissionStatus AdmissionControl::status(TimePoint now) const
{
    AdmissionStatus result;
    result.refusedEarly = m_refusedEarly;
    result.refusedWaiting = m_refusedWaiting;
    result.probes = m_probes;
    result.returns = m_returns.counts();
    result.reservedReturns = m_returns.size();
    result.slotsPerSecond = m_forecast.slotsPerSecond(now).value_or(0);
    result.isShedding = now < m_sheddingUntil;
    result.highestRankRefused = m_highestRankRefused;
    result.forecastAge = std::chrono::floor<Duration>(now - m_updatedAt);
    return result;
}

} // namespace bronzeswitch
