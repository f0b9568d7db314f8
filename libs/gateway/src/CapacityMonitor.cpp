#include <gateway/CapacityMonitor.h>

#include <cmath>

namespace bronzeswitch {

namespace {

constexpr Duration updateInterval { 1000 };
constexpr std::size_t maxUpstreamsPerEvent = 16;
constexpr double percentOfUsual = 100;

} // namespace

void CapacityMonitor::update(const std::map<std::string, PoolScheduler>& pools, TimePoint now)
{
    if (now < m_nextUpdate)
        return;
    m_nextUpdate = now + updateInterval;
    m_learningPools = 0;
    m_limitedUpstreams = 0;
    m_withheldSlots = 0;
    std::erase_if(m_limits, [&](const auto& item) { return !pools.contains(item.first); });
    for (const auto& [name, pool] : pools) {
        m_learningPools += pool.learnsCapacity() ? 1 : 0;
        auto limits = pool.learnedLimits(now);
        m_limitedUpstreams += limits.size();
        for (const auto& [upstream, learned] : limits)
            m_withheldSlots += learned.slots - learned.limit;
        auto& last = m_limits[name];
        const bool isChanged = limits.size() != last.size() || std::any_of(limits.begin(), limits.end(), [&](const auto& item) {
            const auto found = last.find(item.first);
            return found == last.end() || found->second.limit != item.second.limit;
        });
        if (isChanged)
            writeChange(name, limits);
        last = std::move(limits);
    }
}

void CapacityMonitor::writeChange(const std::string& pool, const Limits& limits)
{
    auto upstreams = nlohmann::json::object();
    for (const auto& [upstream, learned] : limits) {
        if (upstreams.size() == maxUpstreamsPerEvent)
            break;
        upstreams[upstream]
            = { { "limit", learned.limit }, { "slots", learned.slots }, { "pacePercent", std::lround(learned.pace * percentOfUsual) },
                  { "serviceUs", std::lround(learned.serviceMs * 1000) }, { "ageMs", learned.age.count() } };
    }
    m_log.write(events::capacityLearned, { { "pool", pool }, { "limited", limits.size() }, { "upstreams", std::move(upstreams) } });
}

} // namespace bronzeswitch
