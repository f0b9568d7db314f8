#pragma once

#include <base/TimerService.h>
#include <protocol/Messages.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeswitch {

/** @return how much work an ask is, in output tokens. */
double workOf(const SlotRequest&);

/** An ask that waits for a place. */
struct Waiter {
    std::string node;
    SlotRequest ask;
    TimePoint arrived {};
    TimePoint deadline {};
    uint64_t order = 0; /**< Grows with each arrival. */

    bool operator==(const Waiter&) const = default;
};

/**
 * The waiting asks of one pool: by rank, within a rank fair by organisation, within an organisation in order of arrival.
 *
 * Fair share counts the work that an organisation was granted, divided by its weight. An organisation that was idle
 * starts level with the least served active one, so that it can't save up a claim.
 */
class WaitingQueue {
public:
    /** Decides about the head of one route's line. */
    enum class Offer { Take, Skip };

    explicit WaitingQueue(std::function<double(const std::string&)> weightOf)
        : m_weightOf(std::move(weightOf))
    {
    }

    void push(Waiter);

    /**
     * Offers heads in order of rank, fair share and arrival, until none is taken.
     * @param visit returns Take to remove the waiter and charge its work, or Skip to leave it.
     */
    void drain(const std::function<Offer(const Waiter&)>& visit);

    /** Removes the waiter to shed first: lowest rank, then the organisation with most waiting for its weight, then the youngest. */
    std::optional<Waiter> popWorst();

    /** @return the waiter that popWorst() would remove. */
    std::optional<Waiter> worst() const;

    /** Removes and returns the waiters that match. */
    std::vector<Waiter> removeIf(const std::function<bool(const Waiter&)>& matches);

    /** @return true if a waiter of a node with that ask identifier is here. */
    bool contains(const std::string& node, uint64_t askId) const;

    /** @return the output tokens of all waiters up to a rank, as a measure of the work ahead of it. */
    int64_t tokensUpTo(int rank) const;

    std::size_t size() const { return m_size; }

private:
    struct Line {
        std::map<std::string, std::deque<Waiter>> byRoute;
        double served = 0;
        std::size_t size = 0;
    };
    using Rank = std::map<std::string, Line>;

    struct Position {
        int rank;
        std::string organisation;
        std::string route;
    };

    std::vector<std::string> fairOrder(const Rank&) const;
    bool drainRank(Rank&, const std::function<Offer(const Waiter&)>& visit);
    bool drainLine(Line&, double weight, const std::function<Offer(const Waiter&)>& visit);
    std::optional<Position> worstPosition() const;
    void eraseIfEmpty(int rank, const std::string& organisation, const std::string& route);

    std::function<double(const std::string&)> m_weightOf;
    std::map<int, Rank> m_ranks;
    std::map<std::pair<int, std::string>, double> m_served;
    uint64_t m_lastOrder = 0;
    std::size_t m_size = 0;
};

} // namespace bronzeswitch
