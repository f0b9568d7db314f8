#pragma once

#include <config/Configuration.h>
#include <ledger/LedgerState.h>
#include <trial/RolloutJudge.h>

#include <optional>

namespace bronzeswitch {

/** The next step of a rollout. */
struct PlannedStep {
    RolloutStage stage = RolloutStage::Pending;
    double share = 0;
    std::string reason;

    bool operator==(const PlannedStep&) const = default;
};

/** What the planner looks at. */
struct RolloutPlanInput {
    Rollout rollout;
    std::optional<RolloutStepRecord> current; /**< Newest accepted step, if any. */
    Verdict verdict = Verdict::Undecided;
    std::string verdictReason;
    Duration timeInStep { 0 }; /**< Time since the current step came into force. */
    int64_t now = 0; /**< Seconds since the epoch. */
    Limits limits;

    bool operator==(const RolloutPlanInput&) const = default;
};

/**
 * Decides the next step of a rollout, if one is due.
 *
 * The share starts at the start share and grows only on a good verdict. Near the deadline the steps between are skipped,
 * the first judgement never. A rollout that is not at full share by its deadline is taken back.
 */
std::optional<PlannedStep> planNextStep(const RolloutPlanInput&);

} // namespace bronzeswitch
