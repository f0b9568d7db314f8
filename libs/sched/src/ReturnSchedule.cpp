#include <algorithm>
#include <base/Hash.h>
#include <cmath>
#include <sched/ReturnSchedule.h>
#include <string>

namespace bronzeswitch {

namespace {

constexpr Duration intervalLength { 100 };
constexpr Duration shortestReturn { 100 }; // A caller opens a new connection for it.
constexpr Duration earlyTolerance { 20 }; // The caller's clock and the rounding of Retry-After.
constexpr Duration lateTolerance { 1000 }; // Delays of the caller, the network and a slot request that is sent again.
constexpr std::size_t maxEntries = 8192; // Some 1 MB; more than a pool of 400 slots a second gives out in 30 s.

int64_t intervalOf(TimePoint time) { return std::chrono::duration_cast<Duration>(time.time_since_epoch()) / intervalLength; }
TimePoint startOf(int64_t interval) { return TimePoint(interval * intervalLength); }

// Distributes a rate that need not give a whole number in each interval.
int capacityOf(int64_t interval, double perInterval)
{
    const auto number = static_cast<double>(interval);
    return static_cast<int>(std::floor((number + 1) * perInterval) - std::floor(number * perInterval));
}

// Without a reserved time, callers are spread over the later half of the time that they observe.
Duration spreadReturn(const ReturnSchedule::Refused& refused)
{
    constexpr uint64_t steps = 256;
    const auto step = static_cast<int64_t>(stableHash(std::to_string(refused.caller)) % steps);
    return std::max(shortestReturn, refused.longest / 2 + refused.longest * step / static_cast<int64_t>(2 * steps));
}

} // namespace

std::optional<TimePoint> ReturnSchedule::freePlace(const Refused& refused, TimePoint now) const
{
    const double perInterval = refused.slotsPerSecond * toSeconds(intervalLength);
    const auto last = intervalOf(now + refused.longest);
    for (auto number = intervalOf(now + shortestReturn) + 1; number < last; ++number) {
        const int capacity = capacityOf(number, perInterval);
        const auto interval = m_intervals.find(number);
        const int used = interval == m_intervals.end() ? 0 : interval->second.places;
        if (used < capacity)
            return startOf(number) + intervalLength * used / capacity;
    }
    return std::nullopt;
}

Duration ReturnSchedule::plan(const Refused& refused, TimePoint now)
{
    const auto known = m_dueTimes.find(refused.caller);
    if (known != m_dueTimes.end() && known->second.time > now)
        return std::chrono::ceil<Duration>(known->second.time - now);
    const bool isRecognisable = refused.caller && refused.mayReturn && m_dueTimes.size() < maxEntries && known == m_dueTimes.end();
    const auto place = isRecognisable ? freePlace(refused, now) : std::nullopt;
    ++(place ? m_counts.planned : m_counts.unplanned);
    const auto time = place.value_or(now + spreadReturn(refused));
    if (isRecognisable)
        add(refused.caller, { time, refused.rank, place.has_value() });
    return std::chrono::ceil<Duration>(time - now);
}

void ReturnSchedule::add(uint64_t caller, const Due& due)
{
    auto& interval = m_intervals[intervalOf(due.time)];
    interval.callers.push_back(caller);
    interval.places += due.hasPlace ? 1 : 0;
    interval.placesByRank[due.rank] += due.hasPlace ? 1 : 0;
    m_dueTimes[caller] = due;
}

ReturnSchedule::Arrival ReturnSchedule::take(uint64_t caller, TimePoint now)
{
    const auto found = m_dueTimes.find(caller);
    if (found == m_dueTimes.end())
        return Arrival::New;
    if (now < found->second.time - earlyTolerance) {
        ++m_counts.early;
        return Arrival::Early;
    }
    const bool hasPlace = found->second.hasPlace;
    m_counts.honoured += hasPlace ? 1 : 0;
    remove(caller, found->second);
    return hasPlace ? Arrival::InTime : Arrival::New;
}

void ReturnSchedule::forget(uint64_t caller)
{
    if (const auto found = m_dueTimes.find(caller); found != m_dueTimes.end())
        remove(caller, found->second);
}

void ReturnSchedule::remove(uint64_t caller, const Due& due)
{
    const auto interval = m_intervals.find(intervalOf(due.time));
    if (due.hasPlace && interval != m_intervals.end()) {
        --interval->second.places;
        --interval->second.placesByRank[due.rank];
    }
    m_dueTimes.erase(caller); // Last, since it may end the lifetime of `due`.
}

void ReturnSchedule::expire(TimePoint now)
{
    const auto firstKept = intervalOf(now - lateTolerance);
    while (!m_intervals.empty() && m_intervals.begin()->first < firstKept) {
        const auto number = m_intervals.begin()->first;
        for (const auto caller : m_intervals.begin()->second.callers) {
            const auto found = m_dueTimes.find(caller);
            if (found == m_dueTimes.end() || intervalOf(found->second.time) != number)
                continue;
            m_counts.expired += found->second.hasPlace ? 1 : 0;
            m_dueTimes.erase(found);
        }
        m_intervals.erase(m_intervals.begin());
    }
}

int ReturnSchedule::dueUntil(int rank, TimePoint until) const
{
    int count = 0;
    for (auto interval = m_intervals.begin(); interval != m_intervals.end() && startOf(interval->first) < until; ++interval) {
        for (auto number = interval->second.placesByRank.begin(); number != interval->second.placesByRank.end() && number->first <= rank;
             ++number)
            count += number->second;
    }
    return count;
}

} // namespace bronzeswitch
