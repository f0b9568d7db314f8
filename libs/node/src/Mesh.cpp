#include <algorithm>
#include <node/Mesh.h>

namespace bronzeswitch {

Result<std::unique_ptr<Mesh>> Mesh::create(Options options)
{
    std::unique_ptr<Mesh> mesh(new Mesh(std::move(options)));
    LinkHub::Callbacks callbacks;
    callbacks.onOpen = [self = mesh.get()](LinkId link, bool isInbound) { self->onLinkOpened(link, isInbound); };
    callbacks.onClose = [self = mesh.get()](LinkId link) { self->onLinkClosed(link); };
    callbacks.onMessage = [self = mesh.get()](LinkId link, const std::string& bytes) { self->onLinkMessage(link, bytes); };
    std::string error;
    mesh->m_hub = LinkHub::create(mesh->m_options.address, mesh->m_options.port, callbacks, error);
    if (!mesh->m_hub)
        return fail(ErrorCode::Unavailable, "can't listen for peers: " + error);
    return mesh;
}

Mesh::Mesh(Options options)
    : m_options(std::move(options))
{
}

Mesh::~Mesh() { shutdown(); }

void Mesh::shutdown()
{
    std::vector<std::shared_ptr<Peer>> peers;
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
        for (const auto& [id, peer] : m_peers)
            peers.push_back(peer);
    }
    m_wakeUp.notify_all();
    for (const auto& peer : peers) {
        if (peer->thread.joinable())
            peer->thread.join();
    }
    if (m_hub)
        m_hub->shutdown();
}

void Mesh::updateVmList(const std::vector<Vm>& vms)
{
    for (const auto& vm : vms)
        addPeer(vm);
    {
        std::lock_guard lock(m_mutex);
        for (const auto& entry : m_peers) {
            const auto& peer = entry.second;
            const auto listed = std::find_if(vms.begin(), vms.end(), [&](const Vm& vm) { return vm.id == entry.first; });
            peer->isListed = listed != vms.end();
            peer->wasListed = peer->wasListed || peer->isListed;
            peer->status.isListedAsLeaving = listed != vms.end() && listed->isLeaving;
        }
    }
    forgetPeers();
}

// Removes peers that have been neither listed nor live for some time and ends their threads, so that the threads of replaced VMs do
// not accumulate.
void Mesh::forgetPeers()
{
    std::vector<std::shared_ptr<Peer>> removed;
    {
        std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        for (auto entry = m_peers.begin(); entry != m_peers.end();) {
            const auto& peer = entry->second;
            if (peer->isListed || peer->status.isLive || now - peer->lastLive < m_options.timing.forgetAfter) {
                ++entry;
                continue;
            }
            peer->isRemoved = true;
            removed.push_back(peer);
            m_outboundPeers.erase(peer->link);
            entry = m_peers.erase(entry);
        }
    }
    m_wakeUp.notify_all();
    for (const auto& peer : removed) {
        peer->thread.join();
        m_hub->close(peer->link);
    }
}

void Mesh::addPeer(const Vm& vm)
{
    if (vm.id == m_options.node || vm.address.empty())
        return;
    std::lock_guard lock(m_mutex);
    if (m_isStopping)
        return;
    auto& peer = m_peers[vm.id];
    if (peer) {
        peer->address = vm.address;
        return;
    }
    peer = std::make_shared<Peer>();
    peer->status.id = vm.id;
    peer->status.dataCentre = vm.dataCentre;
    peer->address = vm.address;
    peer->lastLive = std::chrono::steady_clock::now();
    peer->thread = std::thread([this, peer] { runPeer(peer); });
}

void Mesh::runPeer(const std::shared_ptr<Peer>& peer)
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping && !peer->isRemoved) {
        const bool isLinkOpen = maintainLink(*peer, lock);
        lock.unlock();
        notifyIfMembersChanged();
        lock.lock();
        const auto delay = isLinkOpen ? m_options.timing.heartbeatInterval : m_options.timing.reconnectDelay;
        m_wakeUp.wait_for(lock, delay, [&] { return m_isStopping || peer->isRemoved; });
    }
}

