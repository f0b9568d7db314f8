#include <algorithm>
#include <gateway/RetryBudget.h>

namespace bronzeswitch {

namespace {

constexpr double safetyFactor = 0.8; // Leaves a margin, because the windows of the nodes are not aligned.

void dropBefore(std::deque<TimePoint>& times, TimePoint limit)
{
    while (!times.empty() && times.front() < limit)
        times.pop_front();
}

} // namespace

RetryBudget::RetryBudget(RetryAllowance allowance)
    : m_allowance(allowance)
{
}

void RetryBudget::dropExpired(TimePoint now)
{
    dropBefore(m_requests, now - m_allowance.window);
    dropBefore(m_retries, now - m_allowance.window);
}

void RetryBudget::onRequest(TimePoint now)
{
    dropExpired(now);
    m_requests.push_back(now);
}

bool RetryBudget::take(std::optional<int> nodes, TimePoint now)
{
    dropExpired(now);
    const double slack = nodes ? m_allowance.slack / std::max(1, *nodes) : 0;
    const double budget = slack + m_allowance.ratio * static_cast<double>(m_requests.size());
    if (static_cast<double>(m_retries.size() + 1) > safetyFactor * budget)
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace bronzeswitch
