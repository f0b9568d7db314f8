#pragma once

#include <config/Configuration.h>
#include <sched/AdmissionLimit.h>
#include <sched/CandidateShare.h>
#include <sched/NodeCounts.h>
#include <sched/PrefixHistory.h>
#include <sched/SpeedEstimate.h>
#include <sched/WaitingRoom.h>

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <variant>

namespace bronzeswitch {

/** Everything that a pool's home needs from the configuration. */
struct PoolPlan {
    std::vector<Upstream> upstreams;
    std::vector<VersionPlan> versions;
    std::vector<Organisation> organisations;
    Limits limits;
    NominalSpeed nominalSpeed;
    double lowerRankShare = 0; /**< Part of the work that each lower rank gets before higher ones, 0 for a strict order. */
    std::string dataCentre; /**< Where the requests come from; upstreams there are preferred. Empty for no preference. */

    bool operator==(const PoolPlan&) const = default;
};

/** An answer to the node that asked. */
struct PlaceDecision {
    std::string node;
    std::variant<SlotGrant, SlotRefusal> answer;

    bool operator==(const PlaceDecision&) const = default;
};

using PlaceDecisions = std::vector<PlaceDecision>;

/** A dispatch that is running with a place of this pool. */
struct Place {
    std::string node;
    SlotRequest ask;
    std::string upstream;
    std::string version;
    std::string rollout;
    TimePoint granted {};
    TimePoint expires {};

    bool operator==(const Place&) const = default;
};

/** Load that an upstream reported of itself. */
struct LoadReport {
    int running = 0;
    int waiting = 0;
    Duration age { 0 };
    std::string version; /**< Version that the upstream runs; empty when it doesn't say. */

    bool operator==(const LoadReport&) const = default;
};

/** What a node runs at an upstream and knows of it. */
struct NodeLoad {
    int running = 0;
    double backlogSeconds = 0; /**< Until the prompts that were sent there have been read. */
    double betweenTokensMs = 0; /**< As the node has learned it, 0 if it has not. */

    bool operator==(const NodeLoad&) const = default;
};

/** Counters and state of one upstream for operators. */
struct UpstreamSummary {
    std::string name;
    std::string version;
    int inFlight = 0;
    int limit = 0;
    double betweenTokensMs = 0;

    bool operator==(const UpstreamSummary&) const = default;
};

/**
 * The home of one pool: it alone admits to the pool's upstreams, in order of rank and fair share.
 *
 * Holds the waiting asks and knows the work in flight at each upstream, so that the upstream's own queue stays short.
 * Not synchronised; time is passed in.
 *
 *     PoolScheduler pool(now);
 *     pool.configure(plan, now);
 *     for (const auto& decision : pool.ask("n1", ask, now))
 *         mesh.send(decision.node, ...);
 */
class PoolScheduler {
public:
    /** @param settleUntil no place is granted before this time, so that running dispatches can be reported first. */
    explicit PoolScheduler(TimePoint settleUntil);

    /** Takes a new plan; upstreams that it no longer shows get no new work. */
    PlaceDecisions configure(const PoolPlan&, TimePoint now);

    /** Takes an ask; asking again with the same identifier has no second effect. */
    PlaceDecisions ask(const std::string& node, const SlotRequest&, TimePoint now);

    /** Takes an ask back. */
    void cancel(const std::string& node, uint64_t askId);

    /** Takes the end of a dispatch. @param ended set to the place that was freed, if it was known. */
    PlaceDecisions done(const std::string& node, const SlotRelease&, TimePoint now, std::optional<Place>* ended = nullptr);

    /** Takes a running dispatch that an earlier home granted. */
    void hold(const std::string& node, const SlotInUse&, TimePoint now);

    /** Frees the places of a node that is gone and drops its asks. */
    PlaceDecisions nodeLost(const std::string& node, TimePoint now);

    /** Takes an upstream's load report and cache events. */
    void report(const std::string& upstream, const LoadReport&, TimePoint now);
    void cacheEvent(const std::string& upstream, int64_t sequence, bool isStored, uint64_t prefix);

    /**
     * Takes what a node says of itself, by upstream. Places that it should have and does not run are free after a while.
     */
    PlaceDecisions setNodeLoads(const std::string& node, const std::map<std::string, NodeLoad>&, TimePoint now);

    /** Closes an upstream to new work for a while, or opens it again. */
    void setClosed(const std::string& upstream, bool isClosed);

    /** @return the engines that report another version than the plan names for them. */
    std::vector<Upstream> wrongVersions() const;

    /** Lets a rollout's candidate get so many more places, in place of the plan's share. */
    void allowCandidate(const std::string& rollout, int64_t places);

    /** @return the requests that run at an upstream, as far as this scheduler knows. */
    int load(const std::string& upstream) const;

    /** Stops a rollout's candidate at once, whatever the plan says. */
    void stopRollout(const std::string& rollout);

