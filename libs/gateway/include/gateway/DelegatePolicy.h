#pragma once

namespace bronzeswitch {

/**
 * Decides which nodes are delegates: those that exchange reports with the nodes of all data centres.
 *
 * Load pattern: if each of n nodes reports to all others, the fleet sends n * (n - 1) reports per interval, most of them between data
 * centres. Only the delegates, a few nodes in each data centre, report to all nodes. The other nodes report to the delegates and to the
 * nodes of their own data centre, so with d data centres a node that is no delegate sends about n / d + d * delegatesPerDataCentre reports.
 * Homes of pools and quotas are delegates, since they hear from every node.
 *
 * All nodes of a data centre hear each other, rank each other alike and so choose the same delegates. When a delegate is lost, the next in
 * rank learns of it within the live timeout, becomes a delegate and reports to all. In a small fleet every node is a delegate.
 */
struct DelegatePolicy {
    int smallFleet = 16; /**< Up to this number of nodes, all of them are delegates. */
    int delegatesPerDataCentre = 3;

    /**
     * @param knownNodes number of nodes in the fleet, as far as known.
     * @param rank number of nodes that rank before the node in its data centre.
     */
    bool isDelegate(int knownNodes, int rank) const { return knownNodes <= smallFleet || rank < delegatesPerDataCentre; }

    bool operator==(const DelegatePolicy&) const = default;
};

} // namespace bronzeswitch