bool Mesh::maintainLink(Peer& peer, std::unique_lock<std::mutex>& lock)
{
    const auto now = std::chrono::steady_clock::now();
    const bool isSilent = now - peer.lastAck > m_options.timing.deadAfter;
    if (isSilent)
        setLive(peer, false);
    if (peer.link && isSilent) {
        m_hub->close(peer.link);
        m_outboundPeers.erase(peer.link);
        peer.link = 0;
        peer.isLinkOpen = false;
    }
    if (!peer.link) {
        peer.lastAck = now;
        peer.link = m_hub->connect(peer.address);
        m_outboundPeers[peer.link] = peer.status.id;
        return false;
    }
    if (!peer.isLinkOpen)
        return false;
    const auto link = peer.link;
    const auto sequence = ++peer.sequence;
    lock.unlock();
    const auto self = m_options.selfStatus();
    m_hub->send(link, encode(Heartbeat { sequence, self.ledgerNextOffset, self.isReady, self.isDraining }));
    lock.lock();
    return true;
}

void Mesh::onLinkOpened(LinkId link, bool isInbound)
{
    if (isInbound)
        return;
    const auto hello = Hello { m_options.node, m_options.dataCentre, m_options.address + ":" + std::to_string(port()) };
    m_hub->send(link, encode(hello));
    std::lock_guard lock(m_mutex);
    const auto found = m_outboundPeers.find(link);
    if (found == m_outboundPeers.end())
        return;
    auto& peer = *m_peers.at(found->second);
    peer.isLinkOpen = true;
    peer.lastAck = std::chrono::steady_clock::now();
    m_wakeUp.notify_all();
}

void Mesh::onLinkClosed(LinkId link)
{
    std::lock_guard lock(m_mutex);
    m_inboundPeers.erase(link);
    const auto found = m_outboundPeers.find(link);
    if (found == m_outboundPeers.end())
        return;
    auto& peer = *m_peers.at(found->second);
    m_outboundPeers.erase(found);
    if (peer.link != link)
        return;
    peer.link = 0;
    peer.isLinkOpen = false;
    setLive(peer, false);
}

void Mesh::onLinkMessage(LinkId link, const std::string& bytes)
{
    const auto message = decode(bytes);
    if (!message) {
        m_hub->close(link);
        return;
    }
    if (const auto* hello = std::get_if<Hello>(&*message))
        return onHello(link, *hello);
    std::string from;
    {
        std::lock_guard lock(m_mutex);
        const auto inbound = m_inboundPeers.find(link);
        const auto outbound = m_outboundPeers.find(link);
        if (inbound != m_inboundPeers.end())
            from = inbound->second;
        else if (outbound != m_outboundPeers.end())
            from = outbound->second;
    }
    if (from.empty())
        return;
    if (const auto* heartbeat = std::get_if<Heartbeat>(&*message))
        return onHeartbeat(link, from, *heartbeat);
    if (const auto* ack = std::get_if<HeartbeatAck>(&*message))
        return onHeartbeatAck(from, *ack);
    m_options.onMessage(from, *message);
}

void Mesh::onHello(LinkId link, const Hello& hello)
{
    {
        std::lock_guard lock(m_mutex);
        m_inboundPeers[link] = hello.node;
    }
    addPeer({ hello.node, hello.dataCentre, hello.address, false });
}

void Mesh::onHeartbeat(LinkId link, const std::string& from, const Heartbeat& heartbeat)
{
    const auto self = m_options.selfStatus();
    m_hub->send(link, encode(HeartbeatAck { heartbeat.sequence, self.ledgerNextOffset, self.isReady, self.isDraining }));
    std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(from);
    if (found == m_peers.end())
        return;
    found->second->status.ledgerNextOffset = heartbeat.ledgerNextOffset;
    found->second->status.isReady = heartbeat.isReady;
    found->second->status.isDraining = heartbeat.isDraining;
}

