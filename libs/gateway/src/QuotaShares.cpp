#include <algorithm>
#include <base/Hash.h>
#include <gateway/QuotaShares.h>

namespace bronzeswitch {

namespace {

// Fractions of the tolerated excess over the quota. The rest is a reserve for messages that are delayed longer than a lease allows.
constexpr double bucketTolerance = 0.9;
constexpr double debtTolerance = 0.05;
constexpr double refillTolerance = 0.2; // Fraction of the bucket's tolerance that raises its refill rate; the rest raises its capacity.
constexpr double minBurst = 0.125; // Smallest capacity as a fraction of the rate's tokens in a window, for quotas with little or no burst.
constexpr double minLastingCapacity = 0.25; // Of a bucket for a lasting load, as a fraction of what the quota allows in a window.
constexpr double minShare = 1e-6; // Smaller shares count as none.
constexpr Duration minWait { 1 };

} // namespace

TokenBucketLimits TokenBucketLimits::of(const TokenQuota& quota, const QuotaBounds& bounds)
{
    const double window = toSeconds(bounds.window);
    const double tolerated = (quota.ratePerSecond * window + quota.burst) * bounds.overshoot + bounds.slack;
    const double excess = bucketTolerance * tolerated;
    const double burst = quota.burst + (1 - refillTolerance) * excess;
    const double missingBurst = std::max(0.0, minBurst * quota.ratePerSecond * window - burst);
    TokenBucketLimits limits;
    limits.refillPerSecond = quota.ratePerSecond + (refillTolerance * excess - missingBurst) / window;
    limits.capacity = burst + missingBurst;
    limits.maxDebt = debtTolerance * tolerated;
    return limits;
}

TokenBucketLimits TokenBucketLimits::forLastingLoad(const TokenQuota& quota, const QuotaBounds& bounds)
{
    const double window = toSeconds(bounds.window);
    const double allowed = quota.ratePerSecond * window + quota.burst;
    const double tolerated = allowed * bounds.overshoot + bounds.slack;
    TokenBucketLimits limits;
    limits.capacity = std::max(bucketTolerance * tolerated, minLastingCapacity * allowed);
    limits.refillPerSecond = (allowed + bucketTolerance * tolerated - limits.capacity) / window;
    limits.maxDebt = debtTolerance * tolerated;
    return limits;
}

QuotaShares::QuotaShares(QuotaBounds bounds, QuotaLeaseTimes leaseTimes)
    : m_bounds(bounds)
    , m_leaseTimes(leaseTimes)
    , m_groups(groups)
{
}

int QuotaShares::groupOf(std::string_view organisation) { return static_cast<int>(stableHash(organisation) % groups); }

void QuotaShares::configure(const RoutingTable& table, TimePoint now)
{
    std::vector<std::map<std::string, BucketPair, std::less<>>> wanted(m_groups.size());
    for (const auto& organisation : table.document().organisations) {
        if (!organisation.quota.isLimited())
            continue;
        auto& pair = wanted[static_cast<std::size_t>(groupOf(organisation.name))][organisation.name];
        pair.bursts.limits = TokenBucketLimits::of(organisation.quota, m_bounds);
        pair.lastingLoad.limits = TokenBucketLimits::forLastingLoad(organisation.quota, m_bounds);
    }
    for (std::size_t index = 0; index < m_groups.size(); ++index) {
        auto& group = m_groups[index];
        advance(group, now);
        for (auto& [organisation, pair] : wanted[index]) {
            const auto known = group.buckets.find(organisation);
            if (known == group.buckets.end())
                continue;
            pair.bursts.balance = known->second.bursts.balance;
            pair.lastingLoad.balance = known->second.lastingLoad.balance;
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
        if (group.ownUsableFrom != TimePoint::max())
            continue;
        advance(group, now);
        group.ownUsableFrom = now;
        addShare(group, ownShare());
    }
}

bool QuotaShares::mayLend(int group, const std::string& home, TimePoint now) const
{
    const auto& own = m_groups[static_cast<std::size_t>(group)];
    return own.ownUsableFrom <= now || (own.lentTo == home && own.ownUsableFrom != TimePoint::max());
}

void QuotaShares::lend(int group, const std::string& home, TimePoint now)
{
    auto& own = m_groups[static_cast<std::size_t>(group)];
    advance(own, now);
    own.lentTo = home;
    own.ownUsableFrom = now + m_leaseTimes.lenderDuration;
    advance(own, now);
}

void QuotaShares::reclaim(int group, const std::string& home, TimePoint now)
{
    auto& own = m_groups[static_cast<std::size_t>(group)];
    advance(own, now);
    if (own.lentTo != home || own.ownUsableFrom <= now)
        return;
    own.ownUsableFrom = now;
    addShare(own, ownShare());
}

void QuotaShares::addLentShare(int group, const std::string& lender, int nodes, TimePoint now)
{
    auto& home = m_groups[static_cast<std::size_t>(group)];
    advance(home, now);
    const double share = 1.0 / std::max(1, nodes);
    const auto [entry, isNew] = home.borrowed.try_emplace(lender, LentShare { 0, now, now });
    auto& lent = entry->second;
    addShare(home, share - lent.size);
    lent = { share, share > lent.size ? now : lent.since, now + m_leaseTimes.homeDuration };
    advance(home, now);
}

std::vector<std::string> QuotaShares::returnLentShares(int group, TimePoint now)
{
    auto& home = m_groups[static_cast<std::size_t>(group)];
    advance(home, now);
    std::vector<std::string> lenders;
    for (const auto& [lender, lent] : home.borrowed)
        lenders.push_back(lender);
    home.borrowed.clear();
    advance(home, now);
    return lenders;
}

QuotaDecision QuotaShares::tryAcquire(const std::string& organisation, int tokens, TimePoint now, int64_t tokensAhead)
{
    auto& group = m_groups[static_cast<std::size_t>(groupOf(organisation))];
    advance(group, now);
    QuotaDecision decision { false, tokens, m_leaseTimes.lenderDuration, 0, usableShare(group, now) };
    const auto found = group.buckets.find(organisation);
    if (found == group.buckets.end() || decision.share < minShare)
        return decision;
    auto& [bursts, lastingLoad] = found->second;
    const auto burstState = stateOf(bursts, bursts.balance, decision.share, tokens, tokensAhead);
    const double unsettledShare = decision.share - settledShare(group, now);
    const double lastingBalance = lastingLoad.balance - unsettledShare * grantedInWindow(lastingLoad.limits);
    const auto lastingState = stateOf(lastingLoad, lastingBalance, decision.share, tokens, tokensAhead);
    const bool isLastingBetter = lastingState.isSufficient() || lastingState.wait() < burstState.wait();
    const auto& state = burstState.isSufficient() || !isLastingBetter ? burstState : lastingState;
    decision.balance = static_cast<int64_t>(state.balance);
    decision.isGranted = state.isSufficient();
    if (!decision.isGranted) {
        decision.wait = state.wait();
        return decision;
    }
    bursts.balance -= tokens;
    lastingLoad.balance -= tokens;
    decision.wait = Duration(0);
    return decision;
}

// The most that a bucket grants in a window, apart from its debt.
double QuotaShares::grantedInWindow(const TokenBucketLimits& limits) const
{
    return limits.capacity + limits.refillPerSecond * toSeconds(m_bounds.window);
}

// A request may overdraw a positive balance by the allowed debt, otherwise large requests would never find a sufficient balance.
QuotaShares::BucketState QuotaShares::stateOf(const Bucket& bucket, double balance, double share, int tokens, int64_t tokensAhead)
{
    const double free = balance - static_cast<double>(tokensAhead);
    const double debt = share * bucket.limits.maxDebt;
    return { balance, std::max(-free, tokens - debt - free), share * bucket.limits.refillPerSecond };
}

Duration QuotaShares::BucketState::wait() const
{
    constexpr double longestSeconds = 3600;
    if (missing >= longestSeconds * refillPerSecond)
        return Duration(static_cast<int64_t>(longestSeconds * millisecondsPerSecond));
    return minWait + Duration(static_cast<int64_t>(missing / refillPerSecond * millisecondsPerSecond));
}

double QuotaShares::share(int group, TimePoint now)
{
    auto& home = m_groups[static_cast<std::size_t>(group)];
    advance(home, now);
    return usableShare(home, now);
}

double QuotaShares::usableShare(const Group& group, TimePoint now) const
{
    double sum = group.ownUsableFrom <= now ? ownShare() : 0;
    for (const auto& [lender, lent] : group.borrowed)
        sum += lent.until > now ? lent.size : 0;
    return std::min(1.0, sum);
}

double QuotaShares::settledShare(const Group& group, TimePoint now) const
{
    const bool isOwnSettled = group.ownUsableFrom <= now && now - group.ownUsableFrom >= m_bounds.window;
    double sum = isOwnSettled ? ownShare() : 0;
    for (const auto& [lender, lent] : group.borrowed)
        sum += lent.until > now && now - lent.since >= m_bounds.window ? lent.size : 0;
    return std::min(1.0, sum);
}

// Refills the buckets for the time in which each share was usable here. When a share leaves, its part of the balance leaves with it.
void QuotaShares::advance(Group& group, TimePoint now)
{
    if (group.lastAdvance == TimePoint {})
        group.lastAdvance = now;
    if (now < group.lastAdvance)
        return;
    double shareSeconds = 0;
    for (auto lent = group.borrowed.begin(); lent != group.borrowed.end();) {
        shareSeconds += lent->second.size * std::max(0.0, toSeconds(std::min(now, lent->second.until) - group.lastAdvance));
        lent = lent->second.until <= now ? group.borrowed.erase(lent) : std::next(lent);
    }
    const bool isOwnUsable = group.ownUsableFrom <= now;
    const bool isOwnNewlyUsable = isOwnUsable && group.ownUsableFrom > group.lastAdvance;
    if (isOwnUsable)
        shareSeconds += ownShare() * toSeconds(now - std::max(group.lastAdvance, group.ownUsableFrom));
    shareSeconds = std::min(shareSeconds, toSeconds(now - group.lastAdvance));
    group.lastAdvance = now;
    const double share = usableShare(group, now);
    for (auto& [organisation, pair] : group.buckets) {
        refill(pair.bursts, shareSeconds, share);
        refill(pair.lastingLoad, shareSeconds, share);
    }
    if (isOwnNewlyUsable)
        addShare(group, ownShare());
}

// A bucket that lacks more than it refills in a window has granted nothing for as long, so what it lacks beyond that is forgotten.
void QuotaShares::refill(Bucket& bucket, double shareSeconds, double share) const
{
    const double lowest = -bucket.limits.refillPerSecond * toSeconds(m_bounds.window) - bucket.limits.maxDebt;
    bucket.balance = std::max(lowest, bucket.balance + shareSeconds * bucket.limits.refillPerSecond);
    bucket.balance = std::min(bucket.balance, share * bucket.limits.capacity);
}

// Accounts for a new share, whose last holder may have overdrawn it by the whole allowed debt.
void QuotaShares::addShare(Group& group, double share)
{
    const auto addTo = [share](Bucket& bucket) {
        const double indebted = bucket.balance - std::max(0.0, share) * bucket.limits.maxDebt;
        bucket.balance = std::min(bucket.balance, std::max(-bucket.limits.maxDebt, indebted));
    };
    for (auto& [organisation, pair] : group.buckets) {
        addTo(pair.bursts);
        addTo(pair.lastingLoad);
    }
}

} // namespace bronzeswitch
