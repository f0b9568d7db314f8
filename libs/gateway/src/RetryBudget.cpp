#include <algorithm>
#include <gateway/RetryBudget.h>

namespace bronzeswitch {

namespace {

constexpr double safetyShare = 0.8; // Windows of the nodes are not aligned.

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

void RetryBudget::forget(TimePoint now)
{
    dropBefore(m_requests, now - m_allowance.window);
    dropBefore(m_repeats, now - m_allowance.window);
}

void RetryBudget::onRequest(TimePoint now)
{
    forget(now);
    m_requests.push_back(now);
}

bool RetryBudget::take(int nodes, TimePoint now)
{
    forget(now);
    const double share = m_allowance.slack / std::max(1, nodes) + m_allowance.ratio * static_cast<double>(m_requests.size());
    if (static_cast<double>(m_repeats.size() + 1) > safetyShare * share)
        return false;
    m_repeats.push_back(now);
    return true;
}

} // namespace bronzeswitch
