#pragma once

#include <base/TimerService.h>
#include <protocol/Messages.h>
#include <trial/RolloutJudge.h>

#include <map>
#include <string>
#include <vector>

namespace bronzeswitch {

/** An operator's order to move a service to another version. */
struct RolloutOrder {
    std::string service;
    std::string target; /**< The version to move to; the candidate. */
    Duration duration { 0 }; /**< From the order to the deadline at which the move should be completed. */
    int64_t id = 0; /**< Increases with each order of an era. */
    int64_t era = 0; /**< Rises when the source of orders has lost changes; then its writers write them again. */

    bool operator==(const RolloutOrder&) const = default;
};

/** @return true if an order has been given after another one. */
bool isLater(const RolloutOrder&, const RolloutOrder& other);

/** @return true if an order is an earlier one that was written again, or came back, after the source of orders had lost changes. */
bool isRewritten(const RolloutOrder&, const RolloutOrder& earlier);

/** @return true if two orders are the same one, or the first is the second one written again. */
bool isSameOrder(const RolloutOrder&, const RolloutOrder& earlier);

/** Upper bound on the requests that a faulty candidate may get between the order and its deadline. */
struct ExposureBounds {
    double share = 0.1; /**< Share of the service's requests. */
    int slack = 50; /**< Requests allowed in addition to the share. */

    bool operator==(const ExposureBounds&) const = default;
};

/** Counts by route. */
using RouteTallies = std::map<std::string, RouteTally>;

/** @return the counts of a route; zero counts are added for a new route. */
RouteTally& tallyOf(RouteTallies&, const std::string& route);

/** Adds the counts of a route to its sums. */
void addTally(RouteTallies& sums, const RouteTally&);

/** @return true if no other phase follows. */
bool isFinal(RolloutPhase);

/**
 * Decides the course of one rollout from the counts of all nodes.
 *
 * During the trial the candidate gets a small share of the requests, and each route is judged by comparison with the stable
 * version at the same time and under the same load. A candidate that is found bad gets no more requests. Since it may turn
 * bad late, all requests move to it only when the requests left until the deadline can't exceed the bound on its exposure.
 *
 * Each node decides by itself from the same totals. The phase only moves forward, so nodes that adopt each other's phase
 * end up with the same one.
 *
 *     ServiceRollout rollout(order, {});
 *     rollout.observe(totals);
 *     rollout.advance(elapsed, mayStartMove);
 *     if (rollout.phase() == RolloutPhase::TakenBack)
 *         ...
 */
class ServiceRollout {
public:
    ServiceRollout(RolloutOrder, ExposureBounds);

    /** Updates the totals that all nodes have counted since the order, by route. Counts never decrease. */
    void observe(const std::vector<RouteTally>& totals);

    /**
     * Changes to the next phase if it is due.
     * @param elapsed time since the order.
     * @param mayStartMove whether this node may move all requests to the candidate; every node may roll back.
     */
    void advance(Duration elapsed, bool mayStartMove);

    /** Adopts the identity under which the order was written again. */
    void setIdentity(const RolloutOrder&);

    /** Adopts another node's phase if it is later than this one's. */
    void adopt(RolloutPhase);

    /**
     * @return true when the stable version may be stopped.
     * @param isStableVersionIdle whether no requests run on the stable version any more.
     */
    bool isReadyToComplete(Duration elapsed, bool isStableVersionIdle) const;

    /** @return how many more requests the candidate may get during the trial. */
    int64_t headroom() const;

    RolloutPhase phase() const { return m_phase; }
    const RolloutOrder& order() const { return m_order; }

    /** @return why the rollout was rolled back, for operators. */
    const std::string& reason() const { return m_reason; }

private:
    void judge(const RouteTally& now, const RouteTally& before);
    void rollBack(std::string reason);
    bool isGood(double elapsedShare) const;
    bool moveFitsExposure(Duration elapsed) const;
    double allowedExposure(double requests) const;

    RolloutOrder m_order;
    ExposureBounds m_bounds;
    RouteTallies m_totals;
    std::map<std::string, RolloutJudge> m_routeJudges;
    RolloutJudge m_serviceJudge;
    int64_t m_requests = 0;
    int64_t m_candidateRequests = 0;
    int64_t m_candidateResponses = 0;
    RolloutPhase m_phase = RolloutPhase::Trial;
    std::string m_reason;
};

} // namespace bronzeswitch
