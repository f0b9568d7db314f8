#include <algorithm>
#include <sched/NodeCounts.h>

namespace bronzeswitch {

template <typename Change> void NodeCounts::change(const std::string& node, Change apply)
{
    auto& count = m_nodes[node];
    m_load -= count.load();
    m_places -= count.places;
    apply(count);
    m_load += count.load();
    m_places += count.places;
    if (!count.places && !count.reported)
        m_nodes.erase(node);
}

void NodeCounts::addPlace(const std::string& node)
{
    change(node, [](Count& count) { ++count.places; });
}

void NodeCounts::removePlace(const std::string& node)
{
    change(node, [](Count& count) {
        count.places = std::max(0, count.places - 1);
        count.reported = std::max(0, count.reported - 1);
    });
}

void NodeCounts::setReported(const std::string& node, int running)
{
    change(node, [&](Count& count) { count.reported = running; });
}

int NodeCounts::reported(const std::string& node) const
{
    const auto found = m_nodes.find(node);
    return found == m_nodes.end() ? 0 : found->second.reported;
}

} // namespace bronzeswitch
