#include <algorithm>
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
    auto& queue = waiter.hasReturned ? rank.returned : rank.inTime;
    queue.push(std::move(waiter));
}

void PoolQueue::update(TimePoint now)
{
    const double elapsed = toSeconds(now - m_updatedAt);
    const double decay = std::exp(-elapsed / workDecaySeconds);
    const bool isShareDecaying = m_fairShareWindow > m_fairShareWindow.zero();
    const double shareDecay = isShareDecaying ? std::exp(-elapsed / toSeconds(m_fairShareWindow)) : 1;
    m_updatedAt = now;
    for (auto& [number, rank] : m_ranks) {
        rank.work *= decay;
        for (auto& waiter : rank.inTime.removeIf([&](const Waiter& item) { return isLate(item, now); })) {
            waiter.isLate = true;
            rank.late.push(std::move(waiter));
        }
        for (auto* queue : { &rank.returned, &rank.inTime, &rank.late }) {
            if (isShareDecaying)
                queue->decayServedWork(shareDecay);
        }
    }
}

std::vector<int> PoolQueue::starvedRanks() const
{
    double total = 0;
    for (const auto& [number, rank] : m_ranks)
        total += rank.work;
    std::vector<int> starved;
    for (const auto& [number, rank] : m_ranks) {
        if (rank.returned.size() + rank.inTime.size() && rank.work < m_lowerRankShare * total)
            starved.push_back(number);
    }
    return starved;
}

void PoolQueue::takeFrom(Rank& rank, WaitingQueue& queue, const std::function<WaitingQueue::VisitResult(const Waiter&)>& visit)
{
    queue.takeInOrder([&](const Waiter& waiter) {
        const auto decision = visit(waiter);
        if (decision != WaitingQueue::VisitResult::Take)
            return decision;
        rank.work += workOf(waiter.request);
        for (auto* other : { &rank.returned, &rank.inTime, &rank.late }) {
            if (other != &queue && m_fairShareWindow > m_fairShareWindow.zero())
                other->charge(waiter.request);
        }
        return decision;
    });
}

void PoolQueue::takeInOrder(const std::function<WaitingQueue::VisitResult(const Waiter&)>& visit)
{
    for (const int number : starvedRanks()) {
        auto& rank = m_ranks.at(number);
        takeFrom(rank, rank.returned, visit);
        takeFrom(rank, rank.inTime, visit);
    }
    for (auto& [number, rank] : m_ranks) {
        takeFrom(rank, rank.returned, visit);
        takeFrom(rank, rank.inTime, visit);
        takeFrom(rank, rank.late, visit);
    }
}

std::optional<Waiter> PoolQueue::evict()
{
    Rank* lowest = nullptr;
    for (auto& [number, rank] : m_ranks) {
        if (rank.size())
            lowest = &rank;
    }
    if (!lowest)
        return std::nullopt;
    if (lowest->late.size())
        return lowest->late.evict();
    return lowest->inTime.size() ? lowest->inTime.evict() : lowest->returned.evict();
}

std::vector<Waiter> PoolQueue::removeIf(const std::function<bool(const Waiter&)>& matches)
{
    auto removed = removeLateIf(matches);
    for (auto& [number, rank] : m_ranks) {
        for (auto* queue : { &rank.returned, &rank.inTime }) {
            for (auto& waiter : queue->removeIf(matches))
                removed.push_back(std::move(waiter));
        }
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
        for (const auto* queue : { &rank.returned, &rank.inTime, &rank.late }) {
            if (queue->contains(node, slotRequestId))
                return true;
        }
    }
    return false;
}

int64_t PoolQueue::tokensUpTo(int highest) const
{
    int64_t tokens = 0;
    for (const auto& [number, rank] : m_ranks)
        tokens += rank.returned.tokensUpTo(highest) + rank.inTime.tokensUpTo(highest) + rank.late.tokensUpTo(highest);
    return tokens;
}

std::size_t PoolQueue::size() const
{
    std::size_t count = 0;
    for (const auto& [number, rank] : m_ranks)
        count += rank.size();
    return count;
}

double PoolQueue::requestsAhead(const Waiter& waiter) const
{
    const auto& request = waiter.request;
    double ahead = 0;
    for (const auto& [number, rank] : m_ranks) {
        if (number > request.rank)
            break;
        if (number < request.rank) {
            ahead += static_cast<double>(rank.size());
            continue;
        }
        if (waiter.hasReturned)
            return ahead + rank.returned.requestsAhead(number, request.organisation);
        ahead += static_cast<double>(rank.returned.size());
        if (!waiter.isLate)
            return ahead + rank.inTime.requestsAhead(number, request.organisation);
        ahead += static_cast<double>(rank.inTime.size()) + rank.late.requestsAhead(number, request.organisation);
    }
    return ahead;
}

std::size_t PoolQueue::sizeBeforeLate(int highest) const
{
    std::size_t count = 0;
    for (auto rank = m_ranks.begin(); rank != m_ranks.end() && rank->first <= highest; ++rank)
        count += rank->second.size() - (rank->first == highest ? rank->second.late.size() : 0);
    return count;
}

bool PoolQueue::hasLate() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(), [](const auto& item) { return item.second.late.size() > 0; });
}

} // namespace bronzeswitch
