#pragma once

#include <gateway/DecisionLog.h>
#include <gateway/NodeRegistry.h>
#include <gateway/PeerView.h>

#include <functional>

namespace bronzeswitch {

/**
 * Lets a node find its peers through the registry, and learn how many nodes there are.
 *
 * A component outside of this class reads and writes the registry's storage. While this node is the registrar, it renews there the
 * registrations of all nodes that are live to it.
 *
 *     discovery.registry().reset(registrations);
 *     discovery.onJoined(wasRegistered, now);
 *     if (discovery.isRenewalDue(now))
 *         discovery.onRenewed(writtenNodes, now);
 */
class NodeDiscovery {
public:
    NodeDiscovery(PeerView&, DecisionLog&);

    /** Connects to the node. @param own this node. @param hasDuty returns true if this node should be the registrar. */
    void connect(RegisteredNode own, std::function<bool()> hasDuty);

    NodeRegistry& registry() { return m_registry; }
    const RegisteredNode& own() const { return m_own; }

    /**
     * Applies what was read at the start, once this node is registered too: the number of nodes, and addresses of peers that this node
     * does not know yet.
     * @param wasRegistered this node was in the registry before it started.
     */
    void onJoined(bool wasRegistered, TimePoint now);

    /** Notes that the registrations of nodes have been renewed. */
    void onRenewed(const std::vector<RegisteredNode>&, TimePoint now);

    /** Notes that expired registrations have been removed. */
    void onRemoved(const std::vector<std::string>& addresses);

    /** @return true if this node should renew registrations now. */
    bool isRenewalDue(TimePoint now) const { return m_registry.isRenewalDue(now) && m_hasDuty(); }

    /** @return true if this node maintains the registry and has read it a short time ago. */
    bool isRegistrar(TimePoint now) const { return m_registry.isCurrent(now) && m_hasDuty(); }

    /** @return the nodes that are live to this node, and this node. */
    std::vector<RegisteredNode> liveNodes() const;

    /** @return true once this node may rely on the number of nodes; see PeerView::isFleetKnown(). */
    bool isFleetKnown() const { return m_peers.isFleetKnown(); }

    /** Counts new live nodes while this node is the registrar, and logs changes of the number. Called periodically. */
    void tick(TimePoint now);

private:
    void addContacts(TimePoint now);
    void updateCount();
    void logCount();

    PeerView& m_peers;
    DecisionLog& m_log;
    NodeRegistry m_registry;
    RegisteredNode m_own;
    std::function<bool()> m_hasDuty;
    bool m_wasRegistered = false;
    int m_loggedCount = 0;
    bool m_loggedFleetKnown = false;
};

} // namespace bronzeswitch
