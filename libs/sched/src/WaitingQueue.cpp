#include <algorithm>
#include <limits>
#include <sched/WaitingQueue.h>

namespace bronzeswitch {

double workOf(const SlotRequest& request)
{
    // Decoding takes most of the time that a slot is in use; a prompt token costs a small part of an output token.
    constexpr double promptTokenWork = 0.02;
    return 1 + request.outputTokens + promptTokenWork * request.promptTokens;
}

void WaitingQueue::push(Waiter waiter)
{
    const double initialWork = initialServedWork(waiter.request.rank, waiter.request.organisation);
    const auto [entry, isNew] = m_ranks[waiter.request.rank].try_emplace(waiter.request.organisation);
    auto& queue = entry->second;
    if (isNew) {
        queue.servedWork = initialWork;
        queue.weight = m_weightOf(waiter.request.organisation);
    }
    waiter.sequence = ++m_lastSequence;
    ++queue.size;
    queue.waitingWork += workOf(waiter.request);
    ++m_size;
    queue.byRoute[waiter.request.route].push_back(std::move(waiter));
}

// An organisation that was idle starts level with the least served active one.
double WaitingQueue::initialServedWork(int rank, const std::string& organisation) const
{
    const auto known = m_servedWork.find({ rank, organisation });
    const double served = known == m_servedWork.end() ? 0 : known->second;
    const auto organisations = m_ranks.find(rank);
    if (organisations == m_ranks.end() || organisations->second.empty())
        return served;
    double leastServed = std::numeric_limits<double>::max();
    for (const auto& [name, queue] : organisations->second)
        leastServed = std::min(leastServed, queue.servedWork);
    return std::max(served, leastServed);
}

// The request's turn comes when its organisation has been granted the work before it. By then each other organisation has been
// granted what brings it level, as far as it has requests.
double WaitingQueue::requestsAhead(int rank, const std::string& organisation) const
{
    double ahead = 0;
    for (const auto& [number, organisations] : m_ranks) {
        if (number > rank)
            break;
        const auto own = number == rank ? organisations.find(organisation) : organisations.end();
        const bool isWaiting = own != organisations.end();
        const double level
            = isWaiting ? own->second.servedWork + own->second.waitingWork / own->second.weight : initialServedWork(rank, organisation);
        for (const auto& [name, queue] : organisations) {
            const auto size = static_cast<double>(queue.size);
            if (number < rank || name == organisation) {
                ahead += size;
                continue;
            }
            const double work = (level - queue.servedWork) * queue.weight;
            if (queue.waitingWork > 0 && work > 0)
                ahead += size * std::min(1.0, work / queue.waitingWork);
        }
    }
    return ahead;
}

void WaitingQueue::charge(const SlotRequest& request)
{
    const double work = workOf(request) / m_weightOf(request.organisation);
    const auto organisations = m_ranks.find(request.rank);
    if (organisations != m_ranks.end()) {
        if (const auto queue = organisations->second.find(request.organisation); queue != organisations->second.end()) {
            queue->second.servedWork += work;
            return;
        }
    }
    m_servedWork[{ request.rank, request.organisation }] += work;
}

void WaitingQueue::decayServedWork(double factor)
{
    for (auto& [key, work] : m_servedWork)
        work *= factor;
    for (auto& [rank, organisations] : m_ranks) {
        for (auto& [name, queue] : organisations)
            queue.servedWork *= factor;
    }
}

std::vector<std::string> WaitingQueue::organisationsByServedWork(const OrganisationQueues& organisations) const
{
    std::vector<std::string> names;
    for (const auto& [name, queue] : organisations)
        names.push_back(name);
    std::stable_sort(names.begin(), names.end(),
        [&](const std::string& a, const std::string& b) { return organisations.at(a).servedWork < organisations.at(b).servedWork; });
    return names;
}

void WaitingQueue::takeInOrder(const std::function<VisitResult(const Waiter&)>& visit)
{
    for (auto rank = m_ranks.begin(); rank != m_ranks.end();) {
        const auto rankNumber = rank->first;
        while (takeFromRank(rank->second, visit)) { }
        for (auto queue = rank->second.begin(); queue != rank->second.end();) {
            m_servedWork[{ rankNumber, queue->first }] = queue->second.servedWork;
            queue = queue->second.size ? std::next(queue) : rank->second.erase(queue);
        }
        rank = rank->second.empty() ? m_ranks.erase(rank) : std::next(rank);
    }
}

// Takes at most one request, from the least served organisation of which the visitor takes one.
bool WaitingQueue::takeFromRank(OrganisationQueues& organisations, const std::function<VisitResult(const Waiter&)>& visit)
{
    for (const auto& name : organisationsByServedWork(organisations)) {
        auto& queue = organisations.at(name);
        if (queue.size && takeFromOrganisation(queue, m_weightOf(name), visit))
            return true;
    }
    return false;
}

bool WaitingQueue::takeFromOrganisation(OrganisationQueue& queue, double weight, const std::function<VisitResult(const Waiter&)>& visit)
{
    std::vector<std::string> routes;
    for (const auto& [route, requests] : queue.byRoute) {
        if (!requests.empty())
            routes.push_back(route);
    }
    std::sort(routes.begin(), routes.end(),
        [&](const std::string& a, const std::string& b) { return queue.byRoute[a].front().sequence < queue.byRoute[b].front().sequence; });
    for (const auto& route : routes) {
        auto& requests = queue.byRoute[route];
        const auto result = visit(requests.front());
        if (result == VisitResult::Skip)
            continue;
        const double work = workOf(requests.front().request);
        queue.waitingWork -= work;
        if (result == VisitResult::Take)
            queue.servedWork += work / weight;
        requests.pop_front();
        if (requests.empty())
            queue.byRoute.erase(route);
        --queue.size;
        --m_size;
        return true;
    }
    return false;
}

std::optional<WaitingQueue::Position> WaitingQueue::evictionPosition() const
{
    if (!m_size)
        return std::nullopt;
    auto rank = m_ranks.rbegin();
    while (rank->second.empty())
        ++rank;
    const OrganisationQueue* longest = nullptr;
    std::string organisation;
    double longestWaiting = -1;
    for (const auto& [name, queue] : rank->second) {
        const double waiting = static_cast<double>(queue.size) / m_weightOf(name);
        if (queue.size && waiting > longestWaiting) {
            longestWaiting = waiting;
            longest = &queue;
            organisation = name;
        }
    }
    if (!longest)
        return std::nullopt;
    const auto latest = std::max_element(longest->byRoute.begin(), longest->byRoute.end(),
        [](const auto& a, const auto& b) { return a.second.back().sequence < b.second.back().sequence; });
    return Position { rank->first, organisation, latest->first };
}

std::optional<Waiter> WaitingQueue::nextToEvict() const
{
    const auto position = evictionPosition();
    if (!position)
        return std::nullopt;
    return m_ranks.at(position->rank).at(position->organisation).byRoute.at(position->route).back();
}

std::optional<Waiter> WaitingQueue::evict()
{
    const auto position = evictionPosition();
    if (!position)
        return std::nullopt;
    auto& queue = m_ranks[position->rank][position->organisation];
    auto& requests = queue.byRoute[position->route];
    Waiter waiter = std::move(requests.back());
    requests.pop_back();
    queue.waitingWork -= workOf(waiter.request);
    --queue.size;
    --m_size;
    eraseIfEmpty(position->rank, position->organisation, position->route);
    return waiter;
}

void WaitingQueue::eraseIfEmpty(int rank, const std::string& organisation, const std::string& route)
{
    const auto organisations = m_ranks.find(rank);
    if (organisations == m_ranks.end())
        return;
    const auto entry = organisations->second.find(organisation);
    if (entry == organisations->second.end())
        return;
    auto& queue = entry->second;
    if (const auto requests = queue.byRoute.find(route); requests != queue.byRoute.end() && requests->second.empty())
        queue.byRoute.erase(requests);
    if (!queue.size) {
        m_servedWork[{ rank, organisation }] = queue.servedWork;
        organisations->second.erase(entry);
    }
    if (organisations->second.empty())
        m_ranks.erase(organisations);
}

std::vector<Waiter> WaitingQueue::removeIf(const std::function<bool(const Waiter&)>& matches)
{
    std::vector<Waiter> removed;
    std::vector<Position> changed;
    for (auto& [rank, organisations] : m_ranks) {
        for (auto& [organisation, queue] : organisations) {
            for (auto& [route, requests] : queue.byRoute) {
                const auto firstRemoved
                    = std::stable_partition(requests.begin(), requests.end(), [&](const Waiter& waiter) { return !matches(waiter); });
                const auto count = static_cast<std::size_t>(requests.end() - firstRemoved);
                if (!count)
                    continue;
                for (auto waiter = firstRemoved; waiter != requests.end(); ++waiter)
                    queue.waitingWork -= workOf(waiter->request);
                std::move(firstRemoved, requests.end(), std::back_inserter(removed));
                requests.erase(firstRemoved, requests.end());
                queue.size -= count;
                m_size -= count;
                changed.push_back({ rank, organisation, route });
            }
        }
    }
    for (const auto& position : changed)
        eraseIfEmpty(position.rank, position.organisation, position.route);
    return removed;
}

bool WaitingQueue::contains(const std::string& node, uint64_t slotRequestId) const
{
    for (const auto& [rank, organisations] : m_ranks) {
        for (const auto& [organisation, queue] : organisations) {
            for (const auto& [route, requests] : queue.byRoute) {
                const auto isSame = [&](const Waiter& waiter) { return waiter.request.id == slotRequestId && waiter.node == node; };
                if (std::any_of(requests.begin(), requests.end(), isSame))
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
        for (const auto& [organisation, queue] : entry->second) {
            for (const auto& [route, requests] : queue.byRoute) {
                for (const auto& waiter : requests)
                    tokens += 1 + waiter.request.outputTokens;
            }
        }
    }
    return tokens;
}

} // namespace bronzeswitch
