#pragma once

#include <net/SimpleHttpServer.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bronzeswitch {

/** A peer that has a newer routing than this node. */
struct StateHolder {
    std::string address;
    bool isInOwnDataCentre = false;

    bool operator==(const StateHolder&) const = default;
};

/**
 * Chooses the peer from which a node fetches a newer routing.
 *
 * Load pattern: a routing of some hundred kilobytes becomes known, and every node wants it at the same time over links that carry a few
 * copies a second. Each node fetches from a random one of the peers in its data centre that have the routing, and a peer that serves
 * enough copies refuses others. Every node that has got a copy serves the next ones, so the copies spread as a tree within each
 * data centre. Only if no peer there has the routing for a while does a node fetch it from another data centre. A peer may stop
 * responding at any time, so a node does not wait for the end of an attempt that has stalled.
 */
struct StateFetchPolicy {
    Duration retryInterval { 100 }; /**< Pause between two attempts. */
    Duration timeout { 1500 }; /**< Of one attempt. */
    Duration stallTime { 300 }; /**< An attempt that has made no progress for this long does not hold up another one. */
    Duration avoidanceTime { 3000 }; /**< For this long, other peers are preferred to one that did not respond. */
    ResponseLimit responseLimit { 64UL * 1024, 3 }; /**< Of the serving peer: a slow link carries few copies at a time. */
    Duration ownDataCentreOnly { 400 }; /**< Time for which only peers in the own data centre are chosen. */
    Duration sourceDelay { 1200 }; /**< Time after which the node reads the source itself. */

    /**
     * @param behindFor time since this node has known of a newer routing.
     * @return the address of the peer, or nothing if the node should wait.
     */
    template <typename Random>
    std::optional<std::string> choosePeer(const std::vector<StateHolder>& holders, Duration behindFor, Random& random) const
    {
        std::vector<std::string> candidates;
        for (const auto& holder : holders) {
            if (holder.isInOwnDataCentre)
                candidates.push_back(holder.address);
        }
        if (candidates.empty() && behindFor >= ownDataCentreOnly) {
            for (const auto& holder : holders)
                candidates.push_back(holder.address);
        }
        if (candidates.empty())
            return std::nullopt;
        return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random)];
    }

    /** @return true if the node should read the source itself. */
    bool shouldReadSource(Duration behindFor) const { return behindFor >= sourceDelay; }

    bool operator==(const StateFetchPolicy&) const = default;
};

} // namespace bronzeswitch
