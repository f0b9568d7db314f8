#include "RolloutTask.h"

#include <base/Hash.h>

namespace bronzeswitch {

namespace {

constexpr Duration planInterval { 200 };
constexpr Duration submitTimeout { 3000 };
constexpr int roundsBetweenAlarmBroadcasts = 5;

int64_t secondsSinceEpoch()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

RolloutTask::RolloutTask(Options options)
    : m_options(std::move(options))
    , m_view(std::make_shared<ControlView>())
    , m_thread([this] { run(); })
{
}

RolloutTask::~RolloutTask() { stop(); }

void RolloutTask::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void RolloutTask::update(const ControlViewPointer& view)
{
    std::lock_guard lock(m_mutex);
    m_view = view;
    std::erase_if(m_alarms, [&](const auto& alarm) {
        const auto found = view->ledger->rollouts().find(alarm.first);
        return found != view->ledger->rollouts().end() && isFinal(found->second.step.stage);
    });
    m_changed.notify_all();
}

RolloutTask::StepEvaluation& RolloutTask::evaluationOf(const std::string& rollout, int64_t step)
{
    auto& evaluation = m_evaluations[rollout];
    if (evaluation.step == step)
        return evaluation;
    evaluation.step = step;
    evaluation.stepStart = std::chrono::steady_clock::now();
    evaluation.judge.startStep();
    return evaluation;
}

void RolloutTask::observe(const GrantedSlot& slot, const SlotRelease& slotRelease)
{
    const bool isSample = slotRelease.outcome == DispatchOutcome::Completed || slotRelease.outcome == DispatchOutcome::Failed;
    if (slot.rollout.empty() || !isSample)
        return;
    std::string reason;
    {
        std::lock_guard lock(m_mutex);
        const auto* rollout = m_view->configuration->findRollout(slot.rollout);
        const auto state = m_view->ledger->rollouts().find(slot.rollout);
        if (!rollout || state == m_view->ledger->rollouts().end() || isFinal(state->second.step.stage))
            return;
        RolloutSample sample;
        sample.isCandidate = slot.version == rollout->to;
        sample.isFailed = slotRelease.outcome == DispatchOutcome::Failed;
        sample.firstTokenMs = slotRelease.firstTokenMs;
        sample.betweenTokensMs = static_cast<double>(slotRelease.betweenTokensUs) / 1000;
        sample.outputTokens = slotRelease.outputTokens;
        sample.requestedTokens = slot.request.outputTokens;
        auto& evaluation = evaluationOf(slot.rollout, state->second.offset);
        evaluation.judge.observe(sample);
        if (evaluation.judge.verdict() == Verdict::Bad)
            reason = evaluation.judge.reason();
    }
    if (!reason.empty())
        raiseAlarm(slot.rollout, reason);
}

void RolloutTask::raiseAlarm(const std::string& rollout, const std::string& reason)
{
    {
        std::lock_guard lock(m_mutex);
        if (!m_alarms.emplace(rollout, reason).second)
            return;
    }
    m_options.pools->stopRollout(rollout);
    m_options.broadcast(RolloutAlarm { rollout, reason });
    m_options.events.write(events::rolloutAlarm, "rollout=" + rollout + " reason=\"" + reason + "\"");
    m_changed.notify_all();
}

void RolloutTask::onAlarm(const RolloutAlarm& alarm)
{
    {
        std::lock_guard lock(m_mutex);
        const auto state = m_view->ledger->rollouts().find(alarm.rollout);
        if (state != m_view->ledger->rollouts().end() && isFinal(state->second.step.stage))
            return;
        if (!m_alarms.emplace(alarm.rollout, alarm.reason).second)
            return;
    }
    m_options.pools->stopRollout(alarm.rollout);
    m_options.events.write(events::rolloutAlarm, "rollout=" + alarm.rollout + " reason=\"" + alarm.reason + "\" from=peer");
}

std::map<std::string, std::string> RolloutTask::alarms() const
{
    std::lock_guard lock(m_mutex);
    return m_alarms;
}

void RolloutTask::run()
{
    int round = 0;
    for (;;) {
        ControlViewPointer view;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait_for(lock, planInterval, [this] { return m_isStopping; });
            if (m_isStopping)
                return;
            view = m_view;
        }
        for (const auto& rollout : view->configuration->rollouts())
            advance(rollout);
        if (++round % roundsBetweenAlarmBroadcasts == 0)
            rebroadcastAlarms();
    }
}

// Informs nodes that have started or recovered since the alarm was raised, also while the log is unreachable.
void RolloutTask::rebroadcastAlarms()
{
    for (const auto& [rollout, reason] : alarms())
        m_options.broadcast(RolloutAlarm { rollout, reason });
}

void RolloutTask::advance(const Rollout& rollout)
{
    const auto ledger = m_options.follower->state();
    const auto found = ledger->rollouts().find(rollout.name);
    const auto state = found == ledger->rollouts().end() ? std::nullopt : std::optional(found->second);
    const auto step = plan(rollout, state);
    if (step)
        submitStep(rollout, state ? state->offset : 0, *step);
}

std::optional<PlannedStep> RolloutTask::plan(const Rollout& rollout, const std::optional<RolloutState>& state)
{
    std::lock_guard lock(m_mutex);
    const auto* route = m_view->configuration->findRoute(rollout.route);
    if (!route || !m_options.pools->isHomeOf(route->pool))
        return std::nullopt;
    RolloutPlanInput input;
    input.rollout = rollout;
    input.now = secondsSinceEpoch();
    input.limits = m_view->configuration->limits();
    if (!state && m_view->ledger->routeVersion(route->name, route->version) != rollout.from)
        return PlannedStep { RolloutStage::TakenBack, 0, "the route is not at version " + rollout.from };
    if (state) {
        input.current = state->step;
        auto& evaluation = evaluationOf(rollout.name, state->offset);
        input.verdict = evaluation.judge.verdict();
        input.verdictReason = evaluation.judge.reason();
        input.timeInStep = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - evaluation.stepStart);
    }
    if (const auto alarm = m_alarms.find(rollout.name); alarm != m_alarms.end()) {
        input.verdict = Verdict::Bad;
        input.verdictReason = alarm->second;
    }
    return planNextStep(input);
}

void RolloutTask::submitStep(const Rollout& rollout, int64_t base, const PlannedStep& step)
{
    const RolloutStepRecord record { randomId(), rollout.name, rollout.route, rollout.from, rollout.to, m_options.node, base, step.stage,
        step.share, step.reason };
    const auto result = submit(*m_options.log, *m_options.follower, record, submitTimeout);
    if (!result || !result->accepted)
        return;
    const auto details = "rollout=" + rollout.name + " stage=" + toString(step.stage) + " share=" + std::to_string(step.share)
        + " reason=\"" + step.reason + "\"";
    if (step.stage == RolloutStage::TakenBack)
        m_options.events.write(events::rolloutTakenBack, details);
    else if (step.stage == RolloutStage::Finished)
        m_options.events.write(events::rolloutFinished, details);
    else
        m_options.events.write(events::rolloutStep, details);
}

} // namespace bronzeswitch
