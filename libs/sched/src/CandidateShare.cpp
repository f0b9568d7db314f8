#include <sched/CandidateShare.h>

namespace bronzeswitch {

bool CandidateShare::mayUse(const VersionPlan& plan)
{
    if (plan.candidate.empty() || m_stopped.contains(plan.rollout))
        return false;
    if (const auto allowance = m_allowances.find(plan.rollout); allowance != m_allowances.end())
        return allowance->second > 0;
    auto& count = m_counts[plan.rollout];
    if (count.step != plan.step)
        count = { plan.step, 0, 0 };
    return static_cast<double>(count.candidate + 1) <= plan.share * static_cast<double>(count.total + 1);
}

void CandidateShare::onGrant(const VersionPlan& plan, bool isCandidate)
{
    if (plan.candidate.empty())
        return;
    auto& count = m_counts[plan.rollout];
    ++count.total;
    count.candidate += isCandidate ? 1 : 0;
    if (const auto allowance = m_allowances.find(plan.rollout); isCandidate && allowance != m_allowances.end())
        --allowance->second;
}

} // namespace bronzeswitch
