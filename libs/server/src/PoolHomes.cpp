#include "PoolHomes.h"

#include <base/Hash.h>

namespace bronzeswitch {

namespace {

constexpr Duration tickInterval { 100 };
constexpr Duration settlePeriod { 1000 }; // A new home grants nothing before running dispatches could be reported to it.
constexpr Duration notHomeRetryDelay { 50 };

} // namespace

std::string homeOfPool(const std::string& pool, const std::vector<std::string>& members)
{
    return selectByRendezvousHash("pool/" + pool, members);
}

void PoolHomes::Outbox::add(SlotDecisions items) { decisions.insert(decisions.end(), items.begin(), items.end()); }

PoolHomes::PoolHomes(Options options)
    : m_options(std::move(options))
    , m_view(std::make_shared<ControlView>())
    , m_tickSubscription(m_options.timers->subscribe(tickInterval, [this] { tick(); }))
{
}

void PoolHomes::update(const ControlViewPointer& view)
{
    Outbox outbox;
    {
        std::lock_guard lock(m_mutex);
        m_view = view;
        const auto now = m_options.timers->now();
        for (auto& [name, pool] : m_pools)
            outbox.add(pool.configure(makePoolPlan(*m_view, name), now));
        applyMembers(outbox);
    }
    flush(outbox);
}

void PoolHomes::onMembersChanged()
{
    Outbox outbox;
    {
        std::lock_guard lock(m_mutex);
        m_forcedPools.clear();
        applyMembers(outbox);
    }
    flush(outbox);
}

// Opens and closes pools according to the current members, and frees the slots of lost nodes.
void PoolHomes::applyMembers(Outbox& outbox)
{
    const auto members = m_options.members();
    const auto pools = m_view->configuration->pools();
    for (const auto& name : pools) {
        if (homeOfPool(name, members) == m_options.node)
            openPool(name, outbox);
    }
    for (auto pool = m_pools.begin(); pool != m_pools.end();) {
        const bool isKept = homeOfPool(pool->first, members) == m_options.node || m_forcedPools.contains(pool->first);
        if (isKept) {
            ++pool;
            continue;
        }
        outbox.add(pool->second.refuseAll(RefusalReason::NotHome));
        m_options.events.write(events::homeLeft, "pool=" + pool->first);
        pool = m_pools.erase(pool);
    }
    std::set<std::string> live(members.begin(), members.end());
    for (const auto& node : m_liveNodes) {
        if (live.contains(node))
            continue;
        if (m_options.isLive(node)) {
            live.insert(node); // No longer a member, but its requests still run.
            continue;
        }
        for (auto& [name, pool] : m_pools)
            outbox.add(pool.removeNode(node, m_options.timers->now()));
    }
    m_liveNodes = std::move(live);
}

PoolScheduler& PoolHomes::openPool(const std::string& name, Outbox& outbox)
{
    if (auto* pool = findPool(name))
        return *pool;
    const auto now = m_options.timers->now();
    auto& pool = m_pools.try_emplace(name, now + settlePeriod).first->second;
    for (const auto& rollout : m_stoppedRollouts)
        pool.stopRollout(rollout);
    outbox.add(pool.configure(makePoolPlan(*m_view, name), now));
    m_options.events.write(events::homeTaken, "pool=" + name);
    return pool;
}

PoolScheduler* PoolHomes::findPool(const std::string& pool)
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? nullptr : &found->second;
}

void PoolHomes::onRequest(const std::string& from, const SlotRequest& request)
{
    Outbox outbox;
    {
        std::lock_guard lock(m_mutex);
        if (!findPool(request.pool))
            applyMembers(outbox);
        if (!findPool(request.pool) && request.isForced) {
            m_forcedPools.insert(request.pool);
            openPool(request.pool, outbox);
        }
        if (auto* pool = findPool(request.pool))
            outbox.add(pool->requestSlot(from, request, m_options.timers->now()));
        else
            outbox.decisions.push_back({ from, SlotRefusal { request.id, RefusalReason::NotHome, notHomeRetryDelay.count() } });
        m_liveNodes.insert(from);
    }
    flush(outbox);
}

void PoolHomes::onCancel(const std::string& from, const SlotCancel& cancel)
{
    std::lock_guard lock(m_mutex);
    for (auto& [name, pool] : m_pools)
        pool.cancel(from, cancel.id);
}

