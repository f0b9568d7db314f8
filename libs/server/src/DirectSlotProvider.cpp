#include "DirectSlotProvider.h"

#include <algorithm>

namespace bronzeswitch {

tl::expected<SlotGrant, SlotRefusal> DirectSlotProvider::acquire(SlotRequest& request, TimePoint, const std::function<bool()>&)
{
    const auto view = m_view();
    const auto* route = view->configuration->findRoute(request.route);
    auto upstreams = view->configuration->upstreamsOf(request.pool);
    std::erase_if(upstreams, [&](const Upstream& upstream) {
        const bool isExcluded = std::find(request.excluded.begin(), request.excluded.end(), upstream.name) != request.excluded.end();
        return !route || isExcluded || upstream.leaving || upstream.model != route->model || upstream.version != route->version;
    });
    std::lock_guard lock(m_mutex);
    request.id = ++m_lastId;
    if (upstreams.empty())
        return tl::unexpected(SlotRefusal { request.id, RefusalReason::NoUpstream, 0 });
    auto chosen = upstreams.begin() + static_cast<std::ptrdiff_t>(m_nextIndex++ % upstreams.size());
    if (m_rule == Rule::LeastOutstanding) {
        chosen = std::min_element(upstreams.begin(), upstreams.end(),
            [&](const Upstream& a, const Upstream& b) { return m_outstanding[a.name] < m_outstanding[b.name]; });
    }
    ++m_outstanding[chosen->name];
    m_upstreamOfSlot[request.id] = chosen->name;
    return SlotGrant { request.id, chosen->name, chosen->version, "" };
}

void DirectSlotProvider::release(const SlotRequest& request, const SlotRelease&)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_upstreamOfSlot.find(request.id);
    if (found == m_upstreamOfSlot.end())
        return;
    --m_outstanding[found->second];
    m_upstreamOfSlot.erase(found);
}

} // namespace bronzeswitch
