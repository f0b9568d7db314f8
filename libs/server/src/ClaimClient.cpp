#include "ClaimClient.h"

#include <base/Hash.h>

namespace bronzeswitch {

namespace {

constexpr Duration resendInterval { 2000 }; // In case a message was lost.
constexpr Duration sendRetryDelay { 100 };
constexpr Duration cancelPollInterval { 100 };
constexpr Duration outcomeResendPeriod { 60000 };
constexpr Duration unavailableTimeout { 3000 }; // After this time a response of Unavailable is final.
constexpr Duration releaseTimeout { 1000 };
constexpr int64_t beyondStreamEnd = int64_t(1) << 60; // A read from here returns no records, only the end offset.

} // namespace

std::string homeOfPartition(int partition, const std::vector<std::string>& members)
{
    return selectByRendezvousHash(ClaimPartition::streamOf(partition), members);
}

std::string ClaimClient::homeOf(const std::string& key) const
{
    return homeOfPartition(ClaimPartition::partitionOf(key, m_options.partitions), m_options.members());
}

// Chooses the node to try after a response of Unavailable: the partition's owner if the response names it, else another member.
std::string ClaimClient::nextTarget(const std::string& key, const std::string& previousTarget, const ClaimResponse& response) const
{
    if (!response.owner.empty() && response.owner != previousTarget)
        return response.owner;
    auto members = m_options.members();
    std::erase(members, previousTarget);
    return members.empty() ? previousTarget : selectByRendezvousHash(key, members);
}

ClaimResponse ClaimClient::request(
    const std::string& key, const std::string& attempt, ClaimMode mode, TimePoint deadline, const std::function<bool()>& isCancelled)
{
    std::unique_lock lock(m_mutex);
    const auto id = m_requestIds.next();
    auto& received = m_pendingRequests[id];
    TimePoint nextSend {};
    const auto unavailableUntil = std::min(deadline, TimePoint(std::chrono::steady_clock::now()) + unavailableTimeout);
    std::string target;
    ClaimResponse response;
    while (std::chrono::steady_clock::now() < deadline) {
        const auto now = std::chrono::steady_clock::now();
        if (now >= nextSend) {
            lock.unlock();
            if (target.empty())
                target = homeOf(key);
            const bool isSent = m_options.send(target, ClaimRequest { id, key, attempt, mode });
            if (!isSent)
                target.clear();
            lock.lock();
            nextSend = now + (isSent ? resendInterval : sendRetryDelay);
        }
        m_changed.wait_for(lock, cancelPollInterval, [&] { return received.has_value(); });
        if (received) {
            response = *received;
            received.reset();
            const bool isUnavailable = response.state == ClaimState::Unavailable;
            const bool isFinalResponse
                = isUnavailable ? std::chrono::steady_clock::now() >= unavailableUntil : response.state != ClaimState::Running;
            if (isFinalResponse)
                break;
            nextSend = isUnavailable ? now + sendRetryDelay : TimePoint();
            if (isUnavailable)
                target = nextTarget(key, target, response);
        }
        lock.unlock();
        const bool isAbandoned = isCancelled();
        lock.lock();
        if (isAbandoned)
            break;
    }
    m_pendingRequests.erase(id);
    return response;
}

void ClaimClient::reportOutcome(const ClaimOutcome& outcome)
{
    const auto now = std::chrono::steady_clock::now();
    {
        std::lock_guard lock(m_mutex);
        m_recentOutcomes.push_back({ outcome, now });
        while (now - m_recentOutcomes.front().time > outcomeResendPeriod)
            m_recentOutcomes.pop_front();
    }
    m_options.send(homeOf(outcome.key), outcome);
}

void ClaimClient::onResponse(const ClaimResponse& response)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_pendingRequests.find(response.id);
    if (found == m_pendingRequests.end())
        return;
    found->second = response;
    m_changed.notify_all();
}

void ClaimClient::onMembersChanged()
{
    std::deque<RecentOutcome> recentOutcomes;
    {
        std::lock_guard lock(m_mutex);
        recentOutcomes = m_recentOutcomes;
    }
    for (const auto& item : recentOutcomes)
        m_options.send(homeOf(item.outcome.key), item.outcome);
}

ClaimHomes::ClaimHomes(Options options)
    : m_options(std::move(options))
    , m_startTime(std::chrono::steady_clock::now())
{
}

