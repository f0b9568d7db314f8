#include <algorithm>
#include <sched/FailureCounts.h>

namespace bronzeswitch {

namespace {

constexpr Duration window { 2000 };
constexpr int minRequests = 8; // Fewer show nothing: some requests fail at every upstream.
constexpr double failureThreshold = 0.4; // Share of the requests.
constexpr Duration suspicionTime { 4000 };

} // namespace

void FailureCounts::onResult(const std::string& upstream, bool isFailed, TimePoint now)
{
    dropExpired(now);
    m_results.push_back({ now, upstream, isFailed });
}

void FailureCounts::dropExpired(TimePoint now)
{
    while (!m_results.empty() && m_results.front().time < now - window)
        m_results.pop_front();
}

std::map<std::string, UpstreamResults> FailureCounts::own(TimePoint now)
{
    dropExpired(now);
    std::map<std::string, UpstreamResults> counts;
    for (const auto& result : m_results)
        ++(result.isFailed ? counts[result.upstream].failed : counts[result.upstream].succeeded);
    return counts;
}

void FailureCounts::setPeer(const std::string& peer, std::map<std::string, UpstreamResults> counts) { m_peers[peer] = std::move(counts); }

std::set<std::string> FailureCounts::suspects(TimePoint now)
{
    auto sums = own(now);
    for (const auto& [peer, counts] : m_peers) {
        for (const auto& [upstream, results] : counts) {
            sums[upstream].succeeded += results.succeeded;
            sums[upstream].failed += results.failed;
        }
    }
    for (const auto& [upstream, results] : sums) {
        const int requests = results.succeeded + results.failed;
        const bool isSuspect = requests >= minRequests && results.failed >= failureThreshold * requests;
        const bool isNew = m_suspectedUntil.find(upstream) == m_suspectedUntil.end();
        if (isSuspect && isNew)
            m_suspectedUntil[upstream] = now + suspicionTime;
    }
    std::erase_if(m_suspectedUntil, [&](const auto& entry) { return entry.second <= now; });
    std::set<std::string> result;
    for (const auto& [upstream, until] : m_suspectedUntil)
        result.insert(upstream);
    return result;
}

} // namespace bronzeswitch
