#pragma once

#include <gateway/DecisionLog.h>
#include <gateway/VersionRule.h>
#include <trial/ServiceRollout.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeswitch {

/** What an answer showed of the version that gave it. */
struct VersionObservation {
    bool isFailed = false; /**< The upstream said itself that it failed. */
    double firstByteMs = 0; /**< 0 when it says nothing of the version. */
    double betweenTokensMs = 0; /**< 0 when there was none. */

    bool operator==(const VersionObservation&) const = default;
};

/** The state of a rollout that should be recorded durably. */
struct RolloutStatus {
    RolloutOrder order;
    RolloutPhase phase = RolloutPhase::Trial;

    bool operator==(const RolloutStatus&) const = default;
};

/**
 * This node's part in all rollouts: counts what versions answer, adds up what the nodes tell, and says which versions may
 * be used.
 *
 * A rollout is over when its end stands in the durable record; until then a node with the record in reach writes what is
 * due. A node that has not read the record yet, since it has just started, tries no new version.
 *
 *     desk.addOrder(order, now);
 *     desk.onDispatched("reader", "lookup", upstream.version);
 *     desk.tick(now, isLeader, isIdle);
 */
class RolloutController {
public:
    using ServicePredicate = std::function<bool(const std::string& service)>;

    RolloutController(ExposureBounds, DecisionLog&);

    /** Takes an order; an older one than the last for its service is ignored. @return true if it is new. */
    bool addOrder(const RolloutOrder&, TimePoint now);

    /** Takes what the durable record says of an order; without a phase, that it says nothing yet. */
    void applyRecord(const std::string& service, int64_t order, std::optional<RolloutPhase>);

    /** Counts a request that is sent to an upstream. */
    void onDispatched(const std::string& service, const std::string& route, const std::string& version);

    /** Counts an answer. */
    void onResponse(const std::string& service, const std::string& route, const std::string& version, const VersionObservation&);

    /** Takes what a peer tells. @param incarnation another one starts its counts anew. */
    void setPeerReports(const std::string& peer, int64_t incarnation, const std::vector<RolloutReport>&, TimePoint now);

    /** @return what this node tells its peers. */
    std::vector<RolloutReport> reports(TimePoint now) const;

    /**
     * Goes on with every rollout.
     * @param isLeader this node decides to move a service. @param isOldIdle nothing runs on the service's old version.
     * @return the services whose rule has changed.
     */
    std::vector<std::string> tick(TimePoint now, const ServicePredicate& isLeader, const ServicePredicate& isOldIdle);

    /** @return the rules that are in force now. */
    VersionRules rules() const;

    /** @return how many requests the new version may still get in the trial, over all nodes. */
    int64_t headroom(const std::string& service) const;

    /** @return the orders whose end is not recorded yet. */
    std::vector<RolloutOrder> unfinishedOrders() const;

    /** @return what should be recorded now. @param mayWrite the service is this node's to record; any node may after a while. */
    std::vector<RolloutStatus> dueRecords(TimePoint now, const ServicePredicate& mayWrite) const;

private:
    struct State {
        State(RolloutOrder order, ExposureBounds bounds, TimePoint now)
            : rollout(std::move(order), bounds)
            , started(now)
        {
        }

        /** @return true when the end stands in the durable record. */
        bool isEndRecorded() const { return recorded && isOver(*recorded); }

        ServiceRollout rollout;
        TimePoint started;
        RouteTallies own;
        RouteTallies retired; /**< Of peers' earlier lives. */
        std::map<std::string, RolloutReport> peers;
        bool isRecordRead = false;
        std::optional<RolloutPhase> recorded;
        std::optional<TimePoint> dueSince;
        bool isOldIdle = false;
        std::optional<RolloutPhase> ruled; /**< Phase of the rule that is in force on this node. */
    };

    Duration elapsed(const State&, TimePoint now) const;
    std::vector<RouteTally> totals(const State&) const;
    VersionTally* ownTally(const std::string& service, const std::string& route, const std::string& version);
    std::optional<RolloutPhase> duePhase(const State&, TimePoint now) const;
    void logPhase(const State&, RolloutPhase before, TimePoint now);

    ExposureBounds m_bounds;
    DecisionLog& m_log;
    std::map<std::string, State> m_states;
    std::map<std::string, int64_t> m_incarnations;
};

} // namespace bronzeswitch
