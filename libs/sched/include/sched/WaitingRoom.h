#pragma once

#include <sched/WaitingQueue.h>

namespace bronzeswitch {

/**
 * All waiting asks of one pool, sorted by what waiting still changes for them.
 *
 * Answers the time after a burst: a queue in order of arrival would make every request late until the whole backlog has
 * drained. Asks that can still start in time go first. Those whose target has passed lose nothing by waiting longer, so they
 * take what is left over, until half of their time is gone: then they go before all others, so that a higher rank is never
 * shed while lower ones are served.
 *
 *     WaitingRoom room(weightOf);
 *     room.push(waiter);
 *     room.sort(now);
 *     room.drain(visit);
 */
class WaitingRoom {
public:
    explicit WaitingRoom(const std::function<double(const std::string&)>& weightOf);

    void push(Waiter);

    /** Moves waiters whose target or half of whose time has passed. */
    void sort(TimePoint now);

    /** Offers waiters in order; see WaitingQueue. */
    void drain(const std::function<WaitingQueue::Offer(const Waiter&)>& visit);

    /** Removes the waiter to shed first: of the lowest rank; of those one that is late already, before one that is not. */
    std::optional<Waiter> popWorst();

    std::vector<Waiter> removeIf(const std::function<bool(const Waiter&)>& matches);
    bool contains(const std::string& node, uint64_t askId) const;
    int64_t tokensUpTo(int rank) const;
    std::size_t size() const;

private:
    WaitingQueue m_overdue;
    WaitingQueue m_inTime;
    WaitingQueue m_late;
};

} // namespace bronzeswitch
