#pragma once

#include <gateway/BodyMemory.h>
#include <gateway/ColdStartShares.h>
#include <gateway/ColdUpstreams.h>
#include <gateway/DecisionLog.h>
#include <gateway/Evacuations.h>
#include <gateway/HeaderCodec.h>
#include <gateway/LimitLog.h>
#include <gateway/PromptGuard.h>
#include <gateway/QuotaEnforcer.h>
#include <gateway/RequestMemory.h>
#include <gateway/RetryBudget.h>
#include <gateway/RolloutController.h>
#include <gateway/RoutingTable.h>
#include <gateway/SlotAllocator.h>
#include <gateway/UpstreamDirectory.h>
#include <gateway/UpstreamNotices.h>
#include <gateway/UpstreamPauses.h>
#include <metrics/Metrics.h>
#include <net/HttpConnectionPool.h>

#include <map>
#include <memory>
#include <set>

namespace bronzeswitch {

class BrokenResponses;
class RequestTask;
class UpstreamPaths;

/** Estimates how long a caller waits for the next event of a stream, also for the first one, before it gives up. */
struct StreamEventTimeout {
    Duration minimum { 2000 };
    int targetLatencyFactor = 4; /**< Multiple of the route's target latency. */
    int targetGapFactor = 8; /**< Multiple of the route's target for the pause between events. */

    /** @return the longest of the minimum and the two multiples of the route's targets. */
    Duration forRoute(const GatewayRoute& route) const
    {
        return std::max({ minimum, route.targetLatency * targetLatencyFactor, route.targetGap * targetGapFactor });
    }
    bool operator==(const StreamEventTimeout&) const = default;
};

/** Limits and time spans of request handling that a deployment can configure. */
struct GatewayBounds {
    RetryAllowance retries;
    QuotaBounds quotas;
    StreamEventTimeout streamEventTimeout;
    ExposureBounds exposure;
    ColdStartBounds coldStart;
    Duration closeListenerAfter { 2500 }; /**< Time from the stop signal until new connections are refused. */
    /** Time from the stop signal until no more requests are sent to upstreams, since they would hardly end in time. */
    Duration lastDispatchAfter { 3000 };
    Duration abandonRequestsAfter { 7000 }; /**< Time from the stop signal until requests that still run are abandoned. */

    bool operator==(const GatewayBounds&) const = default;
};

/** State that all tasks of a gateway node share; not synchronised, since everything runs on one event loop. */
struct GatewayContext {
    Executor executor;
    std::string node;
    GatewayBounds bounds;
    HeaderCodec headerCodec;
    DecisionLog& log;
    Metrics& metrics;
    HttpConnectionPool& connectionPool;
    SlotAllocator& slots;
    RolloutController& rollouts;
    QuotaEnforcer& quotas;
    PromptGuard& prompts;
    UpstreamNotices& notices;
    ColdUpstreams& coldUpstreams;
    RoutingTablePointer routing;
    UpstreamDirectory directory;
    std::map<std::string, RetryBudget> retryBudgets; /**< By service. */
    std::function<std::optional<int>()> nodeCount; /**< @return how many nodes may use the upstreams, with this one, if known. */
    /** Makes sure that the routing is the newest one, by reading its source if need be. @return false if that is not known. */
    std::function<Task<bool>()> confirmRouting {};
    std::map<std::string, Duration> longestTimeouts {}; /**< Longest timeout that callers have sent, by route. */
    UpstreamPauses pauses {};
    Evacuations evacuations {};
    bool isDraining = false;
    bool mayDispatch = true; /**< False late in a graceful shutdown: no more requests are sent to upstreams. */
    /** Shared with the requests, which the event loop may destroy after the node. */
    std::shared_ptr<std::set<RequestTask*>> activeRequests = std::make_shared<std::set<RequestTask*>>();
    /** Of response bodies that are read completely before they are forwarded or discarded. Shared with the requests as well. */
    std::shared_ptr<BodyMemory> bodyMemory = std::make_shared<BodyMemory>(BodyMemory::capacityFor(0));
    /** Of the heads and bodies of callers' requests. Shared with the requests as well. */
    std::shared_ptr<RequestMemory> requestMemory = std::make_shared<RequestMemory>(RequestMemory::capacityFor(0));
    LimitLog limits { log, metrics };
    UpstreamPaths* paths = nullptr; /**< Connects to upstreams. */
    BrokenResponses* brokenResponses = nullptr; /**< Counts responses that upstreams break off against their versions. */
    /** Sends a message to another node. */
    std::function<void(const std::string& address, const Message&)> sendToNode {};

    RetryBudget& retryBudgetFor(const std::string& service) { return retryBudgets.try_emplace(service, bounds.retries).first->second; }
};

} // namespace bronzeswitch
