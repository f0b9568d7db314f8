#include <cmath>
#include <sched/WaitingRoom.h>

namespace bronzeswitch {

namespace {

constexpr double workMemorySeconds = 1;

bool isLate(const Waiter& waiter, TimePoint now)
{
    return waiter.ask.firstTokenTargetMs > 0 && now >= waiter.arrived + Duration(waiter.ask.firstTokenTargetMs);
}

} // namespace

WaitingRoom::WaitingRoom(WeightOf weightOf)
    : m_weightOf(std::move(weightOf))
{
}

void WaitingRoom::push(Waiter waiter)
{
    auto& rank = m_ranks.try_emplace(waiter.ask.rank, m_weightOf).first->second;
    rank.inTime.push(std::move(waiter));
}

void WaitingRoom::sort(TimePoint now)
{
    const double kept = std::exp(-toSeconds(now - m_sorted) / workMemorySeconds);
    m_sorted = now;
    for (auto& [number, rank] : m_ranks) {
        rank.work *= kept;
        for (auto& waiter : rank.inTime.removeIf([&](const Waiter& item) { return isLate(item, now); }))
            rank.late.push(std::move(waiter));
    }
}

std::vector<int> WaitingRoom::starvedRanks() const
{
    double total = 0;
    for (const auto& [number, rank] : m_ranks)
        total += rank.work;
    std::vector<int> starved;
    for (const auto& [number, rank] : m_ranks) {
        if (rank.inTime.size() && rank.work < m_lowerRankShare * total)
            starved.push_back(number);
    }
    return starved;
}

void WaitingRoom::drainQueue(Rank& rank, WaitingQueue& queue, const std::function<WaitingQueue::Offer(const Waiter&)>& visit)
{
    queue.drain([&](const Waiter& waiter) {
        const auto offer = visit(waiter);
        if (offer == WaitingQueue::Offer::Take)
            rank.work += workOf(waiter.ask);
        return offer;
    });
}

void WaitingRoom::drain(const std::function<WaitingQueue::Offer(const Waiter&)>& visit)
{
    for (const int number : starvedRanks()) {
        auto& rank = m_ranks.at(number);
        drainQueue(rank, rank.inTime, visit);
    }
    for (auto& [number, rank] : m_ranks) {
        drainQueue(rank, rank.inTime, visit);
        drainQueue(rank, rank.late, visit);
    }
}

std::optional<Waiter> WaitingRoom::popWorst()
{
    Rank* lowest = nullptr;
    for (auto& [number, rank] : m_ranks) {
        if (rank.late.size() + rank.inTime.size())
            lowest = &rank;
    }
    if (!lowest)
        return std::nullopt;
    return lowest->late.size() ? lowest->late.popWorst() : lowest->inTime.popWorst();
}

std::vector<Waiter> WaitingRoom::removeIf(const std::function<bool(const Waiter&)>& matches)
{
    auto removed = removeLateIf(matches);
    for (auto& [number, rank] : m_ranks) {
        for (auto& waiter : rank.inTime.removeIf(matches))
            removed.push_back(std::move(waiter));
    }
    return removed;
}

std::vector<Waiter> WaitingRoom::removeLateIf(const std::function<bool(const Waiter&)>& matches)
{
    std::vector<Waiter> removed;
    for (auto& [number, rank] : m_ranks) {
        for (auto& waiter : rank.late.removeIf(matches))
            removed.push_back(std::move(waiter));
    }
    return removed;
}

bool WaitingRoom::contains(const std::string& node, uint64_t askId) const
{
    for (const auto& [number, rank] : m_ranks) {
        if (rank.inTime.contains(node, askId) || rank.late.contains(node, askId))
            return true;
    }
    return false;
}

int64_t WaitingRoom::tokensUpTo(int highest) const
{
    int64_t tokens = 0;
    for (const auto& [number, rank] : m_ranks)
        tokens += rank.inTime.tokensUpTo(highest) + rank.late.tokensUpTo(highest);
    return tokens;
}

std::size_t WaitingRoom::size() const
{
    std::size_t count = 0;
    for (const auto& [number, rank] : m_ranks)
        count += rank.inTime.size() + rank.late.size();
    return count;
}

} // namespace bronzeswitch
