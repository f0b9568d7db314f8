#pragma once

#include <gateway/DecisionLog.h>
#include <gateway/VersionRule.h>
#include <trial/ServiceRollout.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeswitch {

/** What one request revealed about the version that it was dispatched to. */
struct VersionObservation {
    bool isFailed = false; /**< The upstream itself reported a failure. */
    double firstByteMs = 0; /**< Time to the first byte, or spent waiting for it in vain; 0 if it says nothing about the version. */
    double betweenTokensMs = 0; /**< Mean time between tokens, 0 if there was none. */

    bool operator==(const VersionObservation&) const = default;
};

/** A rollout's state for the durable record. */
struct RolloutStatus {
    RolloutOrder order;
    RolloutPhase phase = RolloutPhase::Trial;

    bool operator==(const RolloutStatus&) const = default;
};

/**
 * Runs this node's part of all rollouts: counts the responses of each version, adds the counts that the peers report, and decides
 * which versions may receive requests.
 *
 * An order that is written again after its source had lost changes goes on under its new identity. A rollout has ended once its final
 * phase is in the durable record. Until then, nodes that can reach the record write the phases
 * that are missing there. A node that has not yet read the record after its start does not try a candidate version.
 *
 *     controller.addOrder(order, now);
 *     controller.onDispatched("reader", "lookup", upstream.version);
 *     controller.tick(now, isDelegate, isLeader, isStableVersionIdle);
 */
class RolloutController {
public:
    using ServicePredicate = std::function<bool(const std::string& service)>;

    RolloutController(ExposureBounds, DecisionLog&);

    /**
     * Starts the rollout of an order, unless its service already has the same or a later order, or had it before.
     * @return true if it was started.
     */
    bool addOrder(const RolloutOrder&, TimePoint now);

    /** Processes the last phase of an order in the durable record, or no phase if the record does not contain the order yet. */
    void applyRecord(const RolloutOrder&, std::optional<RolloutPhase>);

    /** Forgets what the durable record contains, since it may have lost changes: it is read again, and what is missing is written again. */
    void forgetRecords();

    /** Counts a request that has been dispatched to an upstream. */
    void onDispatched(const std::string& service, const std::string& route, const std::string& version);

    /** Counts a response, or a request that was given up on while waiting for one. */
    void onResponse(const std::string& service, const std::string& route, const std::string& version, const VersionObservation&);

    /** Processes a peer's reports. @param incarnation a changed one means that the peer has restarted and counts from 0 again. */
    void setPeerReports(const std::string& peer, int64_t incarnation, const std::vector<RolloutReport>&, TimePoint now);

    /** @return this node's reports for its peers. */
    std::vector<RolloutReport> reports(TimePoint now) const;

    /**
     * Advances all rollouts. Called periodically.
     * @param mayJudge whether this node hears the counts of all nodes, so that it can judge a version.
     * @param isLeader returns whether this node decides when to move a service.
     * @param isStableVersionIdle returns whether no request runs on a service's stable version any more.
     * @return the services whose version rule has changed.
     */
    std::vector<std::string> tick(
        TimePoint now, bool mayJudge, const ServicePredicate& isLeader, const ServicePredicate& isStableVersionIdle);

    /** @return the version rules in force. */
    VersionRules rules() const;

    /** @return how many more requests the candidate version may get in the trial, over all nodes. */
    int64_t headroom(const std::string& service) const;

    /** @return the orders whose final phase has not been recorded yet. */
    std::vector<RolloutOrder> unfinishedOrders() const;

    /** @return true if a version of the service is on trial or gets all requests, and the rollout may still be taken back. */
    bool isUndecided(const std::string& service) const;

    /** @return what should be recorded now. @param mayWrite returns whether this node records a service; after a delay, any node does. */
    std::vector<RolloutStatus> dueRecords(TimePoint now, const ServicePredicate& mayWrite) const;

private:
    struct State {
        State(RolloutOrder order, ExposureBounds bounds, TimePoint now)
            : rollout(std::move(order), bounds)
            , started(now)
        {
        }

        void forgetRecord();

        /** @return true if the final phase is in the durable record. */
        bool isEndRecorded() const { return recordedPhase && isFinal(*recordedPhase); }

        ServiceRollout rollout;
        TimePoint started; /**< Time of the order. */
        RouteTallies own;
        RouteTallies retired; /**< Counts of peers before their last restart. */
        std::map<std::string, RolloutReport> peers; /**< Latest report of each peer. */
        bool isRecordRead = false;
        std::optional<RolloutPhase> recordedPhase;
        std::optional<TimePoint> dueSince; /**< Since when the record has lacked a phase. */
        bool isStableVersionIdle = false;
        std::optional<RolloutPhase> rulePhase; /**< Phase of the version rule that is in force on this node. */
    };

    /** @return true if an order of an earlier era, which a later one has replaced, has come back. */
    bool isReplaced(const RolloutOrder&, const RolloutOrder& known) const;
    void rememberReplaced(const RolloutOrder&);
    Duration elapsed(const State&, TimePoint now) const;
    std::vector<RouteTally> totals(const State&) const;
    VersionTally* ownTally(const std::string& service, const std::string& route, const std::string& version);
    std::optional<RolloutPhase> duePhase(const State&, TimePoint now) const;
    void logPhase(const State&, RolloutPhase before, TimePoint now);

    ExposureBounds m_bounds;
    DecisionLog& m_log;
    std::map<std::string, State> m_states;
    std::map<std::string, std::deque<RolloutOrder>> m_replaced; /**< Earlier orders by service, the last ones of each. */
    std::map<std::string, int64_t> m_incarnations;
};

} // namespace bronzeswitch
