#include <algorithm>
#include <gateway/RoutingTable.h>

namespace bronzeswitch {

const char* toString(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Idempotent:
        return "idempotent";
    case RequestKind::NonIdempotent:
        return "non-idempotent";
    case RequestKind::Stream:
        break;
    }
    return "stream";
}

namespace {

Findings validate(const RoutingDocument& document)
{
    Findings findings;
    const auto hasService = [&](const std::string& name) {
        return std::any_of(document.services.begin(), document.services.end(), [&](const auto& service) { return service.name == name; });
    };
    for (const auto& route : document.routes) {
        const auto location = "route " + route.name;
        if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/')
            findings.push_back({ location, "prefix '" + route.pathPrefix + "' does not begin and end with a slash" });
        if (route.services.empty())
            findings.push_back({ location, "the route names no service" });
        for (const auto& weightedService : route.services) {
            if (!hasService(weightedService.service))
                findings.push_back({ location, "unknown service '" + weightedService.service + "'" });
        }
    }
    return findings;
}

} // namespace

tl::expected<std::shared_ptr<const RoutingTable>, Findings> RoutingTable::create(RoutingDocument document)
{
    auto findings = validate(document);
    if (!findings.empty())
        return tl::unexpected(std::move(findings));
    return std::shared_ptr<const RoutingTable>(new RoutingTable(std::move(document)));
}

RoutingTable::RoutingTable(RoutingDocument document)
    : m_document(std::move(document))
{
    for (const auto& organisation : m_document.organisations) {
        for (const auto& apiKey : organisation.apiKeys)
            m_organisationByApiKey[apiKey] = &organisation;
    }
    for (const auto& route : m_document.routes)
        m_routesByHost[route.host].push_back(&route);
    for (auto& [host, routes] : m_routesByHost) {
        std::stable_sort(
            routes.begin(), routes.end(), [](const auto* a, const auto* b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
}

const GatewayRoute* RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto colon = host.find(':');
    const auto routes = m_routesByHost.find(host.substr(0, colon));
    if (routes == m_routesByHost.end())
        return nullptr;
    const auto found = std::find_if(routes->second.begin(), routes->second.end(),
        [&](const auto* route) { return path.substr(0, path.find('?')).starts_with(route->pathPrefix); });
    return found == routes->second.end() ? nullptr : *found;
}

const GatewayOrganisation* RoutingTable::findOrganisation(const std::string& apiKey) const
{
    const auto found = m_organisationByApiKey.find(apiKey);
    return found == m_organisationByApiKey.end() ? nullptr : found->second;
}

const GatewayService* RoutingTable::findService(const std::string& name) const
{
    const auto found
        = std::find_if(m_document.services.begin(), m_document.services.end(), [&](const auto& service) { return service.name == name; });
    return found == m_document.services.end() ? nullptr : &*found;
}

std::vector<const GatewayRoute*> RoutingTable::routesToService(const std::string& service) const
{
    std::vector<const GatewayRoute*> result;
    for (const auto& route : m_document.routes) {
        if (std::any_of(route.services.begin(), route.services.end(),
                [&](const auto& weightedService) { return weightedService.service == service; }))
            result.push_back(&route);
    }
    return result;
}

} // namespace bronzeswitch
