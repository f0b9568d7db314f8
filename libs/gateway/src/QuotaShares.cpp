#include <algorithm>
#include <base/Hash.h>
#include <gateway/QuotaShares.h>

namespace bronzeswitch {

namespace {

// Parts of what may pass on top of the quota; the rest is for messages that take longer than a lease foresees.
constexpr double usedTolerance = 0.8;
constexpr double debtTolerance = 0.15;
constexpr double flowingTolerance = 0.2; // Part of the used tolerance that passes evenly; the rest may pass at once.
constexpr double leastBurst = 0.125; // Of what the rate brings in a window; a quota without a burst lets so much pass at once.
constexpr double leastShare = 1e-6;
constexpr Duration shortestWait { 1 };

} // namespace

TokenBucketLimits TokenBucketLimits::of(const TokenQuota& quota, const QuotaBounds& bounds)
{
    const double window = toSeconds(bounds.window);
    const double tolerated = (quota.ratePerSecond * window + quota.burst) * bounds.overshoot + bounds.slack;
    const double used = usedTolerance * tolerated;
    const double atOnce = quota.burst + (1 - flowingTolerance) * used;
    const double lacking = std::max(0.0, leastBurst * quota.ratePerSecond * window - atOnce);
    TokenBucketLimits limits;
    limits.refillPerSecond = quota.ratePerSecond + (flowingTolerance * used - lacking) / window;
    limits.capacity = atOnce + lacking;
    limits.maxDebt = debtTolerance * tolerated;
    return limits;
}

QuotaShares::QuotaShares(QuotaBounds bounds, QuotaLeaseTimes lease)
    : m_bounds(bounds)
    , m_leaseTimes(lease)
    , m_groups(groups)
{
}

int QuotaShares::groupOf(std::string_view organisation) { return static_cast<int>(stableHash(organisation) % groups); }

void QuotaShares::configure(const RoutingTable& table, TimePoint now)
{
    std::vector<std::map<std::string, Bucket, std::less<>>> wanted(m_groups.size());
    for (const auto& organisation : table.document().organisations) {
        if (organisation.quota.isLimited())
            wanted[static_cast<std::size_t>(groupOf(organisation.name))][organisation.name].limits
                = TokenBucketLimits::of(organisation.quota, m_bounds);
    }
    for (std::size_t index = 0; index < m_groups.size(); ++index) {
        auto& group = m_groups[index];
        advance(group, now);
        for (auto& [organisation, bucket] : wanted[index]) {
            if (const auto known = group.buckets.find(organisation); known != group.buckets.end())
                bucket.balance = known->second.balance;
        }
        group.buckets = std::move(wanted[index]);
        advance(group, now);
    }
}

void QuotaShares::setNodeCount(int nodes, TimePoint now)
{
    if (nodes == m_nodes)
        return;
    for (auto& group : m_groups)
        advance(group, now);
    m_nodes = std::max(1, nodes);
    for (auto& group : m_groups)
        advance(group, now);
}

void QuotaShares::activateOwnShare(TimePoint now)
{
    for (auto& group : m_groups) {
        if (group.ownFrom != TimePoint::max())
            continue;
        advance(group, now);
        group.ownFrom = now;
        addShare(group, ownShare());
    }
}

bool QuotaShares::mayLend(int group, const std::string& home, TimePoint now) const
{
    const auto& own = m_groups[static_cast<std::size_t>(group)];
    return own.ownFrom <= now || (own.lentTo == home && own.ownFrom != TimePoint::max());
}

void QuotaShares::lend(int group, const std::string& home, TimePoint now)
{
    auto& own = m_groups[static_cast<std::size_t>(group)];
    advance(own, now);
    own.lentTo = home;
    own.ownFrom = now + m_leaseTimes.lenderDuration;
    advance(own, now);
}

void QuotaShares::reclaim(int group, const std::string& home, TimePoint now)
{
    auto& own = m_groups[static_cast<std::size_t>(group)];
    advance(own, now);
    if (own.lentTo != home || own.ownFrom <= now)
        return;
    own.ownFrom = now;
    addShare(own, ownShare());
}

void QuotaShares::addLentShare(int group, const std::string& lender, int nodes, TimePoint now)
{
    auto& home = m_groups[static_cast<std::size_t>(group)];
    advance(home, now);
    const double share = 1.0 / std::max(1, nodes);
    auto& held = home.held[lender];
    addShare(home, share - held.size);
    held = { share, now + m_leaseTimes.homeDuration };
    advance(home, now);
}

std::vector<std::string> QuotaShares::returnLentShares(int group, TimePoint now)
{
    auto& home = m_groups[static_cast<std::size_t>(group)];
    advance(home, now);
    std::vector<std::string> lenders;
    for (const auto& [lender, held] : home.held)
        lenders.push_back(lender);
    home.held.clear();
    advance(home, now);
    return lenders;
}

QuotaDecision QuotaShares::tryAcquire(const std::string& organisation, int tokens, TimePoint now)
{
    auto& group = m_groups[static_cast<std::size_t>(groupOf(organisation))];
    advance(group, now);
    QuotaDecision decision { false, tokens, m_leaseTimes.lenderDuration, 0, shareAt(group, now) };
    const auto found = group.buckets.find(organisation);
    if (found == group.buckets.end() || decision.share < leastShare)
        return decision;
    auto& bucket = found->second;
    decision.balance = static_cast<int64_t>(bucket.balance);
    // A request's size doesn't count as long as the debt holds it, else large requests would never find enough saved.
    const double debt = decision.share * bucket.limits.maxDebt;
    const double missing = std::max(-bucket.balance, tokens - debt - bucket.balance);
    decision.isGranted = bucket.balance > 0 && missing <= 0;
    if (decision.isGranted) {
        bucket.balance -= tokens;
        decision.wait = Duration(0);
    } else
        decision.wait = shortestWait
            + Duration(static_cast<int64_t>(missing / (decision.share * bucket.limits.refillPerSecond) * millisecondsPerSecond));
    return decision;
}

double QuotaShares::share(int group, TimePoint now)
{
    auto& home = m_groups[static_cast<std::size_t>(group)];
    advance(home, now);
    return shareAt(home, now);
}

double QuotaShares::shareAt(const Group& group, TimePoint now) const
{
    double sum = group.ownFrom <= now ? ownShare() : 0;
    for (const auto& [lender, held] : group.held)
        sum += held.until > now ? held.size : 0;
    return std::min(1.0, sum);
}

// Fills the buckets for the time in which each share was here; what a share has saved leaves with it.
void QuotaShares::advance(Group& group, TimePoint now)
{
    if (group.advanced == TimePoint {})
        group.advanced = now;
    if (now < group.advanced)
        return;
    double filled = 0;
    for (auto held = group.held.begin(); held != group.held.end();) {
        filled += held->second.size * std::max(0.0, toSeconds(std::min(now, held->second.until) - group.advanced));
        held = held->second.until <= now ? group.held.erase(held) : std::next(held);
    }
    const bool isOwnHere = group.ownFrom <= now;
    const bool hasOwnReturned = isOwnHere && group.ownFrom > group.advanced;
    if (isOwnHere)
        filled += ownShare() * toSeconds(now - std::max(group.advanced, group.ownFrom));
    filled = std::min(filled, toSeconds(now - group.advanced));
    group.advanced = now;
    const double here = shareAt(group, now);
    for (auto& [organisation, bucket] : group.buckets) {
        bucket.balance += filled * bucket.limits.refillPerSecond;
        bucket.balance = std::min(bucket.balance, here * bucket.limits.capacity);
    }
    if (hasOwnReturned)
        addShare(group, ownShare());
}

// A share begins as if its last holder had used it up and its debt too.
void QuotaShares::addShare(Group& group, double share)
{
    for (auto& [organisation, bucket] : group.buckets)
        bucket.balance = std::max(-bucket.limits.maxDebt, bucket.balance - std::max(0.0, share) * bucket.limits.maxDebt);
}

} // namespace bronzeswitch
