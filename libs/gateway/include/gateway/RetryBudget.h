#pragma once

#include <base/TimerService.h>

#include <deque>
#include <optional>

namespace bronzeswitch {

/** Limit on retries, that is on dispatches beyond the first of each request, over all nodes together. */
struct RetryAllowance {
    double ratio = 0.1; /**< Retries per request. */
    double slack = 10; /**< Further retries, shared by all nodes. */
    Duration window { 10000 }; /**< Sliding window over which requests and retries are counted. */

    bool operator==(const RetryAllowance&) const = default;
};

/**
 * One node's part of the retry budget of a service.
 *
 * Keeps a wave of failures from causing a retry storm. Each node may retry the allowed ratio of its own requests plus an equal
 * part of the slack, so that the total stays within the allowance without coordination between the nodes.
 */
class RetryBudget {
public:
    explicit RetryBudget(RetryAllowance);

    /** Counts a request. */
    void onRequest(TimePoint now);

    /**
     * Takes one retry out of the budget.
     * @param nodes number of nodes that share the slack; while it is unknown, this node uses none of the slack.
     * @return false if none is left.
     */
    bool take(std::optional<int> nodes, TimePoint now);

private:
    void dropExpired(TimePoint now);

    RetryAllowance m_allowance;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace bronzeswitch
