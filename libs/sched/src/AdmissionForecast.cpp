#include <algorithm>
#include <cmath>
#include <sched/AdmissionForecast.h>

namespace bronzeswitch {

namespace {

constexpr double windowSeconds = 2; // Time constant of the decay: bursts last some seconds.
constexpr double minReleases = 4; // With fewer releases in the window, the rate is known to a factor of two at best.
constexpr double minMeasuredSeconds = 0.4;
constexpr Duration maxUpdateGap { 500 }; // The pool is updated each 100 ms; a longer gap is a pause of the node.
constexpr Duration lifetime { 1000 };
constexpr double minLowerRankShare = 0.05; // Of the slots; fewer may have been granted before the higher rank's requests came.
constexpr double maxForeignShare = 0.25; // Of the own slots. Nodes' reports lag, so they name some requests that have ended.
constexpr Duration longestWait { 3600000 };

} // namespace

void AdmissionForecast::advance(TimePoint now)
{
    const auto elapsed = now - m_updatedAt;
    if (elapsed <= elapsed.zero())
        return;
    m_updatedAt = now;
    const double seconds = toSeconds(elapsed);
    const double decay = std::exp(-seconds / windowSeconds);
    const bool isPause = elapsed > maxUpdateGap;
    m_measuredSeconds = m_measuredSeconds * decay + (isPause ? 0 : seconds);
    m_slotSeconds = m_slotSeconds * decay + (isPause ? 0 : seconds * m_slotsInUse);
    m_releases *= decay;
    for (auto& [rank, grants] : m_grants) {
        grants.onTime *= decay;
        grants.late *= decay;
    }
}

void AdmissionForecast::setSlotsInUse(int slots, TimePoint now)
{
    advance(now);
    m_slotsInUse = slots;
}

void AdmissionForecast::onRelease(TimePoint now)
{
    advance(now);
    ++m_releases;
}

void AdmissionForecast::onGrant(int rank, bool isLate, TimePoint now)
{
    advance(now);
    auto& grants = m_grants[rank];
    ++(isLate ? grants.late : grants.onTime);
}

double AdmissionForecast::grantsPerSecond(double grants) const { return grants / m_measuredSeconds; }

std::optional<double> AdmissionForecast::slotsPerSecond(TimePoint now) const
{
    const bool isKnown = m_releases >= minReleases && m_measuredSeconds >= minMeasuredSeconds && now - m_updatedAt <= lifetime
        && m_foreignRequests <= maxForeignShare * m_slotsInUse;
    if (!isKnown)
        return std::nullopt;
    return m_releases / m_slotSeconds * m_slotsInUse;
}

std::optional<double> AdmissionForecast::slotsPerSecondFor(int rank, bool isLate, TimePoint now) const
{
    const auto total = slotsPerSecond(now);
    if (!total)
        return std::nullopt;
    double taken = 0;
    for (const auto& [other, grants] : m_grants) {
        if (other < rank)
            taken += grants.onTime + grants.late;
        else if (other == rank && isLate)
            taken += grants.onTime;
    }
    return std::max(0.0, *total - grantsPerSecond(taken));
}

std::optional<Duration> AdmissionForecast::expectedWait(const Position& position, TimePoint now) const
{
    const auto rate = slotsPerSecondFor(position.rank, position.isLate, now);
    if (!rate)
        return std::nullopt;
    const double milliseconds = millisecondsPerSecond * (position.requestsAhead + 1) / *rate;
    const auto longest = static_cast<double>(longestWait.count());
    return milliseconds < longest ? Duration(static_cast<int64_t>(milliseconds)) : longestWait;
}

bool AdmissionForecast::servesRanksBelow(int rank, TimePoint now) const
{
    const auto total = slotsPerSecond(now);
    if (!total)
        return true;
    double lower = 0;
    for (auto grants = m_grants.upper_bound(rank); grants != m_grants.end(); ++grants)
        lower += grants->second.onTime + grants->second.late;
    return grantsPerSecond(lower) > minLowerRankShare * *total;
}

} // namespace bronzeswitch
