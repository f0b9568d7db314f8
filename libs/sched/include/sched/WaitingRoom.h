#pragma once

#include <sched/WaitingQueue.h>

namespace bronzeswitch {

/**
 * All waiting asks of one pool, by rank, and within a rank by what waiting still changes for them.
 *
 * Answers the time after a burst: a queue in order of arrival would make every request late until the whole backlog has
 * drained. Asks that can still start in time go first; those whose target has passed lose nothing by waiting longer and take
 * what is left of their rank. A higher rank goes before a lower one; a lower rank can be left a small share of the work, so
 * that short requests are not starved by long ones.
 *
 *     WaitingRoom room(weightOf);
 *     room.push(waiter);
 *     room.sort(now);
 *     room.drain(visit);
 */
class WaitingRoom {
public:
    using WeightOf = std::function<double(const std::string&)>;

    explicit WaitingRoom(WeightOf);

    /** Sets the part of the work that each waiting rank gets before higher ones, 0 for a strict order of ranks. */
    void setLowerRankShare(double share) { m_lowerRankShare = share; }

    void push(Waiter);

    /** Moves waiters whose target has passed and lets old work count less. */
    void sort(TimePoint now);

    /** Offers waiters in order; see WaitingQueue. */
    void drain(const std::function<WaitingQueue::Offer(const Waiter&)>& visit);

    /** Removes the waiter to shed first: of the lowest rank; of those one that is late already, before one that is not. */
    std::optional<Waiter> popWorst();

    std::vector<Waiter> removeIf(const std::function<bool(const Waiter&)>& matches);

    /** Removes the late waiters that match. */
    std::vector<Waiter> removeLateIf(const std::function<bool(const Waiter&)>& matches);

    bool contains(const std::string& node, uint64_t askId) const;
    int64_t tokensUpTo(int rank) const;
    std::size_t size() const;

private:
    struct Rank {
        explicit Rank(const WeightOf& weightOf)
            : inTime(weightOf)
            , late(weightOf)
        {
        }
        WaitingQueue inTime;
        WaitingQueue late;
        double work = 0; /**< Granted lately. */
    };

    std::vector<int> starvedRanks() const;
    void drainQueue(Rank&, WaitingQueue&, const std::function<WaitingQueue::Offer(const Waiter&)>& visit);

    double m_lowerRankShare = 0;
    WeightOf m_weightOf;
    std::map<int, Rank> m_ranks;
    TimePoint m_sorted {};
};

} // namespace bronzeswitch
