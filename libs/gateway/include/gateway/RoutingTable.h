#pragma once

#include <base/Error.h>
#include <net/CallerConnection.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeswitch {

/** Kinds of requests, which differ in whether a request that may have run is retried. */
enum class RequestKind {
    Idempotent, /**< May run more than once. */
    NonIdempotent, /**< Runs at most once. */
    Stream, /**< The response is a stream of server-sent events; retried only if the route allows a stream to be resumed. */
};

/** @return the name of a kind as it is written to the decision log. */
const char* toString(RequestKind);

/** A service that receives a route's requests in proportion to its weight. */
struct WeightedService {
    std::string service;
    int weight = 1;

    bool operator==(const WeightedService&) const = default;
};

/** How requests of one host whose path begins with a prefix are handled. */
struct GatewayRoute {
    std::string name;
    std::string host;
    std::string pathPrefix; /**< Must begin and end with a slash. */
    RequestKind kind = RequestKind::Idempotent;
    std::vector<WeightedService> services;
    Duration timeout { 30000 };
    Duration targetLatency { 1000 }; /**< For streams, until the first event. */
    Duration targetGap { 0 }; /**< For streams, longest pause between events that meets the target; 0 for no target. */
    int rank = 0; /**< Priority; 0 is the highest. */
    int maxAttempts = 1; /**< How often one request may be sent to an upstream. */
    bool isAnonymous = false; /**< Requests need no API key. */
    bool isResumable = false; /**< Another upstream may resume a broken stream. */

    bool operator==(const GatewayRoute&) const = default;
};

/** How the upstreams of a service behave after their start. */
struct ColdStart {
    Duration duration { 3000 }; /**< An upstream is cold for this long after its start. */
    double perSecond = 0; /**< Requests a second that a cold upstream tolerates from all nodes together; 0 for no limit. */

    bool isLimited() const { return perSecond > 0; }
    bool operator==(const ColdStart&) const = default;
};

/** A group of upstreams that serve the same requests. */
struct GatewayService {
    std::string name;
    int maxConnections = 0; /**< Connections that each upstream accepts from all nodes together. */
    int engineSlots = 0; /**< Requests that each engine runs concurrently; 0 if the upstreams are plain services. */
    int tokensPerEvent = 1; /**< Tokens in one event of an engine's stream. */
    int memoryTokens = 0; /**< Tokens of prompts and output that an engine's memory holds; 0 if not stated. */
    ColdStart coldStart {};

    bool isEngine() const { return engineSlots > 0; }
    bool operator==(const GatewayService&) const = default;
};

/** Tokens that an organisation may use, over all nodes. */
struct TokenQuota {
    double ratePerSecond = 0; /**< Tokens per second; 0 for no limit. */
    double burst = 0; /**< Tokens that may be used at once. */
    int defaultRequestTokens = 1; /**< Tokens charged for a request that states no token count. */

    bool isLimited() const { return ratePerSecond > 0; }
    bool operator==(const TokenQuota&) const = default;
};

/** An organisation, its quota, and the API keys that its callers send. */
struct GatewayOrganisation {
    std::string name;
    std::vector<std::string> apiKeys;
    std::optional<int> rank; /**< Priority that takes precedence over the route's rank. */
    TokenQuota quota;

    bool operator==(const GatewayOrganisation&) const = default;
};

/** The content of one version of the routing, not yet validated. */
struct RoutingDocument {
    int64_t version = 0; /**< Grows with each change. */
    std::vector<GatewayRoute> routes;
    std::vector<GatewayService> services;
    std::vector<GatewayOrganisation> organisations;
    CallerLimits callerLimits;

    bool operator==(const RoutingDocument&) const = default;
};

/**
 * A validated, immutable version of the configuration of routes, services and organisations.
 *
 *     const auto table = RoutingTable::create(document);
 *     const auto* route = (*table)->findRoute("example.org", "/orders/7");
 */
class RoutingTable {
public:
    /** Validates a document. @return the table, or all findings. */
    static tl::expected<std::shared_ptr<const RoutingTable>, Findings> create(RoutingDocument);

    int64_t version() const { return m_document.version; }
    const RoutingDocument& document() const { return m_document; }

    /**
     * Finds the route of a host whose prefix of the path is longest.
     * @param host may be followed by a port, which is ignored.
     * @param path may be followed by a query, which is ignored.
     * @return the route, or null.
     */
    const GatewayRoute* findRoute(std::string_view host, std::string_view path) const;

    /** @return the organisation of an API key, or null. */
    const GatewayOrganisation* findOrganisation(const std::string& apiKey) const;

    /** @return the service, or null. */
    const GatewayService* findService(const std::string& name) const;

    /** @return true if requests must carry an API key unless their route is anonymous. */
    bool requiresApiKey() const { return !m_document.organisations.empty(); }

    /** @return the routes that send requests to a service. */
    std::vector<const GatewayRoute*> routesToService(const std::string& service) const;

    bool operator==(const RoutingTable& other) const { return m_document == other.m_document; }

private:
    explicit RoutingTable(RoutingDocument);

    RoutingDocument m_document;
    std::map<std::string, const GatewayOrganisation*> m_organisationByApiKey;
    std::map<std::string, std::vector<const GatewayRoute*>, std::less<>> m_routesByHost; /**< Longest prefix first. */
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

} // namespace bronzeswitch