ClaimHome<NodeLog>::Options ClaimHomes::homeOptions(int partition)
{
    ClaimHome<NodeLog>::Options options;
    options.node = m_options.node;
    options.timing = m_options.timing;
    options.sendResponse = [this](const std::string& node, const ClaimResponse& response) { m_options.send(node, response); };
    options.isLive = m_options.isLive;
    options.isPreferred = [this, partition] { return homeOfPartition(partition, m_options.members()) == m_options.node; };
    options.knownPeers = m_options.knownPeers;
    options.sendDeclaration = [this](const std::string& node, const ClaimDeclaration& declaration) { m_options.send(node, declaration); };
    options.validity = m_options.validity;
    options.streamEndOffsets = [this, partition] {
        std::lock_guard lock(m_streamEndOffsetsMutex);
        return m_streamEndOffsets[partition];
    };
    return options;
}

ClaimHome<NodeLog>* ClaimHomes::home(int partition)
{
    std::lock_guard lock(m_mutex);
    if (m_isStopping)
        return nullptr;
    auto& home = m_homes[partition];
    if (!home)
        home = std::make_unique<ClaimHome<NodeLog>>(partition, m_options.log, homeOptions(partition));
    return home.get();
}

std::vector<ClaimHome<NodeLog>*> ClaimHomes::homes() const
{
    std::lock_guard lock(m_mutex);
    std::vector<ClaimHome<NodeLog>*> result;
    for (const auto& [partition, home] : m_homes)
        result.push_back(home.get());
    return result;
}

void ClaimHomes::onRequest(const std::string& from, const ClaimRequest& request)
{
    if (auto* home = homeFor(request.key))
        home->onRequest(from, request);
}

void ClaimHomes::onOutcome(const ClaimOutcome& outcome)
{
    if (auto* home = homeFor(outcome.key))
        home->onOutcome(outcome);
}

void ClaimHomes::onDeclaration(const std::string& from, const ClaimDeclaration& declaration)
{
    const bool isKnown = declaration.partition >= 0 && declaration.partition < m_options.partitions;
    auto* target = isKnown ? home(declaration.partition) : nullptr;
    if (target && target->onDeclaration(declaration))
        m_options.send(from, ClaimDeclarationAck { declaration.partition, declaration.episode, declaration.round });
}

void ClaimHomes::onDeclarationAck(const std::string& from, const ClaimDeclarationAck& ack)
{
    const bool isKnown = ack.partition >= 0 && ack.partition < m_options.partitions;
    if (auto* target = isKnown ? home(ack.partition) : nullptr)
        target->onDeclarationAck(from, ack);
}

void ClaimHomes::onMembersChanged()
{
    const auto members = m_options.members();
    for (int partition = 0; partition < m_options.partitions; ++partition) {
        if (homeOfPartition(partition, members) == m_options.node)
            home(partition);
    }
    for (auto* home : homes())
        home->onMembersChanged();
}

void ClaimHomes::readStreamEndOffsets()
{
    const bool isKnownToAll = std::chrono::steady_clock::now() - m_startTime >= m_options.listLag;
    for (int partition = 0; partition < m_options.partitions; ++partition) {
        if (!readStreamEndOffset(partition, &StreamEndOffsets::atStart))
            return;
        if (isKnownToAll && !readStreamEndOffset(partition, &StreamEndOffsets::whenKnownToAll))
            return;
    }
}

bool ClaimHomes::readStreamEndOffset(int partition, std::optional<int64_t> StreamEndOffsets::*offset)
{
    {
        std::lock_guard lock(m_streamEndOffsetsMutex);
        if (m_streamEndOffsets[partition].*offset)
            return true;
    }
    const auto page = m_options.log->read(ClaimPartition::streamOf(partition), beyondStreamEnd, 1, Duration(0));
    if (!page)
        return false;
    std::lock_guard lock(m_streamEndOffsetsMutex);
    m_streamEndOffsets[partition].*offset = page->nextOffset;
    return true;
}

void ClaimHomes::releaseOwnership()
{
    for (auto* home : homes())
        home->releaseOwnership(releaseTimeout);
}

std::size_t ClaimHomes::keyCount() const
{
    std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& [partition, home] : m_homes)
        count += home->size();
    return count;
}

int ClaimHomes::ownedPartitionCount() const
{
    const auto all = homes();
    return static_cast<int>(std::count_if(all.begin(), all.end(), [](const auto* home) { return home->isOwner(); }));
}

void ClaimHomes::shutdown()
{
    std::map<int, std::unique_ptr<ClaimHome<NodeLog>>> homes;
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
        homes.swap(m_homes);
    }
}

} // namespace bronzeswitch
