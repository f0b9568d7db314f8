#pragma once

#include <base/TimerService.h>

#include <algorithm>

namespace bronzeswitch {

/**
 * Which nodes read the source of routing and directory, so that its load does not grow with their number.
 *
 * Nodes rank each other alike (GatewayNode::sourceRank). The first one reads the directory and tells the others, whose word
 * from it also shows that they are not cut off. The next ones step in one after the other when no word comes, so a first
 * node that dies, freezes or is turned away costs one step, and a node that is cut off from all others reads for itself.
 * Routing changes are urgent and rare, so a few nodes wait for them at the source at a time.
 */
struct SourceReadPolicy {
    Duration readInterval { 400 }; /**< Between the first node's reads of the directory. */
    Duration firstSubstituteDelay { 700 }; /**< The second node reads after so long without word. */
    Duration substituteDelayStep { 150 };
    int maxDelaySteps = 4; /**< Later nodes wait no longer than these. */
    int routingWatchers = 4; /**< Nodes that wait for changes of the routing. */

    /** @return after how long without word of the directory a node reads it. @param rank number of nodes before it. */
    Duration maxSilence(int rank) const
    {
        return rank == 0 ? readInterval : firstSubstituteDelay + substituteDelayStep * std::min(rank - 1, maxDelaySteps);
    }

    /** @return true if a node reads the directory now. @param silence since the last word of it. */
    bool shouldReadDirectory(int rank, Duration silence) const { return silence >= maxSilence(rank); }

    /** @return true if a node waits for the routing at the source; without word of the directory, it may be cut off. */
    bool shouldWatchRouting(int rank, Duration silence) const { return rank < routingWatchers || shouldReadDirectory(rank, silence); }

    bool operator==(const SourceReadPolicy&) const = default;
};

} // namespace bronzeswitch
