#pragma once

#include <sched/AdmissionControl.h>
#include <sched/CandidateShare.h>
#include <sched/PauseDetector.h>
#include <sched/PoolPlan.h>
#include <sched/PoolQueue.h>
#include <sched/UpstreamState.h>

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <variant>

namespace bronzeswitch {

/** The response to a slot request, with the node to send it to. */
struct SlotDecision {
    std::string node;
    std::variant<SlotGrant, SlotRefusal> response;

    bool operator==(const SlotDecision&) const = default;
};

/** Decisions to send to the nodes named in them. */
using SlotDecisions = std::vector<SlotDecision>;

/** A slot of the pool that is in use: a request that a node runs at an upstream. */
struct GrantedSlot {
    std::string node;
    SlotRequest request;
    std::string upstream;
    std::string version;
    std::string rollout;
    TimePoint grantedAt {};
    TimePoint expiresAt {};
    int64_t waitedMs = -1; /**< As in SlotGrant. */

    bool operator==(const GrantedSlot&) const = default;
};

/**
 * Schedules the requests of one pool: decides which request may run next and at which upstream.
 *
 * Runs on the home node of the pool, which alone grants the pool's slots. A slot is the permission to run one request at one
 * upstream. The scheduler queues the slot requests of all nodes, grants by rank (0 is the highest) and fair share, and tracks
 * the requests in flight at each upstream, so that the upstream's own queue stays short.
 *
 * Not thread-safe. The caller passes in the current time.
 *
 *     PoolScheduler pool(now);
 *     pool.configure(plan, now);
 *     for (const auto& decision : pool.requestSlot("n1", request, now))
 *         mesh.send(decision.node, ...);
 */
class PoolScheduler {
public:
    /** @param settleUntil no slot is granted before this time, so that nodes can first report the requests they already run. */
    explicit PoolScheduler(TimePoint settleUntil);

    /** Applies a new configuration. Upstreams that are no longer in it get no new requests. */
    SlotDecisions configure(const PoolPlan&, TimePoint now);

    /** Queues a slot request and grants what is possible. Idempotent: a granted request that is resent gets the same grant. */
    SlotDecisions requestSlot(const std::string& node, const SlotRequest&, TimePoint now);

    /** Removes a queued slot request. */
    void cancel(const std::string& node, uint64_t slotRequestId);

    /**
     * Frees the slot of a request that has ended, and learns from its latency or failure.
     * @param ended set to the freed slot; unchanged if the slot is not known.
     */
    SlotDecisions releaseSlot(const std::string& node, const SlotRelease&, TimePoint now, std::optional<GrantedSlot>* ended = nullptr);

    /** Records a running request whose slot was granted by the pool's previous home node. */
    void restoreSlot(const std::string& node, const SlotInUse&, TimePoint now);

    /** Frees the slots of a lost node and drops its queued requests. */
    SlotDecisions removeNode(const std::string& node, TimePoint now);

    /** Updates the number of requests at an upstream that other schedulers have sent, and the version it runs. */
    void onLoadReport(const std::string& upstream, const LoadReport&, TimePoint now);

    /** Handles an event of an upstream's prefix cache; see PrefixCacheEstimate. */
    void onCacheEvent(const std::string& upstream, int64_t sequence, bool isStored, uint64_t prefix);

    /**
     * Updates the load that a node reports, by upstream; upstreams that are missing count as idle.
     *
     * Frees slots that the node holds for longer than a grace period but does not report as running.
     */
    SlotDecisions setNodeLoads(const std::string& node, const std::map<std::string, NodeLoad>&, TimePoint now);

    /** Stops or resumes the granting of slots at an upstream. */
    void setPaused(const std::string& upstream, bool isPaused);

    /** @return the engines that run another version than the one configured for them. */
    std::vector<Upstream> enginesOnWrongVersion() const;

    /** Allows a rollout's candidate version this many more slots, instead of the plan's share. */
    void allowCandidate(const std::string& rollout, int64_t slots);

    /** @return the requests in flight at an upstream, by the larger of granted slots and reports for each node. */
    int load(const std::string& upstream) const;

    /** Stops a rollout's candidate version at once and for good, whatever the plan says. */
    void stopRollout(const std::string& rollout);

    /** Refuses requests that can't finish in time, frees expired slots and grants free ones. Call at a regular interval. */
    SlotDecisions tick(TimePoint now);

    /** Refuses all queued requests. */
    SlotDecisions refuseAll(RefusalReason);

    /** @return the number of queued slot requests. */
    std::size_t waiting() const { return m_queue.size(); }

    /** @return how many times an upstream has been checked for a request so far; a measure of the scheduling work. */
    uint64_t upstreamChecks() const { return m_upstreamChecks; }

    /** @return true if the upstream belongs to the pool. */
    bool has(const std::string& upstream) const { return m_upstreams.contains(upstream); }

    /** @return the number of slots in use. */
    std::size_t inFlight() const { return m_slots.size(); }
    int inFlight(const std::string& upstream) const;

    /** Sets the upstreams that fail many of their requests; they get requests only if no other upstream can take them. */
    void setSuspects(std::set<std::string> suspects) { m_suspects = std::move(suspects); }