void Mesh::onHeartbeatAck(const std::string& from, const HeartbeatAck& ack)
{
    {
        std::lock_guard lock(m_mutex);
        const auto found = m_peers.find(from);
        if (found == m_peers.end())
            return;
        auto& peer = *found->second;
        peer.lastAck = std::chrono::steady_clock::now();
        setLive(peer, true);
        peer.status.isReady = ack.isReady;
        peer.status.isDraining = ack.isDraining;
        peer.status.ledgerNextOffset = ack.ledgerNextOffset;
    }
    notifyIfMembersChanged();
}

bool Mesh::send(const std::string& node, const Message& message)
{
    if (node == m_options.node) {
        m_options.onMessage(node, message);
        return true;
    }
    LinkId link = 0;
    {
        std::lock_guard lock(m_mutex);
        const auto found = m_peers.find(node);
        if (found == m_peers.end() || !found->second->status.isLive || !found->second->isLinkOpen)
            return false;
        link = found->second->link;
    }
    m_hub->send(link, encode(message));
    return true;
}

void Mesh::broadcast(const Message& message)
{
    std::vector<LinkId> links;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [id, peer] : m_peers) {
            if (peer->isLinkOpen)
                links.push_back(peer->link);
        }
    }
    const auto bytes = encode(message);
    for (const auto link : links)
        m_hub->send(link, bytes);
}

// Counts each change, so that onMembersChanged also runs for a peer that restarts before its absence is noticed in members().
void Mesh::setLive(Peer& peer, bool isLive)
{
    if (peer.status.isLive != isLive)
        ++m_livenessChanges;
    peer.status.isLive = isLive;
    peer.lastLive = std::chrono::steady_clock::now();
}

bool Mesh::isMember(const Peer& peer) const
{
    const auto& status = peer.status;
    return status.isLive && status.isReady && !status.isDraining && !status.isListedAsLeaving;
}

std::vector<std::string> Mesh::membersLocked() const
{
    std::vector<std::string> result { m_options.node };
    for (const auto& [id, peer] : m_peers) {
        if (isMember(*peer))
            result.push_back(id);
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<std::string> Mesh::members() const
{
    const auto self = m_options.selfStatus();
    std::lock_guard lock(m_mutex);
    auto result = membersLocked();
    // A draining node must not be a home, unless no other node is left.
    if (self.isDraining && result.size() > 1)
        std::erase(result, m_options.node);
    return result;
}

void Mesh::notifyIfMembersChanged()
{
    {
        std::lock_guard lock(m_mutex);
        auto current = membersLocked();
        if (current == m_reportedMembers && m_livenessChanges == m_reportedLivenessChanges)
            return;
        m_reportedMembers = std::move(current);
        m_reportedLivenessChanges = m_livenessChanges;
    }
    m_options.onMembersChanged();
}

bool Mesh::isLive(const std::string& node) const
{
    if (node == m_options.node)
        return true;
    std::lock_guard lock(m_mutex);
    const auto found = m_peers.find(node);
    return found != m_peers.end() && found->second->status.isLive;
}

std::vector<std::string> Mesh::knownPeers() const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    for (const auto& [id, peer] : m_peers) {
        const bool isUnlisted = peer->wasListed && !peer->isListed;
        if (peer->status.isLive || !isUnlisted)
            names.push_back(id);
    }
    return names;
}

std::vector<PeerStatus> Mesh::peers() const
{
    std::lock_guard lock(m_mutex);
    std::vector<PeerStatus> result;
    for (const auto& [id, peer] : m_peers)
        result.push_back(peer->status);
    return result;
}

} // namespace bronzeswitch
