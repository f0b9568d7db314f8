#include <array>
#include <sched/WaitingRoom.h>

namespace bronzeswitch {

namespace {

bool isLate(const Waiter& waiter, TimePoint now)
{
    return waiter.ask.targetMs > 0 && now > waiter.arrived + Duration(waiter.ask.targetMs);
}

bool isHalfOver(const Waiter& waiter, TimePoint now) { return now - waiter.arrived > waiter.deadline - now; }

} // namespace

WaitingRoom::WaitingRoom(const std::function<double(const std::string&)>& weightOf)
    : m_overdue(weightOf)
    , m_inTime(weightOf)
    , m_late(weightOf)
{
}

void WaitingRoom::push(Waiter waiter) { m_inTime.push(std::move(waiter)); }

void WaitingRoom::sort(TimePoint now)
{
    for (auto& waiter : m_inTime.removeIf([&](const Waiter& item) { return isLate(item, now); }))
        m_late.push(std::move(waiter));
    for (auto& waiter : m_late.removeIf([&](const Waiter& item) { return isHalfOver(item, now); }))
        m_overdue.push(std::move(waiter));
}

void WaitingRoom::drain(const std::function<WaitingQueue::Offer(const Waiter&)>& visit)
{
    for (auto* queue : { &m_overdue, &m_inTime, &m_late })
        queue->drain(visit);
}

std::optional<Waiter> WaitingRoom::popWorst()
{
    WaitingQueue* chosen = nullptr;
    int lowest = 0;
    for (auto* queue : { &m_late, &m_inTime, &m_overdue }) {
        const auto worst = queue->worst();
        if (!worst || (chosen && worst->ask.rank <= lowest))
            continue;
        chosen = queue;
        lowest = worst->ask.rank;
    }
    return chosen ? chosen->popWorst() : std::nullopt;
}

std::vector<Waiter> WaitingRoom::removeIf(const std::function<bool(const Waiter&)>& matches)
{
    std::vector<Waiter> removed;
    for (auto* queue : { &m_overdue, &m_inTime, &m_late }) {
        for (auto& waiter : queue->removeIf(matches))
            removed.push_back(std::move(waiter));
    }
    return removed;
}

bool WaitingRoom::contains(const std::string& node, uint64_t askId) const
{
    return m_overdue.contains(node, askId) || m_inTime.contains(node, askId) || m_late.contains(node, askId);
}

int64_t WaitingRoom::tokensUpTo(int rank) const { return m_overdue.tokensUpTo(rank) + m_inTime.tokensUpTo(rank) + m_late.tokensUpTo(rank); }

std::size_t WaitingRoom::size() const { return m_overdue.size() + m_inTime.size() + m_late.size(); }

} // namespace bronzeswitch
