#pragma once

#include <gateway/RoutingTable.h>
#include <sched/PoolScheduler.h>

namespace bronzeswitch {

/**
 * Enables the parts of the admission control that the configuration of a service calls for.
 * @param hasHome whether one node schedules all requests of the pool.
 */
void applyAdmission(PoolPlan&, const RoutingTable&, const GatewayService&, bool hasHome);

} // namespace bronzeswitch
