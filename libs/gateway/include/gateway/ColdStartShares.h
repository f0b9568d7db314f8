#pragma once

#include <base/TimerService.h>
#include <gateway/RoutingTable.h>
#include <sched/ColdStartLimit.h>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace bronzeswitch {

/** How far a cold upstream may get more requests than it tolerates. */
struct ColdStartBounds {
    double overshoot = 1.5; /**< Multiple of the rate that it tolerates, in any second. */
    double slack = 5; /**< Requests on top of that. */

    bool operator==(const ColdStartBounds&) const = default;
};

/** A node's view of the nodes with which it shares the upstreams. */
struct FleetView {
    int liveNodes = 1;
    int knownNodes = 1;
    bool isKnown = false; /**< See PeerView::isFleetKnown(). */

    bool operator==(const FleetView&) const = default;
};

/**
 * Decides which part of what a cold upstream tolerates this node may grant.
 *
 * Nodes that don't hear each other have homes of their own, so a home uses the share of live nodes. A node that is not the home uses the
 * share of one node, which the home's margin covers, and no cold upstream. A home that is new leaves, for as long as the nodes may hear
 * the former one, what that may still be granting.
 *
 *     if (const auto update = shares.update(service, isHome, fleet, now))
 *         allocator.setColdStartRates(service.name, update->rates, update->isTakeover);
 */
class ColdStartShares {
public:
    struct Update {
        ColdStartRates rates;
        bool isTakeover = false; /**< The node has just become the home. */

        bool operator==(const Update&) const = default;
    };

    explicit ColdStartShares(ColdStartBounds bounds)
        : m_bounds(bounds)
    {
    }

    /** @return the rates of a service's pool if they have changed. */
    std::optional<Update> update(const GatewayService&, bool isHome, const FleetView&, TimePoint now);

    /** Forgets the services that a function does not name as limited. */
    void retain(const std::function<bool(const std::string& service)>& isLimited);

    /** @return the rates of a service as last updated; 0 before. */
    ColdStartRates rates(const std::string& service) const;

private:
    struct State {
        std::optional<TimePoint> homeSince; /**< None if this node is not the home. */
        std::optional<ColdStartRates> rates;
    };

    ColdStartBounds m_bounds;
    std::map<std::string, State> m_states; /**< By service. */
};

} // namespace bronzeswitch
