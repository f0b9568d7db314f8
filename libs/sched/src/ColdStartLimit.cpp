#include <algorithm>
#include <sched/ColdStartLimit.h>

namespace bronzeswitch {

namespace {

constexpr double bucketSeconds = 0.1; // What the rate allows in this time may be used at once, besides one request.
// Grants of this time may reach an upstream within one second.
constexpr double windowSeconds = 1 + static_cast<double>(maxColdStartGrantAge.count()) / 1000;
constexpr double marginShare = 0.05; // Of the tolerated total, and at least one request: for delays after the last check of a grant's age.
constexpr double minMargin = 1;
constexpr double minWarmPerSecond = 0.2; // Some response must show that an upstream serves, however little its service tolerates.
constexpr Duration rampTime { 1000 };

// Returns the highest rate at which a full bucket and the refill of a window stay within a number of requests.
double rateWithin(double requests) { return std::max(0.0, (requests - 1) / (windowSeconds + bucketSeconds)); }

// Returns the requests that a rate and its full bucket grant within a window.
double requestsAt(double rate) { return rate > 0 ? 1 + rate * (windowSeconds + bucketSeconds) : 0; }

double usableTotal(const ColdStartTolerance& tolerance) { return tolerance.total() - std::max(minMargin, marginShare * tolerance.total()); }

double warmRate(const ColdStartTolerance& tolerance, double share)
{
    return share * std::max(minWarmPerSecond, rateWithin(usableTotal(tolerance)));
}

} // namespace

ColdStartRates ColdStartRates::ofHome(const ColdStartTolerance& tolerance, double share, bool isNew)
{
    const double total = usableTotal(tolerance);
    const double wholeRate = std::min(tolerance.perSecond, rateWithin(total));
    const double usable = share * (isNew ? total - requestsAt(wholeRate) : total);
    const double warm = warmRate(tolerance, share);
    return { std::min({ share * tolerance.perSecond, rateWithin(usable), warm }), warm };
}

ColdStartRates ColdStartRates::withoutHome(const ColdStartTolerance& tolerance, double share) { return { 0, warmRate(tolerance, share) }; }

void ColdStartLimit::setRates(const ColdStartRates& rates, TimePoint now)
{
    settle(now);
    m_rates = rates;
}

void ColdStartLimit::setColdUntil(TimePoint until, TimePoint now)
{
    settle(now);
    m_coldUntil = until;
}

void ColdStartLimit::restart(TimePoint now)
{
    m_tokens = 0;
    m_countedAt = now;
}

void ColdStartLimit::settle(TimePoint now)
{
    m_tokens = tokens(now);
    m_countedAt = now;
}

double ColdStartLimit::rate(TimePoint now) const
{
    if (now < m_coldUntil)
        return m_rates.cold;
    const double progress = std::min(1.0, toSeconds(now - m_coldUntil) / toSeconds(rampTime));
    return m_rates.cold + progress * (m_rates.warm - m_rates.cold);
}

// The rate is constant, then linear, then constant again, so the mean of a section's ends is exact.
double ColdStartLimit::accrued(TimePoint from, TimePoint to) const
{
    const auto rampStart = std::clamp(m_coldUntil, from, to);
    const auto rampEnd = m_coldUntil > to ? to : std::clamp(m_coldUntil + rampTime, from, to);
    const auto section = [&](TimePoint begin, TimePoint end) { return toSeconds(end - begin) * (rate(begin) + rate(end)) / 2; };
    return toSeconds(rampStart - from) * m_rates.cold + section(rampStart, rampEnd) + section(rampEnd, to);
}

double ColdStartLimit::tokens(TimePoint now) const
{
    const double capacity = 1 + rate(now) * bucketSeconds;
    return std::min(capacity, m_tokens + accrued(std::min(m_countedAt, now), now));
}

void ColdStartLimit::onGrant(TimePoint now)
{
    settle(now);
    m_tokens -= 1;
}

} // namespace bronzeswitch
