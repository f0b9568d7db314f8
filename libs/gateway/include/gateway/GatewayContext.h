#pragma once

#include <gateway/DecisionLog.h>
#include <gateway/QuotaEnforcer.h>
#include <gateway/RetryBudget.h>
#include <gateway/RolloutController.h>
#include <gateway/RoutingTable.h>
#include <gateway/SlotAllocator.h>
#include <gateway/UpstreamDirectory.h>
#include <gateway/WireDialect.h>
#include <metrics/Metrics.h>
#include <net/HttpClientPool.h>

#include <map>

namespace bronzeswitch {

/** How long callers wait for the first event of a stream, or for the next one. */
struct CallerPatience {
    Duration least { 2000 };
    int targetFactor = 4; /**< Of the route's target latency. */
    int gapFactor = 8; /**< Of the longest pause that is still in time. */

    Duration of(const GatewayRoute& route) const
    {
        return std::max({ least, route.targetLatency * targetFactor, route.targetGap * gapFactor });
    }
    bool operator==(const CallerPatience&) const = default;
};

/** Bounds of the request path that deployments set. */
struct GatewayBounds {
    RetryAllowance retries;
    QuotaBounds quotas;
    CallerPatience callerPatience;
    ExposureBounds exposure;
    Duration drainTime { 2500 }; /**< From the stop signal until no connection is taken any more. */
    Duration stopTime { 7000 }; /**< From the stop signal until what still runs is given up. */

    bool operator==(const GatewayBounds&) const = default;
};

/** What the tasks of a gateway share; everything runs on one event loop. */
struct GatewayContext {
    Executor executor;
    std::string node;
    GatewayBounds bounds;
    WireDialect dialect;
    DecisionLog& log;
    Metrics& metrics;
    HttpClientPool& upstreams;
    SlotAllocator& places;
    RolloutController& rollouts;
    QuotaEnforcer& quotas;
    RoutingTablePointer routing;
    UpstreamDirectory directory;
    std::map<std::string, RetryBudget> retryBudgets;
    std::function<int()> nodes; /**< How many nodes share the upstreams. */
    std::map<std::string, Duration> longestPatience {}; /**< That a caller has shown, by route. */
    bool isDraining = false;
    int activeRequests = 0;
    std::size_t bufferedBytes = 0; /**< Of answers that are passed on when they are whole. */

    RetryBudget& retryBudgetOf(const std::string& service) { return retryBudgets.try_emplace(service, bounds.retries).first->second; }
};

} // namespace bronzeswitch
