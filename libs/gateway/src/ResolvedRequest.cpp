#include "ResolvedRequest.h"

#include <algorithm>
#include <base/HttpStatus.h>
#include <random>

namespace bronzeswitch {

namespace {

constexpr Duration configurationRetryAfter { 500 };
constexpr int routeRankCount = 16; // Within an organisation rank, so that equally ranked organisations are ordered by route.

double randomFraction()
{
    static std::mt19937_64 generator { std::random_device {}() };
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

std::optional<Problem> resolveOrganisation(ResolvedRequest& resolved)
{
    if (!resolved.routing->requiresApiKey() || resolved.route->isAnonymous)
        return std::nullopt;
    resolved.organisation = resolved.routing->findOrganisation(resolved.metadata.apiKey);
    if (!resolved.organisation)
        return notRunProblem(httpstatus::unauthorized, "unknown-key", "the key is not known");
    return std::nullopt;
}

std::optional<Problem> resolveRoute(ResolvedRequest& resolved, const GatewayContext& context, const FullHttpRequest& request)
{
    if (!resolved.routing)
        return notRunProblem(
            httpstatus::serviceUnavailable, "no-configuration", "this node has no configuration yet", configurationRetryAfter);
    auto metadata = context.headerCodec.decodeRequest(request.base());
    if (!metadata)
        return notRunProblem(httpstatus::badRequest, "malformed", metadata.error().message);
    resolved.metadata = std::move(*metadata);
    const auto host = request[boost::beast::http::field::host];
    resolved.route = resolved.routing->findRoute({ host.data(), host.size() }, { request.target().data(), request.target().size() });
    if (!resolved.route)
        return notRunProblem(httpstatus::notFound, "no-route", "no route for this host and path");
    return resolveOrganisation(resolved);
}

} // namespace

bool ResolvedRequest::dependsOnNewestRouting() const
{
    return problem && (problem->status == httpstatus::notFound || problem->status == httpstatus::unauthorized);
}

int ResolvedRequest::rank() const
{
    const int routeRank = std::clamp(route->rank, 0, routeRankCount - 1);
    return organisation && organisation->rank ? *organisation->rank * routeRankCount + routeRank : routeRank;
}

void ResolvedRequest::describe(nlohmann::json& fields) const
{
    if (metadata.promptTokens) {
        fields["promptTokens"] = *metadata.promptTokens;
        fields["outputTokens"] = metadata.outputTokens;
        if (metadata.expectedTokens)
            fields["expectedTokens"] = *metadata.expectedTokens;
    }
    if (route) {
        fields["route"] = route->name;
        fields["kind"] = toString(route->kind);
        fields["rank"] = rank();
    }
    if (organisation)
        fields["organisation"] = organisation->name;
}

ResolvedRequest resolveRequest(const GatewayContext& context, const FullHttpRequest& request)
{
    ResolvedRequest resolved;
    resolved.routing = context.routing;
    resolved.problem = resolveRoute(resolved, context, request);
    return resolved;
}

std::string chooseService(const GatewayRoute& route)
{
    const auto& services = route.services;
    if (services.size() == 1)
        return services.front().service;
    int total = 0;
    for (const auto& weightedService : services)
        total += weightedService.weight;
    double position = randomFraction() * total;
    for (const auto& weightedService : services) {
        position -= weightedService.weight;
        if (position < 0)
            return weightedService.service;
    }
    return services.back().service;
}

} // namespace bronzeswitch
