#include "SlotClient.h"

#include "PoolHomes.h"

#include <random>

namespace bronzeswitch {

namespace {

constexpr Duration resendInterval { 2000 }; // In case a message was lost.
constexpr Duration cancelPollInterval { 100 };
constexpr int refusalsUntilForced = 20; // NotHome refusals after which the receiver must decide; see SlotRequest::isForced.

// Jitter spreads the requests of many nodes after a home has changed.
Duration jitteredRetryDelay()
{
    constexpr int shortest = 30;
    constexpr int longest = 90;
    thread_local std::minstd_rand random(std::random_device {}());
    return Duration(std::uniform_int_distribution<int>(shortest, longest)(random));
}

Duration timeUntil(TimePoint deadline) { return std::chrono::duration_cast<Duration>(deadline - std::chrono::steady_clock::now()); }

} // namespace

SlotClient::SlotClient(Options options)
    : m_options(std::move(options))
{
}

std::string SlotClient::homeOf(const std::string& pool) const { return homeOfPool(pool, m_options.members()); }

bool SlotClient::send(const SlotRequest& request, TimePoint deadline)
{
    auto message = request;
    message.deadlineMs = std::max<int64_t>(0, timeUntil(deadline).count());
    return m_options.send(homeOf(request.pool), message);
}

tl::expected<SlotGrant, SlotRefusal> SlotClient::acquire(SlotRequest& request, TimePoint deadline, const std::function<bool()>& isCancelled)
{
    std::unique_lock lock(m_mutex);
    request.id = m_requestIds.next();
    auto& pending = m_pendingRequests[request.id];
    pending.request = request;
    pending.deadline = deadline;
    TimePoint nextSend {};
    int notHomeRefusals = 0;
    SlotRefusal refusal { request.id, RefusalReason::DeadlineTooShort, 0 };
    while (std::chrono::steady_clock::now() < deadline) {
        if (std::chrono::steady_clock::now() >= nextSend) {
            lock.unlock();
            const bool isSent = send(request, deadline);
            lock.lock();
            nextSend = std::chrono::steady_clock::now() + (isSent ? resendInterval : jitteredRetryDelay());
        }
        m_changed.wait_for(lock, std::min(cancelPollInterval, std::max(Duration(1), timeUntil(std::min(deadline, nextSend)))),
            [&] { return pending.grant || pending.refusal; });
        if (pending.grant) {
            const auto grant = *pending.grant;
            m_pendingRequests.erase(request.id);
            m_runningDispatches[request.id] = { request, grant, deadline };
            return grant;
        }
        if (pending.refusal && pending.refusal->reason != RefusalReason::NotHome) {
            refusal = *pending.refusal;
            m_pendingRequests.erase(request.id);
            return tl::unexpected(refusal);
        }
        if (pending.refusal) {
            pending.refusal.reset();
            request.isForced = ++notHomeRefusals >= refusalsUntilForced;
            nextSend = std::chrono::steady_clock::now() + jitteredRetryDelay();
        }
        lock.unlock();
        const bool isAbandoned = isCancelled();
        lock.lock();
        if (isAbandoned)
            break;
    }
    m_pendingRequests.erase(request.id);
    lock.unlock();
    m_options.send(homeOf(request.pool), SlotCancel { request.id });
    return tl::unexpected(refusal);
}

void SlotClient::release(const SlotRequest& request, const SlotRelease& slotRelease)
{
    {
        std::lock_guard lock(m_mutex);
        m_runningDispatches.erase(request.id);
    }
    m_options.send(homeOf(request.pool), slotRelease);
}

void SlotClient::onGrant(const std::string& from, const SlotGrant& grant)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_runningDispatches.contains(grant.id))
            return;
        const auto found = m_pendingRequests.find(grant.id);
        if (found != m_pendingRequests.end() && !found->second.grant) {
            found->second.grant = grant;
            m_changed.notify_all();
            return;
        }
        if (found != m_pendingRequests.end())
            return;
    }
    // The request no longer waits, so the slot is returned unused.
    m_options.send(from, SlotRelease { grant.id, DispatchOutcome::Cancelled, 0, 0, 0, 0 });
}

void SlotClient::onRefusal(const SlotRefusal& refusal)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_pendingRequests.find(refusal.id);
    if (found == m_pendingRequests.end() || found->second.grant)
        return;
    found->second.refusal = refusal;
    m_changed.notify_all();
}

void SlotClient::onMembersChanged()
{
    std::vector<std::pair<SlotRequest, TimePoint>> requests;
    std::vector<RunningDispatch> dispatches;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [id, pending] : m_pendingRequests)
            requests.emplace_back(pending.request, pending.deadline);
        for (const auto& [id, item] : m_runningDispatches)
            dispatches.push_back(item);
    }
    for (const auto& item : dispatches) {
        SlotInUse slotInUse { item.request, item.grant.upstream, item.grant.version, item.grant.rollout };
        slotInUse.request.deadlineMs = std::max<int64_t>(0, timeUntil(item.deadline).count());
        m_options.send(homeOf(item.request.pool), slotInUse);
    }
    for (const auto& [request, deadline] : requests)
        send(request, deadline);
}

std::size_t SlotClient::pendingCount() const
{
    std::lock_guard lock(m_mutex);
    return m_pendingRequests.size();
}

} // namespace bronzeswitch
