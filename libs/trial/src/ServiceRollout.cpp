#include <algorithm>
#include <trial/LatencyBuckets.h>
#include <trial/ServiceRollout.h>

namespace bronzeswitch {

namespace {

constexpr double usedExposure = 0.8; // Part of the bound; the rest covers counts that are on their way between nodes.
constexpr double trialExposure = 0.4; // Part of that for the trial, the rest for the move.
constexpr double shortestTrial = 0.4; // Part of the duration.
constexpr double longTrial = 0.8; // Part of the duration after which a version that all evidence speaks for counts as good.
constexpr int64_t enoughAnswers = 15; // Of the new version, for that.
constexpr double giveUpAt = 0.9; // Part of the duration after which a version that is not known to be good is taken back.
constexpr double mainRouteShare = 0.1; // A route with this part of the service's requests must be on time by itself before a move.
constexpr double completeAt = 0.95; // Part of the duration at which old runs are waited for no longer.

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
    sum.answered += other.answered;
    sum.failed += other.failed;
    add(sum.firstByte, other.firstByte);
    add(sum.betweenTokens, other.betweenTokens);
}

// Times that have been counted since, each as the middle of its bucket.
std::vector<double> newTimes(const Counts& now, const Counts& before)
{
    std::vector<double> times;
    for (std::size_t index = 0; index < now.size(); ++index) {
        const auto added = std::max<int64_t>(0, now[index] - countOf(before, index));
        times.insert(times.end(), static_cast<std::size_t>(added), LatencyBuckets::middleOf(index));
    }
    return times;
}

// The order of the samples does not matter to the judge, so times of one answer need not stay together.
std::vector<RolloutSample> newSamples(const VersionTally& now, const VersionTally& before, bool isCandidate)
{
    const auto first = newTimes(now.firstByte, before.firstByte);
    const auto between = newTimes(now.betweenTokens, before.betweenTokens);
    const auto answered = static_cast<std::size_t>(std::max<int64_t>(0, now.answered - before.answered));
    std::vector<RolloutSample> samples(std::max({ answered, first.size(), between.size() }));
    for (std::size_t index = 0; index < samples.size(); ++index) {
        samples[index].firstTokenMs = index < first.size() ? first[index] : 0;
        samples[index].betweenTokensMs = index < between.size() ? between[index] : 0;
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

bool isOver(RolloutPhase phase) { return phase == RolloutPhase::TakenBack || phase == RolloutPhase::Completed; }

ServiceRollout::ServiceRollout(RolloutOrder order, ExposureBounds bounds)
    : m_order(std::move(order))
    , m_bounds(bounds)
{
}

void ServiceRollout::observe(const std::vector<RouteTally>& totals)
{
    m_requests = 0;
    m_candidateRequests = 0;
    m_candidateAnswers = 0;
    for (const auto& total : totals) {
        auto& before = tallyOf(m_totals, total.route);
        judge(total, before);
        before = total;
        m_requests += total.stable.sent + total.candidate.sent;
        m_candidateRequests += total.candidate.sent;
        m_candidateAnswers += total.candidate.answered + total.candidate.failed;
    }
}

// A fault may show on one route only, so each is judged by itself and all together.
void ServiceRollout::judge(const RouteTally& now, const RouteTally& before)
{
    auto& route = m_routes[now.route];
    for (const bool isCandidate : { false, true }) {
        const auto& tally = isCandidate ? now.candidate : now.stable;
        for (const auto& sample : newSamples(tally, isCandidate ? before.candidate : before.stable, isCandidate)) {
            const auto signs = route.observe(sample);
            m_service.observe({ sample.isCandidate, sample.isFailed, 0, 0, 0, 0 });
            m_service.observe(signs);
        }
    }
    if (isOver(m_phase))
        return;
    if (route.verdict() == Verdict::Bad)
        takeBack(now.route + ": " + route.reason());
    else if (m_service.verdict() == Verdict::Bad)
        takeBack(m_service.reason());
}

void ServiceRollout::takeBack(std::string reason)
{
    m_phase = RolloutPhase::TakenBack;
    m_reason = std::move(reason);
}

double ServiceRollout::allowedExposure(double requests) const { return usedExposure * (m_bounds.share * requests + m_bounds.slack); }

int64_t ServiceRollout::headroom() const
{
    const double allowed = trialExposure * allowedExposure(static_cast<double>(m_requests));
    return std::max<int64_t>(0, static_cast<int64_t>(allowed) - m_candidateRequests);
}

bool ServiceRollout::isGood(double elapsedShare) const
{
    const bool isProved = elapsedShare >= shortestTrial && m_service.verdict() == Verdict::Good;
    const bool isLikely = elapsedShare >= longTrial && m_candidateAnswers >= enoughAnswers && m_service.seemsGood();
    const double least = mainRouteShare * static_cast<double>(m_requests);
    return (isProved || isLikely) && std::all_of(m_totals.begin(), m_totals.end(), [&](const auto& item) {
        const auto& [route, tally] = item;
        return static_cast<double>(tally.stable.sent) < least || m_routes.at(route).seemsOnTime();
    });
}

// All requests from now to the deadline would go to the new version.
bool ServiceRollout::fitsExposure(Duration elapsed) const
{
    if (elapsed >= m_order.duration)
        return true;
    const double seconds = std::max(toSeconds(elapsed), 1e-3);
    const double perSecond = static_cast<double>(m_requests) / seconds;
    const double left = perSecond * toSeconds(m_order.duration - elapsed);
    const double total = static_cast<double>(m_requests) + left;
    return static_cast<double>(m_candidateRequests) + left <= allowedExposure(total);
}

void ServiceRollout::advance(Duration elapsed, bool mayLead)
{
    if (m_phase != RolloutPhase::Trial)
        return;
    const double share = toSeconds(elapsed) / std::max(toSeconds(m_order.duration), 1e-3);
    if (isGood(share)) {
        if (mayLead && fitsExposure(elapsed))
            m_phase = RolloutPhase::Moving;
    } else if (share >= giveUpAt)
        takeBack(m_candidateAnswers ? "too little is known of the new version shortly before the deadline"
                                    : "nothing is known of the new version shortly before the deadline");
}

void ServiceRollout::adopt(RolloutPhase phase)
{
    if (phase <= m_phase)
        return;
    m_phase = phase;
    if (phase == RolloutPhase::TakenBack)
        m_reason = "found by another node";
}

bool ServiceRollout::isReadyToComplete(Duration elapsed, bool isOldIdle) const
{
    const bool isLate = toSeconds(elapsed) >= completeAt * toSeconds(m_order.duration);
    return m_phase == RolloutPhase::Moving && (isOldIdle || isLate);
}

} // namespace bronzeswitch
