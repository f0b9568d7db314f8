#pragma once

#include <config/Configuration.h>
#include <ledger/LedgerState.h>
#include <trial/RolloutJudge.h>

#include <optional>

namespace bronzeswitch {

/** A step that a rollout should take next. */
struct PlannedStep {
    RolloutStage stage = RolloutStage::Pending;
    double share = 0; /**< Largest share of the route's requests for the candidate version, 0 to 1. */
    std::string reason; /**< Why, for the audit trail. */

    bool operator==(const PlannedStep&) const = default;
};

/** Input of planNextStep(). */
struct RolloutPlanInput {
    Rollout rollout;
    std::optional<RolloutStepRecord> current; /**< Newest accepted step; unset if the rollout has not started. */
    Verdict verdict = Verdict::Undecided; /**< Of the trial, for the current step. */
    std::string verdictReason; /**< Why the verdict is Bad. */
    Duration timeInStep { 0 }; /**< Time since the current step began. */
    int64_t now = 0; /**< Unix time in seconds. */
    Limits limits;

    bool operator==(const RolloutPlanInput&) const = default;
};

/**
 * Decides the next step of a rollout.
 *
 * The candidate version begins with the configured start share, which grows only on a good verdict. Near the deadline a good verdict
 * leads to the full share at once; the verdict on the start share is never skipped. A rollout that is aborted, gets a bad
 * verdict or has not reached the full share by its deadline is rolled back (RolloutStage::TakenBack).
 * @return the step, or nothing if none is due.
 */
std::optional<PlannedStep> planNextStep(const RolloutPlanInput&);

} // namespace bronzeswitch
