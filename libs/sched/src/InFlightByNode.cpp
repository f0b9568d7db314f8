#include <algorithm>
#include <sched/InFlightByNode.h>

namespace bronzeswitch {

template <typename Change> void InFlightByNode::change(const std::string& node, Change apply)
{
    auto& count = m_nodes[node];
    m_load -= count.load();
    m_grantedSlots -= count.granted;
    apply(count);
    m_load += count.load();
    m_grantedSlots += count.granted;
    if (!count.granted && !count.reported)
        m_nodes.erase(node);
}

void InFlightByNode::addSlot(const std::string& node, int amount)
{
    change(node, [&](Count& count) { count.granted += amount; });
}

void InFlightByNode::removeSlot(const std::string& node, int amount)
{
    change(node, [&](Count& count) {
        count.granted = std::max(0, count.granted - amount);
        count.reported = std::max(0, count.reported - amount);
    });
}

void InFlightByNode::setReported(const std::string& node, int running)
{
    change(node, [&](Count& count) { count.reported = running; });
}

int InFlightByNode::reported(const std::string& node) const
{
    const auto found = m_nodes.find(node);
    return found == m_nodes.end() ? 0 : found->second.reported;
}

} // namespace bronzeswitch
