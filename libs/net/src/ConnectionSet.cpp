#include <algorithm>
#include <net/ConnectionSet.h>
#include <tuple>

namespace bronzeswitch {

ConnectionSet::Result ConnectionSet::add(const std::shared_ptr<CallerConnection>& connection)
{
    if (m_limit == 0 || m_connections.size() < m_limit) {
        m_connections.insert(connection);
        return Result::Added;
    }
    const auto rank = [](const std::shared_ptr<CallerConnection>& item) { return std::tuple(item->state(), item->stateSince()); };
    const auto first = std::min_element(
        m_connections.begin(), m_connections.end(), [&](const auto& one, const auto& other) { return rank(one) < rank(other); });
    if ((*first)->state() == CallerConnection::State::Busy)
        return Result::Refused;
    m_connections.extract(first).value()->close();
    m_connections.insert(connection);
    return Result::AddedForAnother;
}

} // namespace bronzeswitch
