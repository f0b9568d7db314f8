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
    std::string target; /**< The version to move to. */
    Duration duration { 0 }; /**< From the order until it should be completed. */
    int64_t id = 0; /**< Grows with each order. */

    bool operator==(const RolloutOrder&) const = default;
};

/** How many requests a version that turns out bad may have got between the order and its deadline. */
struct ExposureBounds {
    double share = 0.1; /**< Of the service's requests. */
    int slack = 50; /**< Requests beyond the share. */

    bool operator==(const ExposureBounds&) const = default;
};

/** Counts by route. */
using RouteTallies = std::map<std::string, RouteTally>;

/** @return the counts of a route, which begin at nothing. */
RouteTally& tallyOf(RouteTallies&, const std::string& route);

/** Adds the counts of a route. */
void addTally(RouteTallies& sums, const RouteTally&);

/** @return true if a phase is an end. */
bool isFinal(RolloutPhase);

/**
 * The decisions of one rollout, from what all nodes together have seen.
 *
 * In the trial the new version gets a small part of the requests, and each of its routes is judged against the old version
 * at the same time and under the same load. A version that is found bad gets nothing more. Since one may turn bad late, all
 * requests go to it only when what is left of the time can't exceed the bound on its exposure.
 *
 * Every node decides for itself from the same totals; the phase goes forward only, so nodes that adopt each other's agree.
 *
 *     ServiceRollout rollout(order, {});
 *     rollout.observe(totals);
 *     rollout.advance(elapsed, mayLead);
 *     if (rollout.phase() == RolloutPhase::TakenBack)
 *         ...
 */
class ServiceRollout {
public:
    ServiceRollout(RolloutOrder, ExposureBounds);

    /** Takes what all nodes have counted since the order, by route. Counts never fall. */
    void observe(const std::vector<RouteTally>& totals);

    /**
     * Goes on to the next phase if it is due.
     * @param elapsed since the order.
     * @param mayLead this node may decide to move all requests; every node may take the version back.
     */
    void advance(Duration elapsed, bool mayLead);

    /** Takes another node's phase, if it is further than this one's. */
    void adopt(RolloutPhase);

    /** @return true when the old version may be stopped. @param isOldIdle nothing runs on the old version any more. */
    bool isReadyToComplete(Duration elapsed, bool isOldIdle) const;

    /** @return how many requests the new version may still get in the trial. */
    int64_t headroom() const;

    RolloutPhase phase() const { return m_phase; }
    const RolloutOrder& order() const { return m_order; }

    /** @return why the version was taken back, for operators. */
    const std::string& reason() const { return m_reason; }

private:
    void judge(const RouteTally& now, const RouteTally& before);
    void takeBack(std::string reason);
    bool isGood(double elapsedShare) const;
    bool fitsExposure(Duration elapsed) const;
    double allowedExposure(double requests) const;

    RolloutOrder m_order;
    ExposureBounds m_bounds;
    RouteTallies m_totals;
    std::map<std::string, RolloutJudge> m_routes;
    RolloutJudge m_service;
    int64_t m_requests = 0;
    int64_t m_candidateRequests = 0;
    int64_t m_candidateAnswers = 0;
    RolloutPhase m_phase = RolloutPhase::Trial;
    std::string m_reason;
};

} // namespace bronzeswitch