    /** Sets the requests a second that upstreams take from all nodes together; those that are missing state no limit. */
    void setRequestLimits(const std::map<std::string, double>& perSecond, TimePoint now);

    /**
     * Sets the rates at which each upstream of the pool gets requests; no limit without rates. Affects only plans with limitsColdStart.
     * @param isTakeover whether this scheduler begins to decide for the pool: the limits then begin with empty buckets.
     */
    void setColdStartRates(const ColdStartRates&, bool isTakeover, TimePoint now);

    /** Sets until when an upstream is cold or possibly cold. */
    void setColdUntil(const std::string& upstream, TimePoint until, TimePoint now);

    /** @return true if only the node that decides for the whole pool may use one of the upstreams freely. */
    bool hasLimits() const;

    /** @return the upstreams that state a request limit, and those that may be cold. */
    std::vector<std::string> limitedUpstreams(TimePoint now) const;

    /** Sets how many requests a node reports to run at one upstream, and the tokens that they hold there. */
    void setReportedRunning(const std::string& node, const std::string& upstream, int running, int heldTokens = 0);

    /** @return the estimates of each upstream, to share with other nodes; `running` is always 0. */
    std::map<std::string, NodeLoad> upstreamEstimates(TimePoint now) const;

    /** @return true if the pool learns the capacity of its upstreams. */
    bool learnsCapacity() const { return m_learnsCapacity; }

    /** @return the limits of the upstreams that get fewer requests than their slots allow, while the pool learns capacities. */
    std::map<std::string, LearnedLimit> learnedLimits(TimePoint now) const;

    std::vector<UpstreamSummary> summaries(TimePoint now) const;
    AdmissionStatus admissionStatus(TimePoint now) const { return m_admission.status(now); }
    const PoolPlan& plan() const { return m_plan; }

    /** @return the sequence number of the next cache event to request from an upstream. */
    int64_t nextCacheEvent(const std::string& upstream) const;

private:
    struct Choice {
        UpstreamState* upstream = nullptr;
        bool isCandidate = false;
    };

    using SlotKey = std::pair<std::string, uint64_t>; /**< Node and identifier of the slot request. */
    using RequestClass = std::pair<std::string, int>; /**< Route and rank: requests of one class compete for the same slots. */

    SlotDecisions grantOnAll(TimePoint now);
    SlotDecisions grantAfterRelease(const std::string& upstream, TimePoint now);
    SlotDecisions grantSlots(UpstreamState* only, TimePoint now);
    bool isFull(TimePoint now) const;
    SlotDecision refuse(const Waiter&, RefusalReason, TimePoint now);
    /** @return the shortest times over the upstreams that are usable for a request; none if there is none. */
    std::optional<FastestTimes> fastestTimes(const Waiter&, TimePoint now) const;
    Choice chooseUpstream(const Waiter&, UpstreamState* only, TimePoint now);
    UpstreamState* cheapestUpstream(const Waiter&, const VersionPlan&, const std::string& version, UpstreamState* only, TimePoint now);
    bool canServe(const UpstreamState&, const Waiter&, const VersionPlan&, const std::string& version, TimePoint now) const;
    bool isUsable(const UpstreamState&, const Waiter&, const VersionPlan&, const std::string& version) const;
    bool isInPreferredDataCentre(const UpstreamState&, const SlotRequest&) const;
    bool isReservedForTopRank(int rank, TimePoint now) const;
    void updateTopRankPeak();
    int topRankInFlight() const;
    double fastestServiceSeconds(const Waiter&, const VersionPlan&, const std::string& version, TimePoint now) const;
    double expectedCost(const UpstreamState&, const SlotRequest&, TimePoint now) const;
    SlotGrant grant(const Waiter&, const Choice&, TimePoint now);
    void addSlot(GrantedSlot);
    void uncountSlot(const GrantedSlot&);
    void changeRankCount(const GrantedSlot&, int change);
    bool freeUnusedSlots(const std::string& node, TimePoint now);
    void configureAdmission();
    void updateLearning();
    const VersionPlan* versionPlan(const std::string& route) const;
    double weightOf(const std::string& organisation) const;
    Duration estimatedWait(int rank, TimePoint now) const;

    TimePoint m_settleUntil;
    uint64_t m_upstreamChecks = 0;
    PoolPlan m_plan;
    std::map<std::string, UpstreamState> m_upstreams;
    PoolQueue m_queue;
    AdmissionControl m_admission;
    std::map<SlotKey, GrantedSlot> m_slots;
    int m_topRank = std::numeric_limits<int>::max(); /**< Highest rank that has requested a slot; lower numbers rank higher. */
    std::map<int, int> m_slotsByRank; /**< Slots in use. */
    bool m_wasFull = false; /**< No upstream had a free slot when last checked, with requests waiting. */
    double m_topRankPeak = 0; /**< Recent peak of the slots that the highest rank used; decays. */
    CandidateShare m_candidateShare;
    PauseDetector m_pauses;
    bool m_isPaceKnown = false; /**< An upstream of the pool has stated its pace. */
    bool m_learnsCapacity = false;
    std::set<std::string> m_suspects;
};

} // namespace bronzeswitch
