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

/** What may be repeated of a route's requests. */
enum class RequestKind {
    Idempotent,
    NonIdempotent, /**< Runs at most once. */
    Stream, /**< Events as they are made; repeated only where the route allows to resume. */
};

/** @return the stable name of a kind. */
const char* toString(RequestKind);

/** A service that gets a share of a route's requests. */
struct WeightedService {
    std::string service;
    int weight = 1;

    bool operator==(const WeightedService&) const = default;
};

/** Requests of one host whose path begins with a prefix. */
struct GatewayRoute {
    std::string name;
    std::string host;
    std::string pathPrefix; /**< Begins and ends with a slash. */
    RequestKind kind = RequestKind::Idempotent;
    std::vector<WeightedService> services;
    Duration timeout { 30000 };
    Duration targetLatency { 1000 }; /**< For streams: to the first event. */
    Duration targetGap { 0 }; /**< For streams: longest pause between events that is still in time. */
    int rank = 0; /**< 0 is the highest. */
    int maxAttempts = 1; /**< Upstreams that one request may be sent to. */
    bool isAnonymous = false;
    bool isResumable = false; /**< A broken stream may go on at another upstream. */

    bool operator==(const GatewayRoute&) const = default;
};

/** Upstreams that serve the same requests. */
struct GatewayService {
    std::string name;
    int maxConnections = 0; /**< That one of its upstreams accepts from all nodes together. */
    int engineSlots = 0; /**< Requests that an engine runs at a time; 0 for plain services. */
    int tokensPerEvent = 1; /**< That one event of an engine's stream holds. */

    bool isEngine() const { return engineSlots > 0; }
    bool operator==(const GatewayService&) const = default;
};

/** What an organisation may use, over all nodes. */
struct TokenQuota {
    double ratePerSecond = 0; /**< Tokens; 0 for no limit. */
    double burst = 0; /**< Tokens. */
    int defaultRequestTokens = 1; /**< Tokens that a request counts which names none. */

    bool isLimited() const { return ratePerSecond > 0; }
    bool operator==(const TokenQuota&) const = default;
};

/** An organisation with the keys that its callers send. */
struct GatewayOrganisation {
    std::string name;
    std::vector<std::string> apiKeys;
    std::optional<int> rank; /**< Goes before the route's rank. */
    TokenQuota quota;

    bool operator==(const GatewayOrganisation&) const = default;
};

/** The parts that a routing table is made of. */
struct RoutingDocument {
    int64_t version = 0;
    std::vector<GatewayRoute> routes;
    std::vector<GatewayService> services;
    std::vector<GatewayOrganisation> organisations;
    CallerBounds callerBounds;

    bool operator==(const RoutingDocument&) const = default;
};

/**
 * One version of the configuration of routes, services and organisations; immutable.
 *
 *     const auto table = RoutingTable::create(document);
 *     const auto* route = (*table)->findRoute("example.org", "/orders/7");
 */
class RoutingTable {
public:
    /** @return the table, or every finding of the document. */
    static tl::expected<std::shared_ptr<const RoutingTable>, Findings> create(RoutingDocument);

    int64_t version() const { return m_document.version; }
    const RoutingDocument& document() const { return m_document; }

    /** @return the route of a host with the longest prefix of the path, or null. */
    const GatewayRoute* findRoute(std::string_view host, std::string_view path) const;

    /** @return the organisation that holds a key, or null. */
    const GatewayOrganisation* findOrganisation(const std::string& key) const;

    const GatewayService* findService(const std::string& name) const;

    /** @return true if requests must carry a key, unless their route is anonymous. */
    bool requiresApiKey() const { return !m_document.organisations.empty(); }

    /** @return the routes that send requests to a service. */
    std::vector<const GatewayRoute*> routesToService(const std::string& service) const;

    bool operator==(const RoutingTable& other) const { return m_document == other.m_document; }

private:
    explicit RoutingTable(RoutingDocument);

    RoutingDocument m_document;
    std::map<std::string, const GatewayOrganisation*> m_organisationByKey;
    std::map<std::string, std::vector<const GatewayRoute*>, std::less<>> m_routesByHost; /**< Longest prefix first. */
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

} // namespace bronzeswitch
