#include "ResolvedRequest.h"

#include <algorithm>
#include <base/HttpStatus.h>
#include <random>

namespace bronzeswitch {

namespace {

constexpr Duration configurationWait { 500 };
constexpr int ranksOfRoutes = 16; // Requests of equal organisations keep the order of their routes.

double randomShare()
{
    static std::mt19937_64 generator { std::random_device {}() };
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

std::optional<Problem> findOrganisation(ResolvedRequest& resolved)
{
    if (!resolved.routing->requiresApiKey() || resolved.route->isAnonymous)
        return std::nullopt;
    resolved.organisation = resolved.routing->findOrganisation(resolved.head.apiKey);
    if (!resolved.organisation)
        return notRun(httpstatus::unauthorized, "unknown-key", "the key is not known");
    return std::nullopt;
}

std::optional<Problem> findRoute(ResolvedRequest& resolved, const GatewayContext& context, const WholeRequest& request)
{
    if (!resolved.routing)
        return notRun(httpstatus::serviceUnavailable, "no-configuration", "this node has no configuration yet", configurationWait);
    auto head = context.headerCodec.decodeRequest(request.base());
    if (!head)
        return notRun(httpstatus::badRequest, "malformed", head.error().message);
    resolved.head = std::move(*head);
    const auto host = request[boost::beast::http::field::host];
    resolved.route = resolved.routing->findRoute({ host.data(), host.size() }, { request.target().data(), request.target().size() });
    if (!resolved.route)
        return notRun(httpstatus::notFound, "no-route", "no route for this host and path");
    return findOrganisation(resolved);
}

} // namespace

int ResolvedRequest::rank() const
{
    const int routeRank = std::clamp(route->rank, 0, ranksOfRoutes - 1);
    return organisation && organisation->rank ? *organisation->rank * ranksOfRoutes + routeRank : routeRank;
}

ResolvedRequest resolveRequest(const GatewayContext& context, const WholeRequest& request)
{
    ResolvedRequest resolved;
    resolved.routing = context.routing;
    resolved.problem = findRoute(resolved, context, request);
    return resolved;
}

std::string chooseService(const GatewayRoute& route)
{
    const auto& services = route.services;
    if (services.size() == 1)
        return services.front().service;
    int total = 0;
    for (const auto& share : services)
        total += share.weight;
    double point = randomShare() * total;
    for (const auto& share : services) {
        point -= share.weight;
        if (point < 0)
            return share.service;
    }
    return services.back().service;
}

} // namespace bronzeswitch
