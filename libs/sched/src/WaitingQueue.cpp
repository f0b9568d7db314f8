#include <algorithm>
#include <limits>
#include <sched/WaitingQueue.h>

namespace bronzeswitch {

double workOf(const SlotRequest& ask)
{
    // Decoding dominates the time of a place; a prompt token costs a small part of an output token.
    constexpr double promptTokenWork = 0.02;
    return 1 + ask.outputTokens + promptTokenWork * ask.promptTokens;
}

void WaitingQueue::push(Waiter waiter)
{
    auto& rank = m_ranks[waiter.ask.rank];
    double least = std::numeric_limits<double>::max();
    for (const auto& [name, line] : rank)
        least = std::min(least, line.served);
    const auto [entry, isNew] = rank.try_emplace(waiter.ask.organisation);
    auto& line = entry->second;
    if (isNew) {
        line.served = m_served[{ waiter.ask.rank, waiter.ask.organisation }];
        if (rank.size() > 1)
            line.served = std::max(line.served, least);
    }
    waiter.order = ++m_lastOrder;
    ++line.size;
    ++m_size;
    line.byRoute[waiter.ask.route].push_back(std::move(waiter));
}

std::vector<std::string> WaitingQueue::fairOrder(const Rank& rank) const
{
    std::vector<std::string> names;
    for (const auto& [name, line] : rank)
        names.push_back(name);
    std::stable_sort(
        names.begin(), names.end(), [&](const std::string& a, const std::string& b) { return rank.at(a).served < rank.at(b).served; });
    return names;
}

void WaitingQueue::drain(const std::function<Offer(const Waiter&)>& visit)
{
    for (auto rank = m_ranks.begin(); rank != m_ranks.end();) {
        const auto number = rank->first;
        while (drainRank(rank->second, visit)) { }
        for (auto line = rank->second.begin(); line != rank->second.end();) {
            m_served[{ number, line->first }] = line->second.served;
            line = line->second.size ? std::next(line) : rank->second.erase(line);
        }
        rank = rank->second.empty() ? m_ranks.erase(rank) : std::next(rank);
    }
}

// Takes at most one waiter, from the least served organisation that has a placeable head.
bool WaitingQueue::drainRank(Rank& rank, const std::function<Offer(const Waiter&)>& visit)
{
    for (const auto& name : fairOrder(rank)) {
        auto& line = rank.at(name);
        if (line.size && drainLine(line, m_weightOf(name), visit))
            return true;
    }
    return false;
}

bool WaitingQueue::drainLine(Line& line, double weight, const std::function<Offer(const Waiter&)>& visit)
{
    std::vector<std::string> routes;
    for (const auto& [route, waiters] : line.byRoute) {
        if (!waiters.empty())
            routes.push_back(route);
    }
    std::sort(routes.begin(), routes.end(),
        [&](const std::string& a, const std::string& b) { return line.byRoute[a].front().order < line.byRoute[b].front().order; });
    for (const auto& route : routes) {
        auto& waiters = line.byRoute[route];
        if (visit(waiters.front()) == Offer::Skip)
            continue;
        line.served += workOf(waiters.front().ask) / weight;
        waiters.pop_front();
        if (waiters.empty())
            line.byRoute.erase(route);
        --line.size;
        --m_size;
        return true;
    }
    return false;
}

std::optional<WaitingQueue::Position> WaitingQueue::worstPosition() const
{
    if (!m_size)
        return std::nullopt;
    auto rank = m_ranks.rbegin();
    while (rank->second.empty())
        ++rank;
    const Line* heaviest = nullptr;
    std::string organisation;
    double most = -1;
    for (const auto& [name, line] : rank->second) {
        const double waiting = static_cast<double>(line.size) / m_weightOf(name);
        if (line.size && waiting > most) {
            most = waiting;
            heaviest = &line;
            organisation = name;
        }
    }
    if (!heaviest)
        return std::nullopt;
    const auto youngest = std::max_element(heaviest->byRoute.begin(), heaviest->byRoute.end(),
        [](const auto& a, const auto& b) { return a.second.back().order < b.second.back().order; });
    return Position { rank->first, organisation, youngest->first };
}

std::optional<Waiter> WaitingQueue::worst() const
{
    const auto position = worstPosition();
    if (!position)
        return std::nullopt;
    return m_ranks.at(position->rank).at(position->organisation).byRoute.at(position->route).back();
}

std::optional<Waiter> WaitingQueue::popWorst()
{
    const auto position = worstPosition();
    if (!position)
        return std::nullopt;
    auto& line = m_ranks[position->rank][position->organisation];
    auto& waiters = line.byRoute[position->route];
    Waiter waiter = std::move(waiters.back());
    waiters.pop_back();
    --line.size;
    --m_size;
    eraseIfEmpty(position->rank, position->organisation, position->route);
    return waiter;
}

void WaitingQueue::eraseIfEmpty(int rank, const std::string& organisation, const std::string& route)
{
    const auto lines = m_ranks.find(rank);
    if (lines == m_ranks.end())
        return;
    const auto entry = lines->second.find(organisation);
    if (entry == lines->second.end())
        return;
    auto& line = entry->second;
    if (const auto waiters = line.byRoute.find(route); waiters != line.byRoute.end() && waiters->second.empty())
        line.byRoute.erase(waiters);
    if (!line.size) {
        m_served[{ rank, organisation }] = line.served;
        lines->second.erase(entry);
    }
    if (lines->second.empty())
        m_ranks.erase(lines);
}

std::vector<Waiter> WaitingQueue::removeIf(const std::function<bool(const Waiter&)>& matches)
{
    std::vector<Waiter> removed;
    std::vector<Position> touched;
    for (auto& [rank, lines] : m_ranks) {
        for (auto& [organisation, line] : lines) {
            for (auto& [route, waiters] : line.byRoute) {
                const auto kept
                    = std::stable_partition(waiters.begin(), waiters.end(), [&](const Waiter& waiter) { return !matches(waiter); });
                const auto count = static_cast<std::size_t>(waiters.end() - kept);
                if (!count)
                    continue;
                std::move(kept, waiters.end(), std::back_inserter(removed));
                waiters.erase(kept, waiters.end());
                line.size -= count;
                m_size -= count;
                touched.push_back({ rank, organisation, route });
            }
        }
    }
    for (const auto& position : touched)
        eraseIfEmpty(position.rank, position.organisation, position.route);
    return removed;
}

bool WaitingQueue::contains(const std::string& node, uint64_t askId) const
{
    for (const auto& [rank, lines] : m_ranks) {
        for (const auto& [organisation, line] : lines) {
            for (const auto& [route, waiters] : line.byRoute) {
                const auto isSame = [&](const Waiter& waiter) { return waiter.ask.id == askId && waiter.node == node; };
                if (std::any_of(waiters.begin(), waiters.end(), isSame))
                    return true;
            }
        }
    }
    return false;
}

int64_t WaitingQueue::tokensUpTo(int rank) const
{
    int64_t tokens = 0;
    for (auto entry = m_ranks.begin(); entry != m_ranks.end() && entry->first <= rank; ++entry) {
        for (const auto& [organisation, line] : entry->second) {
            for (const auto& [route, waiters] : line.byRoute) {
                for (const auto& waiter : waiters)
                    tokens += 1 + waiter.ask.outputTokens;
            }
        }
    }
    return tokens;
}

} // namespace bronzeswitch
