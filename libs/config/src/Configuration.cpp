#include <config/Configuration.h>

#include <algorithm>
#include <set>

namespace bronzeswitch {

namespace {

template <typename Item> const Item* findByName(const std::vector<Item>& items, const std::string& name)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

bool matchesPathPrefix(const std::string& path, const std::string& prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

} // namespace

const Tier* Configuration::findTier(const std::string& name) const { return findByName(m_tiers, name); }

const Organisation* Configuration::findOrganisation(const std::string& name) const { return findByName(m_organisations, name); }

const Upstream* Configuration::findUpstream(const std::string& name) const { return findByName(m_upstreams, name); }

const Route* Configuration::findRoute(const std::string& name) const { return findByName(m_routes, name); }

const Rollout* Configuration::findRollout(const std::string& name) const { return findByName(m_rollouts, name); }

const Route* Configuration::findServiceRoute(const std::string& path) const
{
    const Route* best = nullptr;
    for (const auto& route : m_routes) {
        if (route.kind != UpstreamKind::Service || !matchesPathPrefix(path, route.path))
            continue;
        if (!best || route.path.size() > best->path.size())
            best = &route;
    }
    return best;
}

std::vector<Upstream> Configuration::upstreamsOf(const std::string& pool) const
{
    std::vector<Upstream> result;
    std::copy_if(m_upstreams.begin(), m_upstreams.end(), std::back_inserter(result),
        [&](const Upstream& upstream) { return upstream.pool == pool; });
    return result;
}

std::vector<std::string> Configuration::pools() const
{
    std::set<std::string> names;
    for (const auto& upstream : m_upstreams)
        names.insert(upstream.pool);
    return { names.begin(), names.end() };
}

int Configuration::rankOf(const Route& route, const Organisation& organisation) const
{
    const auto* routeTier = findTier(route.tier);
    const auto* bestTier = findTier(organisation.bestTier);
    const int routeRank = routeTier ? routeTier->rank : 0;
    return bestTier ? std::max(routeRank, bestTier->rank) : routeRank;
}

} // namespace bronzeswitch
