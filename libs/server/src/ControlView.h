#pragma once

#include <config/Configuration.h>
#include <infra/HttpAppendLog.h>
#include <ledger/LedgerFollower.h>

#include <memory>

namespace bronzeswitch {

/** The log implementation that nodes use. */
using NodeLog = HttpAppendLog;

/**
 * The control state that is in force on a node: the ledger's state, and the newest configuration of it that is valid.
 * Immutable.
 */
struct ControlView {
    std::shared_ptr<const LedgerState> ledger = std::make_shared<LedgerState>();
    std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
};

using ControlViewPointer = std::shared_ptr<const ControlView>;

/** @return the rollout of a route that is in progress, or nullptr. */
const Rollout* activeRollout(const ControlView&, const std::string& route);

/** @return the part of the control state that the scheduler of a pool needs. */
struct PoolPlan makePoolPlan(const ControlView&, const std::string& pool);

} // namespace bronzeswitch
