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

/** @return the estimated work of a request, in units of one output token. */
double workOf(const SlotRequest&);

/** A slot request in the queue, with the node that sent it. */
struct Waiter {
    std::string node;
    SlotRequest request;
    TimePoint arrivedAt {};
    TimePoint deadline {};
    uint64_t sequence = 0; /**< Increases with each arrival; set by the queue. */
    bool hasReturned = false; /**< Its caller was refused before and came back at its return time. */
    bool isEarlyReturn = false; /**< Its caller was refused before and came back before its return time. */
    bool isLate = false; /**< Its target latency has passed; set by PoolQueue. */
    bool isProbe = false; /**< Let through although an estimate speaks against it, so that the estimate is corrected. */

    bool operator==(const Waiter&) const = default;
};

/**
 * Queues slot requests by rank, by weighted fair share between the organisations of a rank, and by arrival within an
 * organisation.
 *
 * The fair share is the work granted to an organisation, divided by its weight. An organisation that was idle starts level
 * with the least served active one, so that it can't accumulate credit.
 */
class WaitingQueue {
public:
    /** What a visitor does with a request: take it out of the queue, leave it there, or remove it without counting its work. */
    enum class VisitResult { Take, Skip, Drop };

    explicit WaitingQueue(std::function<double(const std::string&)> weightOf)
        : m_weightOf(std::move(weightOf))
    {
    }

    void push(Waiter);

    /**
     * Visits requests in order of rank, fair share and arrival, until no more is taken.
     *
     * Only the oldest request of each organisation and route is visited. Ranks are independent: when a rank has nothing left
     * to take, the next lower one follows.
     * @param visit returns Take to remove the request and count its work against the organisation's share, Drop to remove it only, or
     * Skip.
     */
    void takeInOrder(const std::function<VisitResult(const Waiter&)>& visit);

    /**
     * Removes the request to shed first: in the lowest rank, the latest arrival of the organisation that has the most requests
     * waiting in relation to its weight.
     */
    std::optional<Waiter> evict();

    /** @return the request that evict() would remove. */
    std::optional<Waiter> nextToEvict() const;

    /** Removes and returns the requests that match. */
    std::vector<Waiter> removeIf(const std::function<bool(const Waiter&)>& matches);

    /** @return true if the node's slot request with this identifier is queued. */
    bool contains(const std::string& node, uint64_t slotRequestId) const;

    /** @return the expected output tokens of all requests of this rank and higher ones, each counted with one token more. */
    int64_t tokensUpTo(int rank) const;

    /** @return how many of the requests go before a new one of this rank and organisation, by fair share. */
    double requestsAhead(int rank, const std::string& organisation) const;

    /** Counts the work of a request against its organisation's share, as if it had been taken from this queue. */
    void charge(const SlotRequest&);

    /** Reduces the record of the work granted to each organisation by a factor, so that recent work counts most. */
    void decayServedWork(double factor);

    std::size_t size() const { return m_size; }

private:
    struct OrganisationQueue {
        std::map<std::string, std::deque<Waiter>> byRoute;
        double servedWork = 0; /**< Divided by the organisation's weight. */
        double waitingWork = 0;
        double weight = 1; /**< Of the organisation when its first request came. */
        std::size_t size = 0;
    };
    using OrganisationQueues = std::map<std::string, OrganisationQueue>;

    struct Position {
        int rank;
        std::string organisation;
        std::string route;
    };

    std::vector<std::string> organisationsByServedWork(const OrganisationQueues&) const;
    bool takeFromRank(OrganisationQueues&, const std::function<VisitResult(const Waiter&)>& visit);
    bool takeFromOrganisation(OrganisationQueue&, double weight, const std::function<VisitResult(const Waiter&)>& visit);
    double initialServedWork(int rank, const std::string& organisation) const;
    std::optional<Position> evictionPosition() const;
    void eraseIfEmpty(int rank, const std::string& organisation, const std::string& route);

    std::function<double(const std::string&)> m_weightOf;
    std::map<int, OrganisationQueues> m_ranks;
    std::map<std::pair<int, std::string>, double> m_servedWork; /**< By rank and organisation; kept while it has no requests. */
    uint64_t m_lastSequence = 0;
    std::size_t m_size = 0;
};

} // namespace bronzeswitch
