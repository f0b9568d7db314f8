#include <algorithm>
#include <sched/PoolScheduler.h>

// The limits on the requests a second of each upstream.

namespace bronzeswitch {

void PoolScheduler::setRequestLimits(const std::map<std::string, double>& perSecond, TimePoint now)
{
    for (auto& [name, state] : m_upstreams) {
        const auto found = perSecond.find(name);
        state.requestLimit.set(found == perSecond.end() ? std::nullopt : std::optional(found->second), now);
    }
}

void PoolScheduler::setColdStartRates(const ColdStartRates& rates, bool isTakeover, TimePoint now)
{
    for (auto& [name, state] : m_upstreams) {
        if (!state.coldStartLimit)
            continue;
        state.coldStartLimit->setRates(rates, now);
        if (isTakeover)
            state.coldStartLimit->restart(now);
    }
}

void PoolScheduler::setColdUntil(const std::string& upstream, TimePoint until, TimePoint now)
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end() && found->second.coldStartLimit)
        found->second.coldStartLimit->setColdUntil(until, now);
}

bool PoolScheduler::hasLimits() const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
        [](const auto& item) { return item.second.coldStartLimit || item.second.requestLimit.isLimited(); });
}

std::vector<std::string> PoolScheduler::limitedUpstreams(TimePoint now) const
{
    std::vector<std::string> result;
    for (const auto& [name, state] : m_upstreams) {
        if (state.requestLimit.isLimited() || (state.coldStartLimit && state.coldStartLimit->isCold(now)))
            result.push_back(name);
    }
    return result;
}

} // namespace bronzeswitch
