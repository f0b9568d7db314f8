#pragma once

#include <base/Problem.h>
#include <gateway/GatewayContext.h>

#include <optional>
#include <string>

namespace bronzeswitch {

/** What the head of a request and the routing in force say of it, as far as they could be read. */
struct Admission {
    RoutingTablePointer routing;
    CallerHead head;
    const GatewayRoute* route = nullptr;
    const GatewayOrganisation* organisation = nullptr; /**< Null where the route needs no key. */
    std::optional<Problem> problem; /**< Why the request can't be served; its answer. */

    /** @return the rank of the request: its organisation's first, then its route's. 0 is the highest. */
    int rank() const;
};

/** Finds route and organisation of a request. */
Admission admit(const GatewayContext&, const FullHttpRequest&);

/** Picks one of a route's services by their weights. */
std::string chooseService(const GatewayRoute&);

} // namespace bronzeswitch
