#include "Admission.h"

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

std::optional<Problem> findOrganisation(Admission& admission)
{
    if (!admission.routing->needsKeys() || admission.route->isAnonymous)
        return std::nullopt;
    admission.organisation = admission.routing->findOrganisation(admission.head.key);
    if (!admission.organisation)
        return notRun(httpstatus::unauthorized, "unknown-key", "the key is not known");
    return std::nullopt;
}

std::optional<Problem> findRoute(Admission& admission, const GatewayContext& context, const FullHttpRequest& request)
{
    if (!admission.routing)
        return notRun(httpstatus::serviceUnavailable, "no-configuration", "this node has no configuration yet", configurationWait);
    auto head = context.dialect.readCaller(request.base());
    if (!head)
        return notRun(httpstatus::badRequest, "malformed", head.error().message);
    admission.head = std::move(*head);
    const auto host = request[boost::beast::http::field::host];
    admission.route = admission.routing->findRoute({ host.data(), host.size() }, { request.target().data(), request.target().size() });
    if (!admission.route)
        return notRun(httpstatus::notFound, "no-route", "no route for this host and path");
    return findOrganisation(admission);
}

} // namespace

int Admission::rank() const
{
    const int routeRank = std::clamp(route->rank, 0, ranksOfRoutes - 1);
    return organisation && organisation->rank ? *organisation->rank * ranksOfRoutes + routeRank : routeRank;
}

Admission admit(const GatewayContext& context, const FullHttpRequest& request)
{
    Admission admission;
    admission.routing = context.routing;
    admission.problem = findRoute(admission, context, request);
    return admission;
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
