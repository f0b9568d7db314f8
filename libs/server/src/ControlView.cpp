#include "ControlView.h"

#include <sched/PoolScheduler.h>

namespace bronzeswitch {

const Rollout* activeRollout(const ControlView& view, const std::string& route)
{
    for (const auto& rollout : view.configuration->rollouts()) {
        if (rollout.route != route || rollout.aborted)
            continue;
        const auto found = view.ledger->rollouts().find(rollout.name);
        const bool isRunning = found != view.ledger->rollouts().end() && !isFinal(found->second.step.stage);
        if (isRunning)
            return &rollout;
    }
    return nullptr;
}

namespace {

VersionPlan makeVersionPlan(const ControlView& view, const Route& route)
{
    VersionPlan plan;
    plan.route = route.name;
    plan.model = route.model;
    plan.stable = view.ledger->routeVersion(route.name, route.version);
    const auto* rollout = activeRollout(view, route.name);
    if (!rollout || rollout->from != plan.stable)
        return plan;
    const auto& state = view.ledger->rollouts().at(rollout->name);
    plan.candidate = rollout->to;
    plan.share = state.step.share;
    plan.rollout = rollout->name;
    plan.step = state.offset;
    return plan;
}

} // namespace

PoolPlan makePoolPlan(const ControlView& view, const std::string& pool)
{
    PoolPlan plan;
    plan.upstreams = view.configuration->upstreamsOf(pool);
    plan.organisations = view.configuration->organisations();
    plan.limits = view.configuration->limits();
    for (const auto& route : view.configuration->routes()) {
        if (route.pool == pool)
            plan.versions.push_back(makeVersionPlan(view, route));
    }
    return plan;
}

} // namespace bronzeswitch
