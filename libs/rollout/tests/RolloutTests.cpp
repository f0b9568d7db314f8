#include <catch2/catch.hpp>
#include <rollout/RolloutPlanner.h>

using namespace bronzeswitch;

namespace {

RolloutPlanInput makeInput(std::optional<RolloutStage> stage, double share, Verdict verdict, int64_t now)
{
    RolloutPlanInput result;
    result.rollout = { "r", "check", "v1", "v2", 1000, false };
    if (stage) {
        result.current = RolloutStepRecord {};
        result.current->stage = *stage;
        result.current->share = share;
    }
    result.verdict = verdict;
    result.verdictReason = "too many failures";
    result.now = now;
    return result;
}

} // namespace

TEST_CASE("the next step of a rollout depends on its stage, verdict and deadline")
{
    struct Case {
        std::optional<RolloutStage> stage;
        double share;
        Verdict verdict;
        int64_t now;
        std::optional<RolloutStage> next;
        double nextShare;
    };
    using Stage = RolloutStage;
    const Case cases[] = {
        { std::nullopt, 0, Verdict::Undecided, 0, Stage::Canary, 0.05 },
        { std::nullopt, 0, Verdict::Undecided, 1000, Stage::TakenBack, 0 },
        { Stage::Canary, 0.05, Verdict::Undecided, 0, std::nullopt, 0 },
        { Stage::Canary, 0.05, Verdict::Good, 0, Stage::Expanding, 0.25 },
        { Stage::Canary, 0.05, Verdict::Good, 990, Stage::Soaking, 1 },
        { Stage::Canary, 0.05, Verdict::Bad, 0, Stage::TakenBack, 0 },
        { Stage::Canary, 0.05, Verdict::Undecided, 1000, Stage::TakenBack, 0 },
        { Stage::Expanding, 0.25, Verdict::Good, 0, Stage::Expanding, 0.5 },
        { Stage::Expanding, 0.5, Verdict::Good, 0, Stage::Soaking, 1 },
        { Stage::Expanding, 0.5, Verdict::Undecided, 1000, Stage::TakenBack, 0 },
        { Stage::Soaking, 1, Verdict::Undecided, 0, std::nullopt, 0 },
        { Stage::Soaking, 1, Verdict::Undecided, 1000, Stage::Finished, 1 },
        { Stage::Soaking, 1, Verdict::Bad, 1000, Stage::TakenBack, 0 },
        { Stage::Finished, 1, Verdict::Bad, 0, std::nullopt, 0 },
        { Stage::TakenBack, 0, Verdict::Good, 0, std::nullopt, 0 },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.share, entry.now, static_cast<int>(entry.verdict));
        const auto step = planNextStep(makeInput(entry.stage, entry.share, entry.verdict, entry.now));
        REQUIRE(step.has_value() == entry.next.has_value());
        if (!step)
            continue;
        CHECK(step->stage == *entry.next);
        CHECK(step->share == entry.nextShare);
    }
}

TEST_CASE("a rollout finishes after soaking without a fault, and an abort rolls it back from every stage")
{
    auto soaking = makeInput(RolloutStage::Soaking, 1, Verdict::Undecided, 0);
    soaking.timeInStep = soaking.limits.rolloutSoak;
    CHECK(planNextStep(soaking)->stage == RolloutStage::Finished);
    for (const auto stage : { RolloutStage::Canary, RolloutStage::Expanding, RolloutStage::Soaking }) {
        auto aborted = makeInput(stage, 0.5, Verdict::Good, 0);
        aborted.rollout.aborted = true;
        CHECK(planNextStep(aborted)->stage == RolloutStage::TakenBack);
    }
}
