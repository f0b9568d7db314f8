#pragma once

#include <map>
#include <string>

namespace bronzeswitch {

/**
 * Counts the requests in flight at one upstream, by the node that runs them.
 *
 * Combines the slots that this scheduler has granted with the counts that the nodes report, which include slots granted by
 * other schedulers. Each node counts with the larger of the two: a granted slot counts at once, a reported count stays valid
 * until the next report.
 *
 * Counts the tokens of requests in the same way, if amounts other than 1 are given.
 */
class InFlightByNode {
public:
    void addSlot(const std::string& node, int amount = 1);

    /** Removes a released slot, also from the node's last report, which still includes it. */
    void removeSlot(const std::string& node, int amount = 1);

    void setReported(const std::string& node, int running);

    /** Forgets what a node has reported. */
    void forgetReport(const std::string& node) { setReported(node, 0); }

    /** @return requests of all nodes. */
    int load() const { return m_load; }

    /** @return slots granted to all nodes. */
    int grantedSlots() const { return m_grantedSlots; }

    int reported(const std::string& node) const;

private:
    struct Count {
        int granted = 0;
        int reported = 0;

        int load() const { return granted > reported ? granted : reported; }
    };

    template <typename Change> void change(const std::string& node, Change);

    std::map<std::string, Count> m_nodes;
    int m_load = 0;
    int m_grantedSlots = 0;
};

} // namespace bronzeswitch
