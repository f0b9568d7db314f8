#pragma once

#include <protocol/Messages.h>
#include <sched/AdmissionLimit.h>
#include <sched/CapacityEstimate.h>
#include <sched/ColdStartLimit.h>
#include <sched/InFlightByNode.h>
#include <sched/PaceEstimate.h>
#include <sched/PoolPlan.h>
#include <sched/PrefixCacheEstimate.h>
#include <sched/RequestRateLimit.h>
#include <sched/SpeedEstimate.h>
#include <sched/UntrackedLoad.h>

#include <deque>
#include <optional>
#include <string>

namespace bronzeswitch {

/** The load that an upstream reports about itself. */
struct LoadReport {
    int running = 0;
    int waiting = 0;
    Duration age { 0 }; /**< Time since the upstream measured it. */
    std::string version; /**< Version that the upstream runs; empty if it does not report one. */
    std::optional<int> slots {}; /**< Requests that the upstream runs concurrently. */
    std::optional<double> pace {}; /**< Time that work takes at present, as a multiple of the usual time. */
    bool isRefusal = false; /**< The upstream refused a request because of its load. */

    bool operator==(const LoadReport&) const = default;
};

/** A node's requests at one upstream and its estimates of the upstream's speed. */
struct NodeLoad {
    int running = 0;
    double backlogSeconds = 0; /**< Time until the upstream has processed the prompts already sent to it. */
    double betweenTokensMs = 0; /**< Time between tokens as measured by the node; 0 if not measured. */
    int heldTokens = 0; /**< Prompt and expected output tokens of the running requests. */
    std::optional<PaceEstimate::Report> pace {};
    CapacityEstimate::Levels serviceMs {}; /**< Time of responses by load level, as measured by the node. */

    bool operator==(const NodeLoad&) const = default;
};

/** The state of one upstream, for display to operators. */
struct UpstreamSummary {
    std::string name;
    std::string version;
    int inFlight = 0;
    int limit = 0;
    double betweenTokensMs = 0;

    bool operator==(const UpstreamSummary&) const = default;
};

/** A limit that was learned from an upstream's responses, with what it is based on. */
struct LearnedLimit {
    int limit = 0;
    int slots = 0; /**< The configured limit. */
    double pace = 1; /**< Average time that work takes, as a multiple of the usual time. */
    double serviceMs = 0; /**< Time of a response, or between tokens, at the usual pace; 0 if unknown. */
    Duration age { 0 }; /**< Time since the last response that was measured. */

    bool operator==(const LearnedLimit&) const = default;
};

/** @return the prompt and expected output tokens of a request, which an engine's memory has to hold. */
int heldTokensOf(const SlotRequest&);

/**
 * The load of one upstream of a pool and the estimates of its speed and capacity, as known to the pool's scheduler.
 *
 * While the pool does not learn capacities, the pace and the learned limit have no effect. The methods that depend on the pool's
 * configuration take its plan.
 */
class UpstreamState {
public:
    UpstreamState(const Upstream&, const PoolPlan&);

    /** Applies a new configuration of the upstream and of its pool. */
    void configure(const Upstream&, const PoolPlan&);

    /** @return prompt tokens of the request that are probably not cached. */
    int uncachedTokens(const SlotRequest&) const;

    /** @return the expected time to the first token; an upstream processes prompts in the order of their dispatch, from all nodes. */
    double firstTokenSeconds(const SlotRequest&, TimePoint now) const;

    /** @return the expected time of prefill and output, without the backlog and at the average pace. */
    double serviceSeconds(const SlotRequest&) const;

    /** @return the expected time of work that starts now. @param seconds time of the work at the average pace. */
    double atPresentPace(double seconds, TimePoint now) const;

    /** @return the expected time of a request without tokens, to a plain service; 0 if nothing is learned. */
    double plainServiceSeconds(TimePoint now) const;

    /** @return the requests in flight, including those of other schedulers. */
    int load(const PoolPlan&, TimePoint now) const;

    /** @return how much the upstream is used after one more request: 1 at its limit or with its memory full. */
    double usage(const SlotRequest&, const PoolPlan&, TimePoint now) const;

    /** @return how many requests the upstream may run at a time. */
    int limit(TimePoint now) const;

    /** @return true if the upstream may get another request now. */
    bool hasFreeSlot(const PoolPlan&, TimePoint now) const;

    /** @return true if the memory left for requests can hold the request too. */
    bool hasMemoryFor(const SlotRequest&, const PoolPlan&) const;

    void addSlot(const std::string& node, const SlotRequest&);
    void removeSlot(const std::string& node, const SlotRequest&);

    /** Counts a request that is about to be sent. */
    void onGrant(const SlotRequest&, TimePoint now);

    /** Learns from the end of a request. @param isMeasured false if its times show nothing about the upstream. */
    void onRelease(const SlotRelease&, const PoolPlan&, bool isMeasured, TimePoint now);

    void onLoadReport(const LoadReport&, const PoolPlan&, TimePoint now);
    void setNodeLoad(const std::string& node, const NodeLoad&, TimePoint now);
    void forgetNode(const std::string& node);

    /** Records the granted slots. Call at a regular interval. */
    void tick(TimePoint now);

    /** @return the estimates to share with other nodes; nothing in flight. */
    NodeLoad estimates(const PoolPlan&, TimePoint now) const;

    UpstreamSummary summary(TimePoint now) const;

    /** @return the limit, if it was learned and is below the slots. */
    std::optional<LearnedLimit> learnedLimit(TimePoint now) const;

    Upstream config;
    std::string version; /**< Reported version, or the configured one if none was reported. */
    bool isPaused = false;
    bool learnsCapacity = false;
    TimePoint lastGrantAt {};
    InFlightByNode inFlight;
    InFlightByNode heldTokens; /**< Prompt and expected output tokens of the requests in flight. */
    RequestRateLimit requestLimit;
    std::optional<ColdStartLimit> coldStartLimit;
    PrefixCacheEstimate prefixCache;
    SpeedEstimate speed;
    PaceEstimate pace;

private:
    void setLimitsColdStart(bool isLimited);

    AdmissionLimit m_limit;
    CapacityEstimate m_capacity;
    UntrackedLoad m_untracked; /**< Requests that the upstream reports but this scheduler does not know. */
    int m_reportedLoad = 0; /**< Requests that the last load report counted. */
    TimePoint m_reportedAt {};
    TimePoint m_backlogUntil {}; /**< When the prompts sent by other nodes will have been processed, by their reports. */
    std::deque<std::pair<TimePoint, int>> m_inFlightHistory; /**< Granted slots at each recent tick. */
};

} // namespace bronzeswitch
