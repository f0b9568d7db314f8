#include "Placement.h"

#include <algorithm>

namespace bronzeswitch {

tl::expected<SlotGrant, SlotRefusal> DirectPlacer::acquire(SlotRequest& ask, TimePoint, const std::function<bool()>&)
{
    const auto view = m_view();
    const auto* route = view->configuration->findRoute(ask.route);
    auto upstreams = view->configuration->upstreamsOf(ask.pool);
    std::erase_if(upstreams, [&](const Upstream& upstream) {
        const bool isExcluded = std::find(ask.excluded.begin(), ask.excluded.end(), upstream.name) != ask.excluded.end();
        return !route || isExcluded || upstream.leaving || upstream.model != route->model || upstream.version != route->version;
    });
    std::lock_guard lock(m_mutex);
    ask.id = ++m_lastId;
    if (upstreams.empty())
        return tl::unexpected(SlotRefusal { ask.id, RefusalReason::NoUpstream, 0 });
    auto chosen = upstreams.begin() + static_cast<std::ptrdiff_t>(m_next++ % upstreams.size());
    if (m_rule == Rule::LeastOutstanding) {
        chosen = std::min_element(upstreams.begin(), upstreams.end(),
            [&](const Upstream& a, const Upstream& b) { return m_outstanding[a.name] < m_outstanding[b.name]; });
    }
    ++m_outstanding[chosen->name];
    m_places[ask.id] = chosen->name;
    return SlotGrant { ask.id, chosen->name, chosen->version, "" };
}

void DirectPlacer::release(const SlotRequest& ask, const SlotRelease&)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_places.find(ask.id);
    if (found == m_places.end())
        return;
    --m_outstanding[found->second];
    m_places.erase(found);
}

} // namespace bronzeswitch
