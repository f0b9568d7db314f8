#include <cmath>
#include <sched/PoolQueue.h>

namespace bronzeswitch {

namespace {

constexpr double workDecaySeconds = 1; // Time constant of the exponential decay.

bool isLate(const Waiter& waiter, TimePoint now)
{
    return waiter.request.firstTokenTargetMs > 0 && now >= waiter.arrivedAt + Duration(waiter.request.firstTokenTargetMs);
}

} // namespace

PoolQueue::PoolQueue(WeightOf weightOf)
    : m_weightOf(std::move(weightOf))
{
}

void PoolQueue::push(Waiter waiter)
{
    auto& rank = m_ranks.try_emplace(waiter.request.rank, m_weightOf).first->second;
    rank.inTime.push(std::move(waiter));
}

void PoolQueue::update(TimePoint now)
{
    const double decay = std::exp(-toSeconds(now - m_updatedAt) / workDecaySeconds);
    m_updatedAt = now;
    for (auto& [number, rank] : m_ranks) {
        rank.work *= decay;
        for (auto& waiter : rank.inTime.removeIf([&](const Waiter& item) { return isLate(item, now); }))
            rank.late.push(std::move(waiter));
    }
}

std::vector<int> PoolQueue::starvedRanks() const
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

void PoolQueue::takeFrom(Rank& rank, WaitingQueue& queue, const std::function<WaitingQueue::VisitResult(const Waiter&)>& visit)
{
    queue.takeInOrder([&](const Waiter& waiter) {
        const auto decision = visit(waiter);
        if (decision == WaitingQueue::VisitResult::Take)
            rank.work += workOf(waiter.request);
        return decision;
    });
}

void PoolQueue::takeInOrder(const std::function<WaitingQueue::VisitResult(const Waiter&)>& visit)
{
    for (const int number : starvedRanks()) {
        auto& rank = m_ranks.at(number);
        takeFrom(rank, rank.inTime, visit);
    }
    for (auto& [number, rank] : m_ranks) {
        takeFrom(rank, rank.inTime, visit);
        takeFrom(rank, rank.late, visit);
    }
}

std::optional<Waiter> PoolQueue::evict()
{
    Rank* lowest = nullptr;
    for (auto& [number, rank] : m_ranks) {
        if (rank.late.size() + rank.inTime.size())
            lowest = &rank;
    }
    if (!lowest)
        return std::nullopt;
    return lowest->late.size() ? lowest->late.evict() : lowest->inTime.evict();
}

std::vector<Waiter> PoolQueue::removeIf(const std::function<bool(const Waiter&)>& matches)
{
    auto removed = removeLateIf(matches);
    for (auto& [number, rank] : m_ranks) {
        for (auto& waiter : rank.inTime.removeIf(matches))
            removed.push_back(std::move(waiter));
    }
    return removed;
}

std::vector<Waiter> PoolQueue::removeLateIf(const std::function<bool(const Waiter&)>& matches)
{
    std::vector<Waiter> removed;
    for (auto& [number, rank] : m_ranks) {
        for (auto& waiter : rank.late.removeIf(matches))
            removed.push_back(std::move(waiter));
    }
    return removed;
}

bool PoolQueue::contains(const std::string& node, uint64_t slotRequestId) const
{
    for (const auto& [number, rank] : m_ranks) {
        if (rank.inTime.contains(node, slotRequestId) || rank.late.contains(node, slotRequestId))
            return true;
    }
    return false;
}

int64_t PoolQueue::tokensUpTo(int highest) const
{
    int64_t tokens = 0;
    for (const auto& [number, rank] : m_ranks)
        tokens += rank.inTime.tokensUpTo(highest) + rank.late.tokensUpTo(highest);
    return tokens;
}

std::size_t PoolQueue::size() const
{
    std::size_t count = 0;
    for (const auto& [number, rank] : m_ranks)
        count += rank.inTime.size() + rank.late.size();
    return count;
}

} // namespace bronzeswitch
