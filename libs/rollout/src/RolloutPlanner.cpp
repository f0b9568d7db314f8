#include <rollout/RolloutPlanner.h>

namespace bronzeswitch {

namespace {

constexpr double firstExpansionShare = 0.25;
constexpr double secondExpansionShare = 0.5;
constexpr double fullShare = 1;
constexpr int minSoaksToDeadline = 4; // If fewer soak times remain, the expansion steps are skipped.

bool isDeadlineNear(const RolloutPlanInput& input)
{
    const auto remaining = std::chrono::seconds(input.rollout.deadline - input.now);
    return remaining < minSoaksToDeadline * input.limits.rolloutSoak;
}

PlannedStep afterGoodVerdict(const RolloutPlanInput& input)
{
    const auto& current = *input.current;
    if (isDeadlineNear(input) || current.share >= secondExpansionShare)
        return { RolloutStage::Soaking, fullShare, "judged good" };
    const double next = current.share < firstExpansionShare ? firstExpansionShare : secondExpansionShare;
    return { RolloutStage::Expanding, next, "judged good" };
}

} // namespace

std::optional<PlannedStep> planNextStep(const RolloutPlanInput& input)
{
    const auto& current = input.current;
    if (current && isFinal(current->stage))
        return std::nullopt;
    if (input.rollout.aborted)
        return PlannedStep { RolloutStage::TakenBack, 0, "aborted by an operator" };
    if (input.verdict == Verdict::Bad)
        return PlannedStep { RolloutStage::TakenBack, 0, input.verdictReason };
    const bool isDeadlinePassed = input.now >= input.rollout.deadline;
    if (current && current->stage == RolloutStage::Soaking) {
        const bool hasSoaked = input.timeInStep >= input.limits.rolloutSoak;
        if (hasSoaked || isDeadlinePassed)
            return PlannedStep { RolloutStage::Finished, fullShare, "no fault at full share" };
        return std::nullopt;
    }
    if (isDeadlinePassed)
        return PlannedStep { RolloutStage::TakenBack, 0, "deadline passed before the version was judged good" };
    if (!current)
        return PlannedStep { RolloutStage::Canary, input.limits.rolloutStartShare, "started" };
    if (input.verdict == Verdict::Good)
        return afterGoodVerdict(input);
    return std::nullopt;
}

} // namespace bronzeswitch
