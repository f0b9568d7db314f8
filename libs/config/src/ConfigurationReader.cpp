#include "FieldReader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <config/Configuration.h>
#include <set>

namespace bronzeswitch {

namespace {

constexpr int64_t maxRank = 15;
constexpr int64_t maxSlots = 4096;
constexpr int64_t maxDeadlineMs = 3600000;
constexpr int64_t maxQueueLength = 100000;
constexpr int64_t maxBodyBytes = 64LL << 20;
constexpr int64_t maxClaimValiditySeconds = 604800;
constexpr double maxWeight = 1000;
constexpr double minWeight = 0.001;

bool isIpv4AddressAndPort(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    in_addr parsed {};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) != 1)
        return false;
    int port = 0;
    const auto result = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    constexpr int maxPort = 65535;
    return result.ec == std::errc() && result.ptr == text.data() + text.size() && port > 0 && port <= maxPort;
}

} // namespace

// Reads all entries of a document, then checks the references between them.
class ConfigurationReader {
public:
    explicit ConfigurationReader(const ConfigDocument& document)
        : m_document(document)
    {
    }

    tl::expected<Configuration, Findings> read(int64_t revision)
    {
        m_result.m_revision = revision;
        readEntries("tier", &ConfigurationReader::readTier);
        readEntries("organisation", &ConfigurationReader::readOrganisation);
        readEntries("upstream", &ConfigurationReader::readUpstream);
        readEntries("route", &ConfigurationReader::readRoute);
        readEntries("rollout", &ConfigurationReader::readRollout);
        readEntries("limits", &ConfigurationReader::readLimits);
        checkTiers();
        checkOrganisations();
        checkRoutes();
        checkRollouts();
        if (!m_findings.empty())
            return tl::unexpected(m_findings);
        return m_result;
    }

private:
    using EntryReader = void (ConfigurationReader::*)(const std::string&, FieldReader&);

    void readEntries(const std::string& kind, EntryReader reader)
    {
        for (const auto& [name, entry] : m_document.entries(kind)) {
            FieldReader fields(m_document, { kind, name }, entry, m_findings);
            (this->*reader)(name, fields);
        }
    }

    void readTier(const std::string& name, FieldReader& fields)
    {
        m_result.m_tiers.push_back({ name, static_cast<int>(fields.integer("rank", 0, 0, maxRank)) });
    }

    void readOrganisation(const std::string& name, FieldReader& fields)
    {
        m_result.m_organisations.push_back({ name, fields.number("weight", 1, minWeight, maxWeight), fields.text("best_tier", "") });
    }

    UpstreamKind readKind(FieldReader& fields)
    {
        const auto kind = fields.requiredText("kind");
        if (!kind.empty() && kind != "engine" && kind != "service")
            fields.report("kind", "must be engine or service");
        return kind == "service" ? UpstreamKind::Service : UpstreamKind::Engine;
    }

    void readUpstream(const std::string& name, FieldReader& fields)
    {
        Upstream upstream;
        upstream.name = name;
        upstream.kind = readKind(fields);
        upstream.address = fields.requiredText("address");
        upstream.dataCentre = fields.requiredText("data_centre");
        upstream.model = upstream.kind == UpstreamKind::Engine ? fields.requiredText("model") : fields.text("model", "");
        upstream.pool = fields.text("pool", upstream.kind == UpstreamKind::Engine ? upstream.model : "services");
        upstream.version = fields.requiredText("version");
        upstream.slots = static_cast<int>(fields.integer("slots", 1, 1, maxSlots));
        upstream.reportsLoad = fields.flag("reports_load", true);
        upstream.checksFencing = fields.flag("checks_fencing", true);
        upstream.leaving = fields.flag("leaving", false);
        if (!upstream.address.empty() && !isIpv4AddressAndPort(upstream.address))
            fields.report("address", "'" + upstream.address + "' must be an IPv4 address and a port");
        m_result.m_upstreams.push_back(upstream);
    }

    void readRoute(const std::string& name, FieldReader& fields)
    {
        Route route;
        route.name = name;
        route.kind = readKind(fields);
        const bool isService = route.kind == UpstreamKind::Service;
        route.path = isService ? fields.requiredText("path") : fields.text("path", "");
        route.model = isService ? fields.text("model", "") : fields.requiredText("model");
        route.pool = fields.text("pool", isService ? "services" : route.model);
        route.tier = fields.requiredText("tier");
        route.version = fields.requiredText("version");
        route.idempotent = fields.flag("idempotent", !isService);
        route.deadline = Duration(fields.integer("deadline_ms", Duration(route.deadline).count(), 1, maxDeadlineMs));
        if (isService && !route.path.empty() && route.path.front() != '/')
            fields.report("path", "must start with '/'");
        m_result.m_routes.push_back(route);
    }

