#pragma once

#include <base/TimerService.h>

#include <deque>

namespace bronzeswitch {

/** What all nodes together may send beyond the first dispatch of each request. */
struct RetryAllowance {
    double ratio = 0.1; /**< Of the requests. */
    double slack = 10; /**< Repeats on top, shared by all nodes. */
    Duration window { 10000 };

    bool operator==(const RetryAllowance&) const = default;
};

/**
 * One node's part of the retry budget of a service.
 *
 * Answers a wave of failures: every node may repeat a share of its own requests and an equal part of the slack, so that the
 * sum stays inside the allowance whatever the others do, without asking them.
 */
class RetryBudget {
public:
    explicit RetryBudget(RetryAllowance);

    void onRequest(TimePoint now);

    /** Takes one repeat out of the budget. @param nodes how many nodes share the slack. @return false if none is left. */
    bool take(int nodes, TimePoint now);

private:
    void forget(TimePoint now);

    RetryAllowance m_allowance;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_repeats;
};

} // namespace bronzeswitch
