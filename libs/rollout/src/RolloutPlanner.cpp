#include <rollout/RolloutPlanner.h>

namespace bronzeswitch {

namespace {

constexpr double firstExpansion = 0.25;
constexpr double secondExpansion = 0.5;
constexpr double fullShare = 1;
constexpr int stepsToHurry = 4; // Soak times before the deadline below which steps are skipped.

bool isHurried(const RolloutPlanInput& situation)
{
    const auto left = std::chrono::seconds(situation.rollout.deadline - situation.now);
    return left < stepsToHurry * situation.limits.rolloutSoak;
}

PlannedStep afterGoodVerdict(const RolloutPlanInput& situation)
{
    const auto& current = *situation.current;
    if (isHurried(situation) || current.share >= secondExpansion)
        return { RolloutStage::Soaking, fullShare, "judged good" };
    const double next = current.share < firstExpansion ? firstExpansion : secondExpansion;
    return { RolloutStage::Expanding, next, "judged good" };
}

} // namespace

std::optional<PlannedStep> planNextStep(const RolloutPlanInput& situation)
{
    const auto& current = situation.current;
    if (current && isFinal(current->stage))
        return std::nullopt;
    if (situation.rollout.aborted)
        return PlannedStep { RolloutStage::TakenBack, 0, "aborted by an operator" };
    if (situation.verdict == Verdict::Bad)
        return PlannedStep { RolloutStage::TakenBack, 0, situation.verdictReason };
    const bool isLate = situation.now >= situation.rollout.deadline;
    if (current && current->stage == RolloutStage::Soaking) {
        const bool isSoaked = situation.timeInStep >= situation.limits.rolloutSoak;
        if (isSoaked || isLate)
            return PlannedStep { RolloutStage::Finished, fullShare, "no fault at full share" };
        return std::nullopt;
    }
    if (isLate)
        return PlannedStep { RolloutStage::TakenBack, 0, "deadline passed before the version was judged good" };
    if (!current)
        return PlannedStep { RolloutStage::Canary, situation.limits.rolloutStartShare, "started" };
    if (situation.verdict == Verdict::Good)
        return afterGoodVerdict(situation);
    return std::nullopt;
}

} // namespace bronzeswitch
