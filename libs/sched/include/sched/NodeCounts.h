#pragma once

#include <map>
#include <string>

namespace bronzeswitch {

/**
 * How many requests each node runs at one upstream.
 *
 * Two sources are joined: the places that this scheduler has granted, and what the nodes report themselves, which also shows
 * what others have granted. A place counts at once; a report counts until the next one.
 */
class NodeCounts {
public:
    void addPlace(const std::string& node);

    /** Takes the end of a place; the node's last report still counted it. */
    void removePlace(const std::string& node);

    void setReported(const std::string& node, int running);

    /** Forgets what a node has reported. */
    void forgetReport(const std::string& node) { setReported(node, 0); }

    /** @return requests of all nodes. */
    int load() const { return m_load; }

    /** @return places granted to all nodes. */
    int places() const { return m_places; }

    int reported(const std::string& node) const;

private:
    struct Count {
        int places = 0;
        int reported = 0;

        int load() const { return places > reported ? places : reported; }
    };

    template <typename Change> void change(const std::string& node, Change);

    std::map<std::string, Count> m_nodes;
    int m_load = 0;
    int m_places = 0;
};

} // namespace bronzeswitch
