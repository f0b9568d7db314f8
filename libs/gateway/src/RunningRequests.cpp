#include <gateway/RunningRequests.h>

namespace bronzeswitch {

void RunningRequests::start(uint64_t id, const Request& request, const std::string& upstream)
{
    m_requests[id] = request;
    auto& load = m_loads[upstream];
    ++load.requests;
    load.heldTokens += request.heldTokens;
}

std::optional<RunningRequests::Request> RunningRequests::end(uint64_t id, const std::string& upstream)
{
    const auto request = m_requests.extract(id);
    const auto load = m_loads.find(upstream);
    if (load != m_loads.end()) {
        load->second.heldTokens -= request.empty() ? 0 : request.mapped().heldTokens;
        if (--load->second.requests <= 0)
            m_loads.erase(load);
    }
    return request.empty() ? std::nullopt : std::optional(request.mapped());
}

bool RunningRequests::isGrantedBy(uint64_t id, const std::string& grantor) const
{
    const auto found = m_requests.find(id);
    return found != m_requests.end() && found->second.grantor == grantor;
}

RunningRequests::Load RunningRequests::at(const std::string& upstream) const
{
    const auto found = m_loads.find(upstream);
    return found == m_loads.end() ? Load {} : found->second;
}

int RunningRequests::count() const
{
    int count = 0;
    for (const auto& [upstream, load] : m_loads)
        count += load.requests;
    return count;
}

} // namespace bronzeswitch
