#pragma once

#include <sched/WaitingQueue.h>

namespace bronzeswitch {

/**
 * The queue of one pool: orders slot requests by rank, and within a rank by whether they can still meet their target latency.
 *
 * In a queue in order of arrival, every request after a burst would be late until the whole backlog has drained.
 * Requests that can still start in time go first; those whose target has passed lose nothing by waiting longer and take
 * what is left of their rank. Before both go requests of callers that were refused and come back at their return time; their number is
 * bounded by ReturnSchedule. A higher rank goes before a lower one; a lower rank can be left a small share of the work, so
 * that short requests are not starved by long ones.
 *
 *     PoolQueue queue(weightOf);
 *     queue.push(request);
 *     queue.update(now);
 *     queue.takeInOrder(visit);
 */
class PoolQueue {
public:
    using WeightOf = std::function<double(const std::string&)>; /**< Returns the weight of an organisation. */

    explicit PoolQueue(WeightOf);

    /** Sets the share of the granted work that each waiting rank gets even while higher ranks wait; 0 for strict priority. */
    void setLowerRankShare(double share) { m_lowerRankShare = share; }

    /**
     * Sets the time constant with which the work granted to organisations is forgotten. With one, an organisation has one share of a
     * rank for returned, timely and late requests together; with 0, it has one of each, and the work of all time counts.
     */
    void setFairShareWindow(Duration window) { m_fairShareWindow = window; }

    void push(Waiter);

    /** Marks requests as late whose target has passed, and decays the record of recently granted work. */
    void update(TimePoint now);

    /** Visits requests in order; see WaitingQueue. */
    void takeInOrder(const std::function<WaitingQueue::VisitResult(const Waiter&)>& visit);

    /** Removes the request to shed first: from the lowest rank that has one, a late request before one that is not late. */
    std::optional<Waiter> evict();

    /** Removes and returns the requests that match. */
    std::vector<Waiter> removeIf(const std::function<bool(const Waiter&)>& matches);

    /** Removes and returns the late requests that match. */
    std::vector<Waiter> removeLateIf(const std::function<bool(const Waiter&)>& matches);

    bool contains(const std::string& node, uint64_t slotRequestId) const;
    int64_t tokensUpTo(int rank) const;
    std::size_t size() const;

    /** @return how many requests go before a new one with this rank, organisation and state (returned, late or neither). */
    double requestsAhead(const Waiter&) const;

    /** @return the number of requests that go before the late ones of a rank. */
    std::size_t sizeBeforeLate(int rank) const;

    /** @return true if a request is late. */
    bool hasLate() const;

private:
    struct Rank {
        explicit Rank(const WeightOf& weightOf)
            : returned(weightOf)
            , inTime(weightOf)
            , late(weightOf)
        {
        }
        std::size_t size() const { return returned.size() + inTime.size() + late.size(); }

        WaitingQueue returned;
        WaitingQueue inTime;
        WaitingQueue late;
        double work = 0; /**< Granted recently; decays. */
    };

    std::vector<int> starvedRanks() const;
    void takeFrom(Rank&, WaitingQueue&, const std::function<WaitingQueue::VisitResult(const Waiter&)>& visit);

    double m_lowerRankShare = 0;
    Duration m_fairShareWindow { 0 };
    WeightOf m_weightOf;
    std::map<int, Rank> m_ranks;
    TimePoint m_updatedAt {};
};

} // namespace bronzeswitch
