#pragma once

#include <protocol/Messages.h>
#include <sched/PoolScheduler.h>

namespace bronzeswitch {

/** @return the load and the estimates that a peer has reported of one upstream. */
NodeLoad toNodeLoad(const UpstreamLoad&);

/** Adds a pool's estimates to the report of one upstream. */
void addEstimates(UpstreamLoad&, const NodeLoad&);

} // namespace bronzeswitch
