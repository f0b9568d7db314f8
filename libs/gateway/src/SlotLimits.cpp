#include <chrono>
#include <gateway/SlotAllocator.h>

// The parts of SlotAllocator that concern limits on the requests a second of each upstream.

namespace bronzeswitch {

void SlotAllocator::setRequestLimits(const std::map<std::string, double>& perSecond)
{
    m_requestLimits = perSecond;
    for (auto& [name, pool] : m_pools)
        pool.setRequestLimits(perSecond, monotonicNow());
}

void SlotAllocator::setColdStartRates(const std::string& pool, const ColdStartRates& rates, bool isTakeover)
{
    if (auto* found = findPool(pool))
        found->setColdStartRates(rates, isTakeover, monotonicNow());
}

void SlotAllocator::setColdUntil(const std::string& pool, const std::string& upstream, TimePoint until)
{
    if (auto* found = findPool(pool))
        found->setColdUntil(upstream, until, monotonicNow());
}

bool SlotAllocator::hasLimits(const std::string& pool) const
{
    const auto found = m_pools.find(pool);
    return found != m_pools.end() && found->second.hasLimits();
}

Duration SlotAllocator::requestWithoutHome(PendingRequest& pending, TimePoint now)
{
    pending.home = m_node;
    pending.sentAt = now;
    if (const auto* pool = findPool(pending.request.pool)) {
        for (auto& upstream : pool->limitedUpstreams(now))
            pending.request.excluded.push_back(std::move(upstream));
    }
    return requestLocally(pending, now);
}

// The home counts from the arrival of the request, which was sent to it no earlier than sentAt. A grant of a node that does not state the
// time counts as new.
int64_t SlotAllocator::waitedFromStart(const PendingRequest& pending, TimePoint start) const
{
    const auto waitedMs = pending.grant->waitedMs;
    if (waitedMs < 0)
        return std::chrono::floor<Duration>(monotonicNow() - start).count();
    const bool isOfHome = pending.grantor == pending.home;
    return waitedMs + (isOfHome ? std::chrono::floor<Duration>(pending.sentAt - start).count() : 0);
}

} // namespace bronzeswitch
