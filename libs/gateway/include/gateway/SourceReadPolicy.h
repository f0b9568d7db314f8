#pragma once

#include <base/TimerService.h>

#include <algorithm>

namespace bronzeswitch {

/**
 * Decides which nodes read the source of routing and directory, so that the load on it does not grow with the number of nodes.
 *
 * All nodes compute the same ranks for each other (GatewayNode::sourceRank). The node of rank 0 reads the directory and announces
 * the changes to the others; its announcements also show the others that they are not cut off. If none arrive, the nodes of the
 * following ranks take over one after the other. So a first node that dies, freezes or is rejected by the source costs one step
 * of delay, and a node that is cut off from all others reads for itself. Routing changes are urgent and rare, so a few nodes
 * wait for them at the source at the same time.
 */
struct SourceReadPolicy {
    Duration readInterval { 400 }; /**< Interval at which the first node reads the directory. */
    Duration firstSubstituteDelay { 700 }; /**< Time without announcements after which the second node reads. */
    Duration substituteDelayStep { 150 }; /**< Further delay per rank. */
    int maxDelaySteps = 4; /**< Upper bound of the steps; later nodes wait no longer. */
    int routingWatchers = 4; /**< Number of nodes that wait at the source for routing changes. */
    int routingWatchersPerDataCentre = 1; /**< Further ones in each data centre, from which the nodes there take a large routing. */

    /**
     * @return the longest time that a node lets pass since the last read of the directory, by itself or by a peer that announced it.
     * @param rank number of nodes ranked before it.
     */
    Duration maxSilence(int rank) const
    {
        return rank == 0 ? readInterval : firstSubstituteDelay + substituteDelayStep * std::min(rank - 1, maxDelaySteps);
    }

    /**
     * @return true if a node should read the directory now.
     * @param silence time since the last read of the directory, by this node or by a peer that announced it.
     */
    bool shouldReadDirectory(int rank, Duration silence) const { return silence >= maxSilence(rank); }

    /** @return true if a node should wait for routing changes at the source. After a long silence, it may be cut off from its peers. */
    bool shouldWatchRouting(int rank, int rankInDataCentre, Duration silence) const
    {
        return rank < routingWatchers || rankInDataCentre < routingWatchersPerDataCentre || shouldReadDirectory(rank, silence);
    }

    bool operator==(const SourceReadPolicy&) const = default;
};

} // namespace bronzeswitch
