#include <algorithm>
#include <cmath>
#include <sched/CapacityEstimate.h>

namespace bronzeswitch {

namespace {

constexpr double smoothingFactor = 0.1; // Averages some 20 responses, so that their mean is known to within an eighth.
constexpr double maxOutlierFactor = 3; // A response counts with this multiple of the mean at most.
constexpr int minSamplesForOutlier = 3;
constexpr int minSamples = 12; // At a level; with fewer, differences of single responses look like effects of load.
constexpr int maxOwnSamples = 20; // Weight of this node's mean against those of other nodes.
constexpr int samplesPerPeer = 2; // Weight of another node's mean, which may come from two responses.
constexpr double minTimeGrowth = 1.25; // Beyond the growth of the load. Means of 20 responses differ by less.
constexpr double minLimitShare = 0.25; // Lowest limit, as a share of the slots, so that enough responses show a recovery.
constexpr double refusalFactor = 0.85;
constexpr int trialDivisor = 8; // A trial adds this part of the slots.
constexpr Duration excessDuration { 1500 }; // Longer than two disturbances of 600 ms.
constexpr Duration adjustmentInterval { 250 };
constexpr Duration firstTrialInterval { 1000 };
constexpr Duration maxTrialInterval { 8000 };
constexpr Duration trialDuration { 2000 }; // Longer than excessDuration, so that a trial is judged before the next one.
constexpr Duration limitLifetime { 20000 }; // Longer than two trials at the longest interval.
constexpr Duration levelLifetime { 8000 };
constexpr Duration peerLifetime { 3000 }; // Nodes report at least twice a second.
constexpr Duration statedSlotsLifetime { 2000 };
constexpr double serviceHoldSeconds = 2; // After which an estimate without new responses falls, and with what time constant.
constexpr double serviceDecaySeconds = 8;

} // namespace

CapacityEstimate::CapacityEstimate(int slots)
    : m_slots(std::max(1, slots))
    , m_limit(m_slots)
    , m_trialInterval(firstTrialInterval)
{
}

void CapacityEstimate::setSlots(int slots)
{
    slots = std::max(1, slots);
    if (slots == m_slots)
        return;
    // The levels are parts of the slots, so times measured before belong to other loads.
    m_levels = {};
    m_limit = m_limit >= m_slots ? slots : std::min(m_limit, slots);
    m_slots = slots;
}

void CapacityEstimate::onStatedSlots(int slots, TimePoint now)
{
    m_statedSlots = std::max(1, slots);
    m_statedSlotsAt = now;
}

std::size_t CapacityEstimate::levelOf(int load) const
{
    const auto level = (std::max(1, load) - 1) * static_cast<int64_t>(levelCount) / m_slots;
    return std::min<std::size_t>(static_cast<std::size_t>(level), levelCount - 1);
}

int CapacityEstimate::highestLoadOf(std::size_t level) const
{
    return std::max(1, static_cast<int>((static_cast<std::size_t>(m_slots) * (level + 1) + levelCount - 1) / levelCount));
}

void CapacityEstimate::onResponse(double milliseconds, int load, TimePoint now)
{
    if (milliseconds <= 0)
        return;
    // Requests above the slots wait at the upstream; that part of the time is not work.
    const double time = load > m_slots ? milliseconds * m_slots / load : milliseconds;
    const auto record = [&](Level& level) {
        if (now - level.updatedAt > levelLifetime)
            level = {};
        const bool isOutlier = level.samples >= minSamplesForOutlier && time > maxOutlierFactor * level.mean;
        level.samples = std::min(level.samples + 1, maxOwnSamples);
        const double weight = std::max(smoothingFactor, 1.0 / level.samples);
        level.mean += weight * ((isOutlier ? maxOutlierFactor * level.mean : time) - level.mean);
        level.updatedAt = now;
    };
    record(m_levels.at(levelOf(load)));
    record(m_service);
    adjust(load, now);
}

void CapacityEstimate::onRefusal(int load, TimePoint now)
{
    if (now < m_nextAdjustment)
        return;
    m_nextAdjustment = now + adjustmentInterval;
    lower(static_cast<int>(std::min(m_limit, std::max(1, load)) * refusalFactor), now);
}

void CapacityEstimate::onPeerLevels(const std::string& node, const Levels& levels, TimePoint now)
{
    if (levels == Levels {})
        m_peers.erase(node);
    else
        m_peers[node] = { levels, now };
}

std::optional<double> CapacityEstimate::timeAt(std::size_t level, TimePoint now) const
{
    const auto& own = m_levels.at(level);
    const bool isOwnFresh = own.samples > 0 && now - own.updatedAt <= levelLifetime;
    int samples = isOwnFresh ? own.samples : 0;
    double sum = samples * own.mean;
    for (const auto& [node, peer] : m_peers) {
        if (peer.levels.at(level) <= 0 || now - peer.receivedAt > peerLifetime)
            continue;
        samples += samplesPerPeer;
        sum += samplesPerPeer * peer.levels.at(level);
    }
    return samples >= minSamples ? std::optional(sum / samples) : std::nullopt;
}

CapacityEstimate::LoadEffect CapacityEstimate::loadEffect(TimePoint now) const
{
    std::size_t best = 0;
    std::size_t highest = 0;
    double bestThroughput = 0;
    double throughput = 0;
    for (std::size_t level = 0; level < levelCount; ++level) {
        const auto time = timeAt(level, now);
        if (!time)
            continue;
        highest = level;
        throughput = std::min(highestLoadOf(level), m_limit) / *time;
        if (throughput <= bestThroughput)
            continue;
        bestThroughput = throughput;
        best = level;
    }
    return { highestLoadOf(best), highest == best, bestThroughput > minTimeGrowth * throughput };
}

void CapacityEstimate::adjust(int load, TimePoint now)
{
    if (now < m_nextAdjustment)
        return;
    m_nextAdjustment = now + adjustmentInterval;
    std::erase_if(m_peers, [&](const auto& item) { return now - item.second.receivedAt > peerLifetime; });
    if (now - m_confirmedAt > limitLifetime)
        m_limit = m_slots;
    const auto effect = loadEffect(now);
    if (effect.isExcessive) {
        m_excessSince = m_excessSince.value_or(now);
        if (now - *m_excessSince >= excessDuration)
            lower(effect.bestLoad, now);
        return;
    }
    m_excessSince.reset();
    if (!effect.isHighestBest)
        m_confirmedAt = now;
    if (effect.isHighestBest && load >= m_limit && m_limit < m_slots && now >= m_nextTrial)
        raise(now);
}

void CapacityEstimate::lower(int limit, TimePoint now)
{
    const int minLimit = std::max(1, static_cast<int>(m_slots * minLimitShare));
    m_limit = std::max(std::min(limit, m_limit), std::min(minLimit, m_limit));
    m_confirmedAt = now;
    m_nextTrial = now + m_trialInterval;
    m_trialInterval = std::min(2 * m_trialInterval, maxTrialInterval);
    m_excessSince.reset();
    // A trial is judged by what is measured during it.
    for (std::size_t level = levelOf(m_limit) + 1; level < levelCount; ++level)
        m_levels.at(level) = {};
}

void CapacityEstimate::raise(TimePoint now)
{
    m_limit = std::min(m_slots, m_limit + std::max(1, m_slots / trialDivisor));
    m_confirmedAt = now;
    m_nextTrial = now + trialDuration;
    if (m_limit == m_slots)
        m_trialInterval = firstTrialInterval;
}

int CapacityEstimate::limit(TimePoint now) const
{
    const int learned = now - m_confirmedAt > limitLifetime ? m_slots : m_limit;
    return m_statedSlots && now - m_statedSlotsAt <= statedSlotsLifetime ? std::min(learned, *m_statedSlots) : learned;
}

double CapacityEstimate::peerServiceMs(TimePoint now) const
{
    int count = 0;
    double sum = 0;
    for (const auto& [node, peer] : m_peers) {
        if (now - peer.receivedAt > peerLifetime)
            continue;
        for (const double time : peer.levels) {
            count += time > 0 ? 1 : 0;
            sum += time;
        }
    }
    return count ? sum / count : 0;
}

double CapacityEstimate::serviceMs(TimePoint now) const
{
    const double age = toSeconds(now - m_service.updatedAt) - serviceHoldSeconds;
    const double weight = m_service.samples ? std::exp(-std::max(0.0, age) / serviceDecaySeconds) : 0;
    return weight * m_service.mean + (1 - weight) * peerServiceMs(now);
}

Duration CapacityEstimate::age(TimePoint now) const
{
    return m_service.samples ? std::chrono::duration_cast<Duration>(now - m_service.updatedAt) : Duration(0);
}

CapacityEstimate::Levels CapacityEstimate::ownLevels(TimePoint now) const
{
    Levels levels {};
    for (std::size_t level = 0; level < levelCount; ++level) {
        const auto& own = m_levels.at(level);
        if (own.samples >= samplesPerPeer && now - own.updatedAt <= levelLifetime)
            levels.at(level) = own.mean;
    }
    return levels;
}

} // namespace bronzeswitch
