#include <sched/UndecidedLosses.h>

namespace bronzeswitch {

namespace {

constexpr Duration burstTime { 300 }; // Within this time, bytes may come before other connections of the same burst break off.
constexpr Duration decisionTime { 1500 };
constexpr std::size_t maxLosses = 256;

} // namespace

void UndecidedLosses::add(UndecidedLoss loss)
{
    if (m_losses.size() < maxLosses)
        m_losses.push_back(std::move(loss));
}

std::vector<UndecidedLoss> UndecidedLosses::takeUpstreamLosses(TimePoint lastReached, TimePoint now)
{
    std::vector<UndecidedLoss> upstreamLosses;
    while (!m_losses.empty()) {
        auto& oldest = m_losses.front();
        const bool isPathSound = lastReached > oldest.time + burstTime;
        if (!isPathSound && now - oldest.time < decisionTime)
            break;
        if (isPathSound)
            upstreamLosses.push_back(std::move(oldest));
        m_losses.pop_front();
    }
    return upstreamLosses;
}

} // namespace bronzeswitch