    void readRollout(const std::string& name, FieldReader& fields)
    {
        Rollout rollout;
        rollout.name = name;
        rollout.route = fields.requiredText("route");
        rollout.from = fields.requiredText("from");
        rollout.to = fields.requiredText("to");
        rollout.deadline = fields.integer("deadline", 0, 1, std::numeric_limits<int64_t>::max());
        rollout.aborted = fields.flag("abort", false);
        if (!rollout.deadline)
            fields.report("deadline", "must be given in seconds since the epoch");
        m_result.m_rollouts.push_back(rollout);
    }

    void readLimits(const std::string& name, FieldReader& fields)
    {
        auto& limits = m_result.m_limits;
        if (name != "global")
            fields.report("", "the only entry of this section must be named 'global'");
        limits.maxBodyBytes
            = static_cast<size_t>(fields.integer("max_body_bytes", static_cast<int64_t>(limits.maxBodyBytes), 1, maxBodyBytes));
        limits.queuePerPool = static_cast<int>(fields.integer("queue_per_pool", limits.queuePerPool, 1, maxQueueLength));
        const auto validity = fields.integer(
            "claim_validity_s", std::chrono::duration_cast<std::chrono::seconds>(limits.claimValidity).count(), 1, maxClaimValiditySeconds);
        limits.claimValidity = std::chrono::seconds(validity);
        limits.firstTokenTarget = Duration(fields.integer("first_token_ms", limits.firstTokenTarget.count(), 1, maxDeadlineMs));
        limits.betweenTokensTarget = Duration(fields.integer("between_tokens_ms", limits.betweenTokensTarget.count(), 1, maxDeadlineMs));
        limits.rolloutStartShare = fields.number("rollout_start_share", limits.rolloutStartShare, 0, 1);
        limits.rolloutSoak = Duration(fields.integer("rollout_soak_ms", limits.rolloutSoak.count(), 0, maxDeadlineMs));
    }

    void report(const EntryKey& key, const std::string& field, const std::string& message)
    {
        m_findings.push_back({ m_document.place(key, field), message });
    }

    void checkTiers()
    {
        std::set<int> ranks;
        for (const auto& tier : m_result.m_tiers) {
            if (!ranks.insert(tier.rank).second)
                report({ "tier", tier.name }, "rank", "another tier has rank " + std::to_string(tier.rank));
        }
    }

    void checkOrganisations()
    {
        for (const auto& organisation : m_result.m_organisations) {
            if (!organisation.bestTier.empty() && !m_result.findTier(organisation.bestTier))
                report({ "organisation", organisation.name }, "best_tier", "there is no tier '" + organisation.bestTier + "'");
        }
    }

    bool hasVersion(const Route& route, const std::string& version) const
    {
        return std::any_of(m_result.m_upstreams.begin(), m_result.m_upstreams.end(), [&](const Upstream& upstream) {
            return upstream.pool == route.pool && upstream.kind == route.kind && upstream.version == version;
        });
    }

    void checkRoutes()
    {
        for (const auto& route : m_result.m_routes) {
            const EntryKey key { "route", route.name };
            if (!m_result.findTier(route.tier))
                report(key, "tier", "there is no tier '" + route.tier + "'");
            if (!hasVersion(route, route.version))
                report(key, "version", "no upstream of pool '" + route.pool + "' has version '" + route.version + "'");
        }
    }

    void checkRollouts()
    {
        std::set<std::string> routes;
        for (const auto& rollout : m_result.m_rollouts) {
            const EntryKey key { "rollout", rollout.name };
            const auto* route = m_result.findRoute(rollout.route);
            if (!route) {
                report(key, "route", "there is no route '" + rollout.route + "'");
                continue;
            }
            if (rollout.from == rollout.to)
                report(key, "to", "'from' and 'to' are the same version");
            for (const auto& version : { rollout.from, rollout.to }) {
                if (!hasVersion(*route, version))
                    report(key, version == rollout.to ? "to" : "from",
                        "no upstream of pool '" + route->pool + "' has version '" + version + "'");
            }
            if (!rollout.aborted && !routes.insert(rollout.route).second)
                report(key, "route", "another rollout moves route '" + rollout.route + "'; remove or abort it first");
        }
    }

    const ConfigDocument& m_document;
    Configuration m_result;
    Findings m_findings;
};

tl::expected<Configuration, Findings> Configuration::create(const ConfigDocument& document, int64_t revision)
{
    return ConfigurationReader(document).read(revision);
}

} // namespace bronzeswitch
