#pragma once

#include <base/TimerService.h>

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bronzeswitch {

/**
 * Gives refused callers the times at which to come back, and recognises those that come back at theirs.
 *
 * Load pattern: more requests than a pool can run are refused within seconds, and each caller tries once more. The times given out are
 * spread so that the callers due in any time span are no more than the slots stated for them. A caller is known by
 * the hash of what stays the same in its requests. One that comes back too early keeps its time, so that it gains nothing. Callers
 * for whom no place is left get a time too, without a place before newcomers.
 *
 * The number of entries is bounded, and an entry expires a short time after its return time.
 *
 * Not thread-safe. The caller passes in the current time.
 *
 *     const auto retryAfter = schedule.plan({ caller, rank, longest, slotsPerSecond }, now);
 *     const bool goesFirst = schedule.take(caller, now) == ReturnSchedule::Arrival::InTime;
 */
class ReturnSchedule {
public:
    /** How a request relates to the return time of its caller. */
    enum class Arrival {
        New, /**< Its caller has no return time, or no place. */
        Early,
        InTime,
    };

    /** A refused request. */
    struct Refused {
        uint64_t caller = 0; /**< Hash that identifies the caller; 0 if unknown, then it isn't recognised. */
        int rank = 0;
        Duration longest { 0 }; /**< Longest return time that the caller observes. */
        double slotsPerSecond = 0; /**< Slots that become free for returning callers of the request's rank. */
        bool mayReturn = true; /**< False if the caller isn't expected to come back once more. */
    };

    /** Numbers of events since the start. */
    struct Counts {
        uint64_t planned = 0; /**< Return times that were reserved. */
        uint64_t unplanned = 0; /**< Refusals without a reserved time: none was left in time, or the caller won't return. */
        uint64_t honoured = 0; /**< Callers that came back in their time. */
        uint64_t early = 0; /**< Callers that came back too early. */
        uint64_t expired = 0; /**< Reserved times at which nobody came. */

        bool operator==(const Counts&) const = default;
    };

    /** Reserves a place, if one is left. @return the time until the caller should come back. */
    Duration plan(const Refused&, TimePoint now);

    /** Recognises a caller that comes back, and ends its entry unless it is too early. */
    Arrival take(uint64_t caller, TimePoint now);

    /** Ends a caller's entry, because it was served before its time. */
    void forget(uint64_t caller);

    /** Removes entries whose time has passed. Call at a regular interval. */
    void expire(TimePoint now);

    /** @return how many callers of this rank and higher ones have a place up to a time. */
    int dueUntil(int rank, TimePoint until) const;

    const Counts& counts() const { return m_counts; }
    std::size_t size() const { return m_dueTimes.size(); }

private:
    struct Due {
        TimePoint time {};
        int rank = 0;
        bool hasPlace = false;
    };

    /** The entries within one interval of time. */
    struct Interval {
        int places = 0; /**< Reserved ones. */
        std::map<int, int> placesByRank;
        std::vector<uint64_t> callers; /**< Also of entries that have ended. */
    };

    std::optional<TimePoint> freePlace(const Refused&, TimePoint now) const;
    void add(uint64_t caller, const Due&);
    void remove(uint64_t caller, const Due&);

    std::unordered_map<uint64_t, Due> m_dueTimes; /**< By caller. */
    std::map<int64_t, Interval> m_intervals; /**< By number since the clock's epoch. */
    Counts m_counts;
};

} // namespace bronzeswitch
