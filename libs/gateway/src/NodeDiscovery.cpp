#include <gateway/NodeDiscovery.h>

namespace bronzeswitch {

namespace {

constexpr std::size_t maxContacts = 16; // Their responses name the other nodes.

} // namespace

NodeDiscovery::NodeDiscovery(PeerView& peers, DecisionLog& log)
    : m_peers(peers)
    , m_log(log)
{
}

void NodeDiscovery::connect(RegisteredNode own, std::function<bool()> hasDuty)
{
    m_own = std::move(own);
    m_hasDuty = std::move(hasDuty);
}

void NodeDiscovery::onJoined(bool wasRegistered, TimePoint now)
{
    m_wasRegistered = wasRegistered;
    m_registry.onJoined(now);
    updateCount();
    addContacts(now);
}

void NodeDiscovery::onRenewed(const std::vector<RegisteredNode>& nodes, TimePoint now)
{
    m_registry.onRenewed(nodes, now);
    updateCount();
    addContacts(now);
}

void NodeDiscovery::addContacts(TimePoint now)
{
    const auto addresses = m_peers.addresses();
    const std::set<std::string> known(addresses.begin(), addresses.end());
    for (const auto& address : m_registry.contactsFor(m_own, known, maxContacts))
        m_peers.addAddress(address, false, now);
}

void NodeDiscovery::onRemoved(const std::vector<std::string>& addresses)
{
    for (const auto& address : addresses)
        m_registry.remove(address);
    m_log.write(events::nodesExpired, { { "removed", addresses }, { "registered", m_registry.size() } });
    updateCount();
}

void NodeDiscovery::updateCount()
{
    const int ownCount = m_registry.contains(m_own.address) ? 0 : 1;
    m_peers.setRegisteredNodes(m_registry.size() + ownCount, m_wasRegistered);
}

std::vector<RegisteredNode> NodeDiscovery::liveNodes() const
{
    std::vector<RegisteredNode> nodes { m_own };
    for (const auto& address : m_peers.livePeers())
        nodes.push_back({ address, m_peers.dataCentreOf(address) });
    return nodes;
}

void NodeDiscovery::tick(TimePoint now)
{
    if (isRegistrar(now)) {
        m_registry.addMissing(liveNodes());
        updateCount();
    }
    logCount();
}

void NodeDiscovery::logCount()
{
    const int count = m_peers.registeredNodes();
    const bool isFleetKnown = m_peers.isFleetKnown();
    if (count == m_loggedCount && isFleetKnown == m_loggedFleetKnown)
        return;
    m_log.write(events::fleetCounted,
        { { "registered", count }, { "before", m_loggedCount }, { "known", m_peers.knownNodeCount() },
            { "members", m_peers.liveNodeCount() }, { "isFleetKnown", isFleetKnown } });
    m_loggedCount = count;
    m_loggedFleetKnown = isFleetKnown;
}

} // namespace bronzeswitch