    /** Drops asks that can't finish in time, frees expired places and grants what fits. */
    PlaceDecisions tick(TimePoint now);

    /** Refuses everything that waits. */
    PlaceDecisions refuseAll(RefusalReason);

    std::size_t waiting() const { return m_waiting.size(); }

    /** @return how often an upstream was looked at for an ask so far. */
    uint64_t examined() const { return m_examined; }
    std::size_t inFlight() const { return m_places.size(); }
    int inFlight(const std::string& upstream) const;

    /** Takes how many requests a node runs at one upstream. */
    void setReported(const std::string& node, const std::string& upstream, int running);

    /** @return what this scheduler has learned of its upstreams, for the schedulers of other nodes; nothing runs. */
    std::map<std::string, NodeLoad> learned(TimePoint now) const;

    std::vector<UpstreamSummary> summaries(TimePoint now) const;
    const PoolPlan& plan() const { return m_plan; }

    /** @return the sequence number of the next cache event to ask an upstream for. */
    int64_t nextCacheEvent(const std::string& upstream) const;

private:
    struct UpstreamState {
        UpstreamState(const Upstream& upstream, const PoolPlan& plan)
            : config(upstream)
            , version(upstream.version)
            , limit(upstream.slots, { plan.limits.firstTokenTarget, plan.limits.betweenTokensTarget })
            , speed(plan.nominalSpeed)
        {
        }

        Upstream config;
        std::string version; /**< As reported, else as configured. */
        AdmissionLimit limit;
        SpeedEstimate speed;
        PrefixHistory prefixes;
        bool isClosed = false;
        NodeCounts counts;
        int foreign = 0; /**< Requests that the upstream reports and this scheduler doesn't know of. */
        TimePoint backlogUntil {}; /**< By what other schedulers tell. */
        TimePoint lastGrant {};
        std::deque<std::pair<TimePoint, int>> inFlightHistory;

        /** @return the requests that run there, as far as this scheduler knows. */
        int load() const { return std::max(counts.places() + foreign, counts.load()); }
    };

    struct Choice {
        UpstreamState* upstream = nullptr;
        bool isCandidate = false;
    };

    using PlaceKey = std::pair<std::string, uint64_t>;
    using WaitingKind = std::pair<std::string, int>; /**< Route and rank; asks of one kind find room alike. */

    PlaceDecisions grantWaiting(TimePoint now);
    PlaceDecisions grantFreed(const std::string& upstream, TimePoint now);
    PlaceDecisions offer(UpstreamState* only, TimePoint now);
    bool isFull(TimePoint now) const;
    std::optional<PlaceDecision> makeRoom(const Waiter&);
    std::optional<SlotRefusal> hopeless(const Waiter&, TimePoint now) const;
    Choice choose(const Waiter&, UpstreamState* only, TimePoint now);
    UpstreamState* bestOf(const Waiter&, const VersionPlan&, const std::string& version, UpstreamState* only, TimePoint now);
    bool fits(const UpstreamState&, const Waiter&, const VersionPlan&, const std::string& version, TimePoint now) const;
    bool isUsable(const UpstreamState&, const Waiter&, const VersionPlan&, const std::string& version) const;
    bool hasRoom(const UpstreamState&, TimePoint now) const;
    bool isNear(const UpstreamState&) const;
    bool isReserved(int rank, TimePoint now) const;
    void notePeak();
    int topInFlight() const;
    int uncachedTokens(const UpstreamState&, const SlotRequest&) const;
    double firstTokenSeconds(const UpstreamState&, const SlotRequest&, TimePoint now) const;
    double serviceSeconds(const UpstreamState&, const SlotRequest&) const;
    double fastestService(const Waiter&, const VersionPlan&, const std::string& version) const;
    double placeCost(const UpstreamState&, const SlotRequest&, TimePoint now) const;
    SlotGrant grant(const Waiter&, const Choice&, TimePoint now);
    void addPlace(Place);
    void freePlace(const Place&);
    void countPlace(const Place&, int change);
    bool freeUnusedPlaces(const std::string& node, TimePoint now);
    void learn(UpstreamState&, const SlotRelease&, TimePoint now);
    const VersionPlan* versionPlan(const std::string& route) const;
    double weightOf(const std::string& organisation) const;
    Duration estimatedWait(int rank, TimePoint now) const;

    TimePoint m_settleUntil;
    uint64_t m_examined = 0;
    PoolPlan m_plan;
    std::map<std::string, UpstreamState> m_upstreams;
    WaitingRoom m_waiting;
    std::map<PlaceKey, Place> m_places;
    int m_topRank = std::numeric_limits<int>::max(); /**< Highest rank that has asked here. */
    std::map<int, int> m_placesOfRank;
    bool m_wasFull = false; /**< No upstream had room when all were last looked at. */
    double m_topPeak = 0; /**< Most places that the highest rank held lately; decays. */
    CandidateShare m_candidates;
};

} // namespace bronzeswitch
