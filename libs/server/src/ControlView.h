#pragma once

#include <config/Configuration.h>
#include <infra/HttpAppendLog.h>
#include <ledger/LedgerFollower.h>

#include <memory>

namespace bronzeswitch {

/** The log type that nodes use. */
using NodeLog = HttpAppendLog;

/** The control state in force on a node: the ledger's state and the configuration made from it. Immutable. */
struct ControlView {
    std::shared_ptr<const LedgerState> ledger = std::make_shared<LedgerState>();
    std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
};

using ControlViewPointer = std::shared_ptr<const ControlView>;

/** @return the rollout that moves a route now, or nullptr. */
const Rollout* activeRollout(const ControlView&, const std::string& route);

/** @return what a pool's home needs to know. */
struct PoolPlan makePoolPlan(const ControlView&, const std::string& pool);

} // namespace bronzeswitch
