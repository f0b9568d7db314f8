#pragma once

#include <base/TimerService.h>
#include <config/ConfigDocument.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzeswitch {

/** A priority class of requests. */
struct Tier {
    std::string name;
    int rank = 0; /**< Priority; 0 is the highest, which is shed last under overload. */

    bool operator==(const Tier&) const = default;
};

/** An organisation on whose behalf requests are sent. */
struct Organisation {
    std::string name;
    /** Share of a tier's capacity, relative to the weights of the other organisations. */
    double weight = 1;
    /** Highest-priority tier that the organisation may use; empty for no restriction. */
    std::string bestTier;

    bool operator==(const Organisation&) const = default;
};

/** Kinds of upstreams and of the routes that lead to them. */
enum class UpstreamKind { Engine, Service };

/** A back end that runs requests: a model engine or a plain service. */
struct Upstream {
    std::string name;
    UpstreamKind kind = UpstreamKind::Engine;
    std::string address; /**< IPv4 address and port. */
    std::string dataCentre;
    std::string pool; /**< All upstreams of a pool are served from one queue of requests. */
    std::string model; /**< Model that an engine runs. */
    std::string version;
    int slots = 1; /**< Requests that the upstream can run at the same time. */
    bool reportsLoad = true; /**< The upstream serves load reports. */
    bool checksFencing = true; /**< The engine refuses orders with an outdated fencing number. */
    bool leaving = false; /**< The upstream is being removed and gets no new requests. */
    bool isEvacuated = false; /**< Its data centre is evacuated: it gets no new requests until that ends. */

    /** @return true if the upstream may get requests, as far as its configuration says. */
    bool takesRequests() const { return !leaving && !isEvacuated; }

    bool operator==(const Upstream&) const = default;
};

/** A target of callers' requests, selected by the "model" field of a completion or by a path prefix. */
struct Route {
    std::string name;
    UpstreamKind kind = UpstreamKind::Engine;
    std::string path; /**< Path prefix, for service routes. */
    std::string model; /**< Model to run, for model routes. */
    std::string pool;
    std::string tier; /**< Tier of the route's requests, unless the organisation's best tier has a lower priority. */
    std::string version; /**< Version to use unless a rollout has moved the route to another one. */
    bool idempotent = true; /**< Requests may be run more than once; if not, they are run at most once per idempotency key. */
    Duration deadline { 60000 }; /**< Default for requests without a deadline. */

    bool operator==(const Route&) const = default;
};

/** A planned move of a route from one version to another. */
struct Rollout {
    std::string name;
    std::string route;
    std::string from; /**< Version before the rollout. */
    std::string to; /**< Version after the rollout. */
    int64_t deadline = 0; /**< Seconds since the epoch. */
    bool aborted = false; /**< An operator has aborted the rollout, so it is rolled back. */

    bool operator==(const Rollout&) const = default;
};

/** Limits and targets of the whole system. */
struct Limits {
    std::size_t maxBodyBytes = 1U << 20U; /**< Largest body of a caller's request. */
    int queuePerPool = 512; /**< Maximum number of requests that wait in a pool's queue. */
    Duration claimValidity { 3600000 }; /**< How long an idempotency key is remembered. */
    Duration firstTokenTarget { 910 }; /**< Target for the time to the first token. */
    Duration betweenTokensTarget { 25 }; /**< Target for the mean time between tokens. */
    double rolloutStartShare = 0.05; /**< Largest share of traffic that a version gets before it is judged good. */
    Duration rolloutSoak { 5000 }; /**< How long a version is observed at full share before its rollout finishes. */

    bool operator==(const Limits&) const = default;
};

/**
 * The validated configuration of a revision, an immutable value.
 *
 *     auto configuration = Configuration::create(document, revision);
 *     if (!configuration)
 *         std::cerr << format(configuration.error());
 */
class Configuration {
public:
    Configuration() = default;

    /**
     * Validates a document.
     * @param revision offset in the log of the change that led to the document.
     * @return the configuration, or all findings.
     */
    static tl::expected<Configuration, Findings> create(const ConfigDocument&, int64_t revision);

    int64_t revision() const { return m_revision; }
    const std::vector<Tier>& tiers() const { return m_tiers; }
    const std::vector<Organisation>& organisations() const { return m_organisations; }
    const std::vector<Upstream>& upstreams() const { return m_upstreams; }
    const std::vector<Route>& routes() const { return m_routes; }
    const std::vector<Rollout>& rollouts() const { return m_rollouts; }
    const Limits& limits() const { return m_limits; }

    // The find functions return null if no entry matches.
    const Tier* findTier(const std::string& name) const;
    const Organisation* findOrganisation(const std::string& name) const;
    const Upstream* findUpstream(const std::string& name) const;
    const Route* findRoute(const std::string& name) const;
    const Rollout* findRollout(const std::string& name) const;

    /** @return the service route with the longest path prefix that matches whole segments of the path. */
    const Route* findServiceRoute(const std::string& path) const;

    /** @return the upstreams of a pool. */
    std::vector<Upstream> upstreamsOf(const std::string& pool) const;

    /** @return the names of all pools, sorted. */
    std::vector<std::string> pools() const;

    /** @return the rank of an organisation's requests on a route, from the lower one of the route's tier and its best tier. */
    int rankOf(const Route&, const Organisation&) const;

    bool operator==(const Configuration&) const = default;

private:
    friend class ConfigurationReader;

    int64_t m_revision = 0;
    std::vector<Tier> m_tiers;
    std::vector<Organisation> m_organisations;
    std::vector<Upstream> m_upstreams;
    std::vector<Route> m_routes;
    std::vector<Rollout> m_rollouts;
    Limits m_limits;
};

} // namespace bronzeswitch