void PoolHomes::onRelease(const std::string& from, const SlotRelease& slotRelease)
{
    Outbox outbox;
    std::optional<GrantedSlot> ended;
    {
        std::lock_guard lock(m_mutex);
        for (auto& [name, pool] : m_pools)
            outbox.add(pool.releaseSlot(from, slotRelease, m_options.timers->now(), &ended));
    }
    if (ended)
        m_options.onDispatchEnded(*ended, slotRelease);
    flush(outbox);
}

void PoolHomes::onSlotInUse(const std::string& from, const SlotInUse& slotInUse)
{
    Outbox outbox;
    {
        std::lock_guard lock(m_mutex);
        if (!findPool(slotInUse.request.pool))
            applyMembers(outbox);
        if (auto* pool = findPool(slotInUse.request.pool))
            pool->restoreSlot(from, slotInUse, m_options.timers->now());
        m_liveNodes.insert(from);
    }
    flush(outbox);
}

void PoolHomes::onLoadReport(const std::string& name, const std::string& upstream, const LoadReport& report)
{
    std::lock_guard lock(m_mutex);
    if (auto* pool = findPool(name))
        pool->onLoadReport(upstream, report, m_options.timers->now());
}

void PoolHomes::onCacheEvent(const std::string& name, const std::string& upstream, int64_t sequence, bool isStored, uint64_t prefix)
{
    std::lock_guard lock(m_mutex);
    if (auto* pool = findPool(name))
        pool->onCacheEvent(upstream, sequence, isStored, prefix);
}

int64_t PoolHomes::nextCacheEvent(const std::string& name, const std::string& upstream) const
{
    std::lock_guard lock(m_mutex);
    const auto found = m_pools.find(name);
    return found == m_pools.end() ? 1 : found->second.nextCacheEvent(upstream);
}

void PoolHomes::setPaused(const std::string& name, const std::string& upstream, bool isPaused)
{
    std::lock_guard lock(m_mutex);
    if (auto* pool = findPool(name))
        pool->setPaused(upstream, isPaused);
}

std::vector<Upstream> PoolHomes::enginesOnWrongVersion(const std::string& name) const
{
    std::lock_guard lock(m_mutex);
    const auto found = m_pools.find(name);
    return found == m_pools.end() ? std::vector<Upstream>() : found->second.enginesOnWrongVersion();
}

void PoolHomes::stopRollout(const std::string& rollout)
{
    std::lock_guard lock(m_mutex);
    m_stoppedRollouts.insert(rollout);
    for (auto& [name, pool] : m_pools)
        pool.stopRollout(rollout);
}

std::vector<std::string> PoolHomes::pools() const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    for (const auto& [name, pool] : m_pools)
        names.push_back(name);
    return names;
}

bool PoolHomes::isHomeOf(const std::string& pool) const
{
    std::lock_guard lock(m_mutex);
    return m_pools.contains(pool);
}

std::vector<UpstreamSummary> PoolHomes::summaries() const
{
    std::lock_guard lock(m_mutex);
    std::vector<UpstreamSummary> result;
    for (const auto& [name, pool] : m_pools) {
        const auto items = pool.summaries(m_options.timers->now());
        result.insert(result.end(), items.begin(), items.end());
    }
    return result;
}

int PoolHomes::inFlight(const std::string& name, const std::string& upstream) const
{
    std::lock_guard lock(m_mutex);
    const auto found = m_pools.find(name);
    return found == m_pools.end() ? 0 : found->second.inFlight(upstream);
}

std::size_t PoolHomes::waiting() const
{
    std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& [name, pool] : m_pools)
        count += pool.waiting();
    return count;
}

void PoolHomes::tick()
{
    Outbox outbox;
    {
        std::lock_guard lock(m_mutex);
        for (auto& [name, pool] : m_pools)
            outbox.add(pool.tick(m_options.timers->now()));
    }
    flush(outbox);
}

void PoolHomes::flush(const Outbox& outbox)
{
    for (const auto& decision : outbox.decisions)
        std::visit([&](const auto& message) { m_options.send(decision.node, message); }, decision.response);
}

} // namespace bronzeswitch
