#include <algorithm>
#include <trial/LatencyBuckets.h>
#include <trial/ServiceRollout.h>

namespace bronzeswitch {

namespace {

constexpr double usableExposure = 0.8; // Share of the bound; the rest covers counts that other nodes have not received yet.
constexpr double trialExposure = 0.4; // Share of the usable exposure for the trial; the rest is for the move.
constexpr double minTrialShare = 0.4; // Share of the duration before which no candidate counts as good.
constexpr double longTrialShare = 0.8; // Share of the duration after which a candidate that is only likely to be good counts as good.
constexpr int64_t minCandidateResponses = 15; // Responses of the candidate that this requires.
constexpr double rollBackAfter = 0.9; // Share of the duration after which a candidate that is not known to be good is rolled back.
constexpr double mainRouteShare = 0.1; // A route with this share of the requests must be on time by itself before the move.
constexpr double completeAfter = 0.95; // Share of the duration after which the end does not wait for the stable version's requests.

using Counts = std::vector<int64_t>;

int64_t countOf(const Counts& counts, std::size_t index) { return index < counts.size() ? counts[index] : 0; }

void add(Counts& sum, const Counts& other)
{
    sum.resize(std::max(sum.size(), other.size()));
    for (std::size_t index = 0; index < other.size(); ++index)
        sum[index] += other[index];
}

void add(VersionTally& sum, const VersionTally& other)
{
    sum.sent += other.sent;
    sum.withoutFailure += other.withoutFailure;
    sum.failed += other.failed;
    add(sum.firstByte, other.firstByte);
    add(sum.betweenTokens, other.betweenTokens);
}

// Latencies counted since `before`, each represented by the middle of its bucket.
std::vector<double> newLatencies(const Counts& now, const Counts& before)
{
    std::vector<double> latencies;
    for (std::size_t index = 0; index < now.size(); ++index) {
        const auto added = std::max<int64_t>(0, now[index] - countOf(before, index));
        latencies.insert(latencies.end(), static_cast<std::size_t>(added), LatencyBuckets::middleOf(index));
    }
    return latencies;
}

// The order of samples does not matter to the judge, so the latencies of one response need not be in the same sample.
std::vector<RolloutSample> newSamples(const VersionTally& now, const VersionTally& before, bool isCandidate)
{
    const auto firstTokens = newLatencies(now.firstByte, before.firstByte);
    const auto betweenTokens = newLatencies(now.betweenTokens, before.betweenTokens);
    const auto withoutFailure = static_cast<std::size_t>(std::max<int64_t>(0, now.withoutFailure - before.withoutFailure));
    std::vector<RolloutSample> samples(std::max({ withoutFailure, firstTokens.size(), betweenTokens.size() }));
    for (std::size_t index = 0; index < samples.size(); ++index) {
        samples[index].firstTokenMs = index < firstTokens.size() ? firstTokens[index] : 0;
        samples[index].betweenTokensMs = index < betweenTokens.size() ? betweenTokens[index] : 0;
    }
    RolloutSample failure;
    failure.isFailed = true;
    samples.insert(samples.end(), static_cast<std::size_t>(std::max<int64_t>(0, now.failed - before.failed)), failure);
    for (auto& sample : samples)
        sample.isCandidate = isCandidate;
    return samples;
}

} // namespace

RouteTally& tallyOf(RouteTallies& tallies, const std::string& route)
{
    return tallies.try_emplace(route, RouteTally { route, {}, {} }).first->second;
}

void addTally(RouteTallies& sums, const RouteTally& tally)
{
    auto& sum = tallyOf(sums, tally.route);
    add(sum.stable, tally.stable);
    add(sum.candidate, tally.candidate);
}

bool isLater(const RolloutOrder& order, const RolloutOrder& other)
{
    return std::pair(order.era, order.id) > std::pair(other.era, other.id);
}

bool isRewritten(const RolloutOrder& order, const RolloutOrder& earlier)
{
    return order.era > earlier.era && order.service == earlier.service && order.target == earlier.target;
}

bool isSameOrder(const RolloutOrder& order, const RolloutOrder& earlier)
{
    const bool hasSameIdentity = order.era == earlier.era && order.id == earlier.id;
    return hasSameIdentity || isRewritten(order, earlier);
}

bool isFinal(RolloutPhase phase) { return phase == RolloutPhase::TakenBack || phase == RolloutPhase::Completed; }

ServiceRollout::ServiceRollout(RolloutOrder order, ExposureBounds bounds)
    : m_order(std::move(order))
    , m_bounds(bounds)
{
}

void ServiceRollout::observe(const std::vector<RouteTally>& totals)
{
    m_requests = 0;
    m_candidateRequests = 0;
    m_candidateResponses = 0;
    for (const auto& total : totals) {
        auto& before = tallyOf(m_totals, total.route);
        judge(total, before);
        before = total;
        m_requests += total.stable.sent + total.candidate.sent;
        m_candidateRequests += total.candidate.sent;
        m_candidateResponses += total.candidate.withoutFailure + total.candidate.failed;
    }
}

// A fault may affect one route only, so each route is judged separately, and all of them together.
void ServiceRollout::judge(const RouteTally& now, const RouteTally& before)
{
    auto& route = m_routeJudges[now.route];
    for (const bool isCandidate : { false, true }) {
        const auto& tally = isCandidate ? now.candidate : now.stable;
        for (const auto& sample : newSamples(tally, isCandidate ? before.candidate : before.stable, isCandidate)) {
            const auto flags = route.observe(sample);
            m_serviceJudge.observe({ sample.isCandidate, sample.isFailed, 0, 0, 0, 0 });
            m_serviceJudge.observe(flags);
        }
    }
    if (isFinal(m_phase))
        return;
    if (route.verdict() == Verdict::Bad)
        rollBack(now.route + ": " + route.reason());
    else if (m_serviceJudge.verdict() == Verdict::Bad)
        rollBack(m_serviceJudge.reason());
}

void ServiceRollout::rollBack(std::string reason)
{
    m_phase = RolloutPhase::TakenBack;
    m_reason = std::move(reason);
}

double ServiceRollout::allowedExposure(double requests) const { return usableExposure * (m_bounds.share * requests + m_bounds.slack); }

int64_t ServiceRollout::headroom() const
{
    const double allowed = trialExposure * allowedExposure(static_cast<double>(m_requests));
    return std::max<int64_t>(0, static_cast<int64_t>(allowed) - m_candidateRequests);
}

bool ServiceRollout::isGood(double elapsedShare) const
{
    const bool isEstablished = elapsedShare >= minTrialShare && m_serviceJudge.verdict() == Verdict::Good;
    const bool isLikely = elapsedShare >= longTrialShare && m_candidateResponses >= minCandidateResponses && m_serviceJudge.isLikelyGood();
    const double minRequests = mainRouteShare * static_cast<double>(m_requests);
    return (isEstablished || isLikely) && std::all_of(m_totals.begin(), m_totals.end(), [&](const auto& item) {
        const auto& [route, tally] = item;
        return static_cast<double>(tally.stable.sent) < minRequests || m_routeJudges.at(route).isLikelyOnTime();
    });
}

// Tells whether the exposure stays within its bound if all requests from now to the deadline go to the candidate.
bool ServiceRollout::moveFitsExposure(Duration elapsed) const
{
    if (elapsed >= m_order.duration)
        return true;
    const double seconds = std::max(toSeconds(elapsed), 1e-3);
    const double requestsPerSecond = static_cast<double>(m_requests) / seconds;
    const double remaining = requestsPerSecond * toSeconds(m_order.duration - elapsed);
    const double total = static_cast<double>(m_requests) + remaining;
    return static_cast<double>(m_candidateRequests) + remaining <= allowedExposure(total);
}

void ServiceRollout::advance(Duration elapsed, bool mayStartMove)
{
    if (m_phase != RolloutPhase::Trial)
        return;
    const double share = toSeconds(elapsed) / std::max(toSeconds(m_order.duration), 1e-3);
    if (isGood(share)) {
        if (mayStartMove && moveFitsExposure(elapsed))
            m_phase = RolloutPhase::Moving;
    } else if (share >= rollBackAfter)
        rollBack(m_candidateResponses ? "too few results from the candidate version shortly before the deadline"
                                      : "no results from the candidate version shortly before the deadline");
}

void ServiceRollout::setIdentity(const RolloutOrder& order)
{
    m_order.id = order.id;
    m_order.era = order.era;
}

void ServiceRollout::adopt(RolloutPhase phase)
{
    if (phase <= m_phase)
        return;
    m_phase = phase;
    if (phase == RolloutPhase::TakenBack)
        m_reason = "found by another node";
}

bool ServiceRollout::isReadyToComplete(Duration elapsed, bool isStableVersionIdle) const
{
    const bool isAlmostDue = toSeconds(elapsed) >= completeAfter * toSeconds(m_order.duration);
    return m_phase == RolloutPhase::Moving && (isStableVersionIdle || isAlmostDue);
}

} // namespace bronzeswitch
