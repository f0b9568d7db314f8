#include "ClaimClient.h"

#include <base/Hash.h>

namespace bronzeswitch {

namespace {

constexpr Duration repeatInterval { 2000 };
constexpr Duration unsentRetry { 100 };
constexpr Duration cancelCheck { 100 };
constexpr Duration recentSpan { 60000 };
constexpr Duration unavailableLimit { 3000 };
constexpr Duration giveUpLimit { 1000 };
constexpr int64_t streamEnd = int64_t(1) << 60;

} // namespace

std::string homeOfPartition(int partition, const std::vector<std::string>& members)
{
    return selectByRendezvousHash(ClaimPartition::streamOf(partition), members);
}

std::string ClaimClient::homeOf(const std::string& key) const
{
    return homeOfPartition(ClaimPartition::partitionOf(key, m_options.partitions), m_options.members());
}

// A node that can't serve names the owner; one that knows none is followed by another member.
std::string ClaimClient::nextTarget(const std::string& key, const std::string& before, const ClaimResponse& answer) const
{
    if (!answer.owner.empty() && answer.owner != before)
        return answer.owner;
    auto members = m_options.members();
    std::erase(members, before);
    return members.empty() ? before : selectByRendezvousHash(key, members);
}

ClaimResponse ClaimClient::ask(
    const std::string& key, const std::string& attempt, ClaimMode mode, TimePoint deadline, const std::function<bool()>& isCancelled)
{
    std::unique_lock lock(m_mutex);
    const auto id = ++m_lastId;
    auto& slot = m_waiting[id];
    TimePoint nextSend {};
    const auto unavailableUntil = std::min(deadline, TimePoint(std::chrono::steady_clock::now()) + unavailableLimit);
    std::string target;
    ClaimResponse answer;
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
            nextSend = now + (isSent ? repeatInterval : unsentRetry);
        }
        m_changed.wait_for(lock, cancelCheck, [&] { return slot.has_value(); });
        if (slot) {
            answer = *slot;
            slot.reset();
            const bool isUnavailable = answer.state == ClaimState::Unavailable;
            const bool isOver = isUnavailable ? std::chrono::steady_clock::now() >= unavailableUntil : answer.state != ClaimState::Running;
            if (isOver)
                break;
            nextSend = isUnavailable ? now + unsentRetry : TimePoint();
            if (isUnavailable)
                target = nextTarget(key, target, answer);
        }
        lock.unlock();
        const bool isLeaving = isCancelled();
        lock.lock();
        if (isLeaving)
            break;
    }
    m_waiting.erase(id);
    return answer;
}

void ClaimClient::record(const ClaimOutcome& outcome)
{
    const auto now = std::chrono::steady_clock::now();
    {
        std::lock_guard lock(m_mutex);
        m_recent.push_back({ outcome, now });
        while (now - m_recent.front().time > recentSpan)
            m_recent.pop_front();
    }
    m_options.send(homeOf(outcome.key), outcome);
}

void ClaimClient::onAnswer(const ClaimResponse& answer)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_waiting.find(answer.id);
    if (found == m_waiting.end())
        return;
    found->second = answer;
    m_changed.notify_all();
}

void ClaimClient::onMembersChanged()
{
    std::deque<Recent> recent;
    {
        std::lock_guard lock(m_mutex);
        recent = m_recent;
    }
    for (const auto& item : recent)
        m_options.send(homeOf(item.outcome.key), item.outcome);
}

ClaimHomes::ClaimHomes(Options options)
    : m_options(std::move(options))
    , m_started(std::chrono::steady_clock::now())
{
}

ClaimHome<NodeLog>::Options ClaimHomes::homeOptions(int partition)
{
    ClaimHome<NodeLog>::Options options;
    options.node = m_options.node;
    options.timing = m_options.timing;
    options.sendAnswer = [this](const std::string& node, const ClaimResponse& answer) { m_options.send(node, answer); };
    options.isLive = m_options.isLive;
    options.isPreferred = [this, partition] { return homeOfPartition(partition, m_options.members()) == m_options.node; };
    options.knownPeers = m_options.knownPeers;
    options.sendDeclaration = [this](const std::string& node, const ClaimDeclaration& declaration) { m_options.send(node, declaration); };
    options.validity = m_options.validity;
    options.streamEndOffsets = [this, partition] {
        std::lock_guard lock(m_endsMutex);
        return m_streamEnds[partition];
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

void ClaimHomes::onAsk(const std::string& from, const ClaimRequest& ask)
{
    if (auto* home = homeFor(ask.key))
        home->onRequest(from, ask);
}

void ClaimHomes::onOutcome(const ClaimOutcome& outcome)
{
    if (auto* home = homeFor(outcome.key))
        home->onOutcome(outcome);
}

void ClaimHomes::onDeclare(const std::string& from, const ClaimDeclaration& declaration)
{
    const bool isKnown = declaration.partition >= 0 && declaration.partition < m_options.partitions;
    auto* target = isKnown ? home(declaration.partition) : nullptr;
    if (target && target->onDeclare(declaration))
        m_options.send(from, ClaimDeclarationAck { declaration.partition, declaration.episode, declaration.round });
}

void ClaimHomes::onDeclareAck(const std::string& from, const ClaimDeclarationAck& ack)
{
    const bool isKnown = ack.partition >= 0 && ack.partition < m_options.partitions;
    if (auto* target = isKnown ? home(ack.partition) : nullptr)
        target->onDeclareAck(from, ack);
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

void ClaimHomes::noteStreamEnds()
{
    const bool isMature = std::chrono::steady_clock::now() - m_started >= m_options.listLag;
    for (int partition = 0; partition < m_options.partitions; ++partition) {
        if (!noteStreamEnd(partition, &StreamEndOffsets::atStart))
            return;
        if (isMature && !noteStreamEnd(partition, &StreamEndOffsets::whenKnownToAll))
            return;
    }
}

bool ClaimHomes::noteStreamEnd(int partition, std::optional<int64_t> StreamEndOffsets::*end)
{
    {
        std::lock_guard lock(m_endsMutex);
        if (m_streamEnds[partition].*end)
            return true;
    }
    const auto page = m_options.log->read(ClaimPartition::streamOf(partition), streamEnd, 1, Duration(0));
    if (!page)
        return false;
    std::lock_guard lock(m_endsMutex);
    m_streamEnds[partition].*end = page->next;
    return true;
}

void ClaimHomes::giveUp()
{
    for (auto* home : homes())
        home->releaseOwnership(giveUpLimit);
}

std::size_t ClaimHomes::size() const
{
    std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& [partition, home] : m_homes)
        count += home->size();
    return count;
}

int ClaimHomes::ownedPartitions() const
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
