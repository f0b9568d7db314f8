#pragma once

#include <base/Problem.h>
#include <gateway/GatewayContext.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace bronzeswitch {

/** A request's metadata, route and organisation according to the current routing, as far as they could be determined. */
struct ResolvedRequest {
    RoutingTablePointer routing;
    RequestMetadata metadata;
    const GatewayRoute* route = nullptr;
    const GatewayOrganisation* organisation = nullptr; /**< Null where the route needs no API key. */
    std::optional<Problem> problem; /**< The response to a request that can't be served. */

    /** @return true if the request was rejected because its route or key is unknown, which a newer routing may know. */
    bool dependsOnNewestRouting() const;

    /** @return the priority of the request: by its organisation's rank, then by its route's. 0 is the highest. */
    int rank() const;

    /** Adds what is known of the request to the fields of an event of the decision log. */
    void describe(nlohmann::json& fields) const;
};

/** Decodes a request's metadata and finds its route and organisation. */
ResolvedRequest resolveRequest(const GatewayContext&, const FullHttpRequest&);

/** Chooses one of a route's services at random, in proportion to their weights. */
std::string chooseService(const GatewayRoute&);

} // namespace bronzeswitch
