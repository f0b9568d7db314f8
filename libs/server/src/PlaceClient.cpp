#include "PlaceClient.h"

#include "PoolHomes.h"

#include <random>

namespace bronzeswitch {

namespace {

constexpr Duration repeatInterval { 2000 };
constexpr Duration cancelCheck { 100 };
constexpr int refusalsUntilForced = 20;

// Jitter keeps the asks of many nodes apart after a home has changed.
Duration jitteredRetry()
{
    constexpr int shortest = 30;
    constexpr int longest = 90;
    thread_local std::minstd_rand random(std::random_device {}());
    return Duration(std::uniform_int_distribution<int>(shortest, longest)(random));
}

Duration timeUntil(TimePoint deadline) { return std::chrono::duration_cast<Duration>(deadline - std::chrono::steady_clock::now()); }

} // namespace

// Identifiers start at a random number, so that a restarted node does not repeat those of its former life.
PlaceClient::PlaceClient(Options options)
    : m_options(std::move(options))
    , m_lastId(std::random_device {}())
{
}

std::string PlaceClient::homeOf(const std::string& pool) const { return homeOfPool(pool, m_options.members()); }

bool PlaceClient::send(const SlotRequest& ask, TimePoint deadline)
{
    auto message = ask;
    message.deadlineMs = std::max<int64_t>(0, timeUntil(deadline).count());
    return m_options.send(homeOf(ask.pool), message);
}

tl::expected<SlotGrant, SlotRefusal> PlaceClient::acquire(SlotRequest& ask, TimePoint deadline, const std::function<bool()>& isCancelled)
{
    std::unique_lock lock(m_mutex);
    ask.id = ++m_lastId;
    auto& waiting = m_waiting[ask.id];
    waiting.ask = ask;
    waiting.deadline = deadline;
    TimePoint nextSend {};
    int notHome = 0;
    SlotRefusal refusal { ask.id, RefusalReason::DeadlineTooShort, 0 };
    while (std::chrono::steady_clock::now() < deadline) {
        if (std::chrono::steady_clock::now() >= nextSend) {
            lock.unlock();
            const bool isSent = send(ask, deadline);
            lock.lock();
            nextSend = std::chrono::steady_clock::now() + (isSent ? repeatInterval : jitteredRetry());
        }
        m_changed.wait_for(lock, std::min(cancelCheck, std::max(Duration(1), timeUntil(std::min(deadline, nextSend)))),
            [&] { return waiting.grant || waiting.refusal; });
        if (waiting.grant) {
            const auto grant = *waiting.grant;
            m_waiting.erase(ask.id);
            m_running[ask.id] = { ask, grant, deadline };
            return grant;
        }
        if (waiting.refusal && waiting.refusal->reason != RefusalReason::NotHome) {
            refusal = *waiting.refusal;
            m_waiting.erase(ask.id);
            return tl::unexpected(refusal);
        }
        if (waiting.refusal) {
            waiting.refusal.reset();
            ask.isForced = ++notHome >= refusalsUntilForced;
            nextSend = std::chrono::steady_clock::now() + jitteredRetry();
        }
        lock.unlock();
        const bool isLeaving = isCancelled();
        lock.lock();
        if (isLeaving)
            break;
    }
    m_waiting.erase(ask.id);
    lock.unlock();
    m_options.send(homeOf(ask.pool), SlotCancel { ask.id });
    return tl::unexpected(refusal);
}

void PlaceClient::release(const SlotRequest& ask, const SlotRelease& done)
{
    {
        std::lock_guard lock(m_mutex);
        m_running.erase(ask.id);
    }
    m_options.send(homeOf(ask.pool), done);
}

void PlaceClient::onGrant(const std::string& from, const SlotGrant& grant)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_running.contains(grant.id))
            return;
        const auto found = m_waiting.find(grant.id);
        if (found != m_waiting.end() && !found->second.grant) {
            found->second.grant = grant;
            m_changed.notify_all();
            return;
        }
        if (found != m_waiting.end())
            return;
    }
    // Nobody waits any more, so the place goes back unused.
    m_options.send(from, SlotRelease { grant.id, DispatchOutcome::Cancelled, 0, 0, 0, 0 });
}

void PlaceClient::onRefuse(const SlotRefusal& refusal)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_waiting.find(refusal.id);
    if (found == m_waiting.end() || found->second.grant)
        return;
    found->second.refusal = refusal;
    m_changed.notify_all();
}

void PlaceClient::onMembersChanged()
{
    std::vector<std::pair<SlotRequest, TimePoint>> asks;
    std::vector<Running> running;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [id, waiting] : m_waiting)
            asks.emplace_back(waiting.ask, waiting.deadline);
        for (const auto& [id, item] : m_running)
            running.push_back(item);
    }
    for (const auto& item : running) {
        SlotInUse held { item.ask, item.grant.upstream, item.grant.version, item.grant.rollout };
        held.request.deadlineMs = std::max<int64_t>(0, timeUntil(item.deadline).count());
        m_options.send(homeOf(item.ask.pool), held);
    }
    for (const auto& [ask, deadline] : asks)
        send(ask, deadline);
}

std::size_t PlaceClient::waiting() const
{
    std::lock_guard lock(m_mutex);
    return m_waiting.size();
}

} // namespace bronzeswitch
