#include <algorithm>
#include <sched/PromptQuarantine.h>

namespace bronzeswitch {

namespace {

constexpr int crashesUntilSuspect = 3; // Different upstreams crash for other reasons too, but not under the same rare part.
constexpr int crashesUntilSuspectAgain = 1; // After an earlier quarantine.
constexpr int crashesUntilRetryStops = 2;
constexpr Duration lossMemory { 60000 };
constexpr Duration sameCrashTime { 1000 }; // Losses at one upstream within this time are one crash.
constexpr Duration answerMemory { 30000 };
constexpr Duration confirmationTime { 150 }; // For the responses of peers in other data centres.
constexpr Duration firstQuarantine { 60000 };
constexpr int quarantineGrowth = 4;
constexpr Duration longestQuarantine { 3600000 };
constexpr std::size_t maxLosses = 256;
constexpr std::size_t maxAnswers = 8192;
constexpr std::size_t maxQuarantines = 256;
constexpr std::size_t maxEntries = 32; // In a report.

Duration quarantineTime(int generation)
{
    Duration time = firstQuarantine;
    for (int earlier = 1; earlier < generation && time < longestQuarantine; ++earlier)
        time *= quarantineGrowth;
    return std::min(time, longestQuarantine);
}

PromptQuarantine::Parts sorted(PromptQuarantine::Parts parts)
{
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

bool contains(const PromptQuarantine::Parts& sortedParts, const std::string& part)
{
    return std::binary_search(sortedParts.begin(), sortedParts.end(), part);
}

bool includes(const PromptQuarantine::Parts& sortedParts, const PromptQuarantine::Parts& others)
{
    return std::includes(sortedParts.begin(), sortedParts.end(), others.begin(), others.end());
}

} // namespace

bool PromptQuarantine::isAnswered(const std::string& part) const { return m_answers.contains(part) || m_olderAnswers.contains(part); }

void PromptQuarantine::rotateAnswers(TimePoint now)
{
    if (now - m_rotatedAt < answerMemory && m_answers.size() < maxAnswers)
        return;
    m_olderAnswers = std::exchange(m_answers, {});
    m_rotatedAt = now;
}

void PromptQuarantine::onAnswered(const Parts& parts, TimePoint now)
{
    rotateAnswers(now);
    for (const auto& part : parts) {
        m_answers.insert(part);
        removeSuspicion(part, now);
    }
}

void PromptQuarantine::onPeerAnswered(const Parts& parts, TimePoint now)
{
    for (const auto& part : parts) {
        removeSuspicion(part, now);
        for (auto& loss : m_losses)
            std::erase(loss.parts, part);
    }
}

// The part isn't the cause, so what remains of parts that were lost together is.
void PromptQuarantine::removeSuspicion(const std::string& part, TimePoint now)
{
    const auto without = [&](Parts parts) {
        std::erase(parts, part);
        return parts;
    };
    for (auto& [parts, askedAt] : std::map(m_unconfirmed)) {
        if (!contains(parts, part))
            continue;
        m_unconfirmed.erase(parts);
        if (parts.size() > 1)
            m_unconfirmed.emplace(without(parts), askedAt);
    }
    for (auto& [parts, quarantine] : std::map(m_quarantines)) {
        if (!contains(parts, part) || quarantine.isRefuted)
            continue;
        if (parts.size() > 1)
            m_quarantines.emplace(without(parts), quarantine);
        m_quarantines[parts] = { quarantine.generation, std::min(quarantine.until, now), true };
        ++m_changes;
    }
}

PromptQuarantine::Parts PromptQuarantine::onLost(const std::string& upstream, const Parts& parts, TimePoint now)
{
    dropExpired(now);
    auto suspects = sorted(parts);
    std::erase_if(suspects, [this](const std::string& part) { return isAnswered(part); });
    if (suspects.empty())
        return suspects;
    if (m_newlyLost.size() > maxLosses)
        m_newlyLost.clear(); // Nobody evaluates the losses at this node.
    m_newlyLost.insert(suspects.begin(), suspects.end());
    m_losses.push_back({ now, upstream, suspects });
    if (m_losses.size() > maxLosses)
        m_losses.pop_front();
    return suspects;
}

void PromptQuarantine::dropExpired(TimePoint now)
{
    while (!m_losses.empty() && m_losses.front().time < now - lossMemory)
        m_losses.pop_front();
    if (m_quarantines.size() > maxQuarantines) {
        m_quarantines.erase(std::min_element(m_quarantines.begin(), m_quarantines.end(),
            [](const auto& left, const auto& right) { return left.second.until < right.second.until; }));
    }
}

PromptQuarantine::Parts PromptQuarantine::answeredAmong(const Parts& parts) const
{
    Parts result;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(result), [this](const std::string& part) { return isAnswered(part); });
    return result;
}

int PromptQuarantine::crashesWith(const std::string& part) const
{
    std::map<std::string, TimePoint> lastLoss;
    int crashes = 0;
    for (const auto& loss : m_losses) {
        if (!contains(loss.parts, part))
            continue;
        const auto [last, isNew] = lastLoss.try_emplace(loss.upstream, loss.time);
        if (isNew || loss.time - last->second > sameCrashTime)
            ++crashes;
        last->second = loss.time;
    }
    return crashes;
}

int PromptQuarantine::requiredCrashes(const Parts& lostTogether) const
{
    const bool wereInQuarantine = std::any_of(m_quarantines.begin(), m_quarantines.end(),
        [&](const auto& entry) { return !entry.second.isRefuted && includes(lostTogether, entry.first); });
    return wereInQuarantine ? crashesUntilSuspectAgain : crashesUntilSuspect;
}

PromptQuarantine::Parts PromptQuarantine::lostTogetherWith(const std::string& part) const
{
    std::optional<Parts> common;
    for (const auto& loss : m_losses) {
        if (!contains(loss.parts, part))
            continue;
        if (!common) {
            common = loss.parts;
            continue;
        }
        std::erase_if(*common, [&](const std::string& other) { return !contains(loss.parts, other); });
    }
    auto parts = common.value_or(Parts {});
    std::erase_if(parts, [this](const std::string& other) { return isAnswered(other); });
    return parts;
}

bool PromptQuarantine::isCovered(const Parts& parts, TimePoint now) const
{
    const bool isUnconfirmed
        = std::any_of(m_unconfirmed.begin(), m_unconfirmed.end(), [&](const auto& entry) { return includes(parts, entry.first); });
    return isUnconfirmed || remaining(parts, now);
}

PromptQuarantine::Parts PromptQuarantine::tick(TimePoint now)
{
    dropExpired(now);
    for (auto entry = m_unconfirmed.begin(); entry != m_unconfirmed.end();) {
        if (now - entry->second < confirmationTime) {
            ++entry;
            continue;
        }
        put(entry->first, now);
        entry = m_unconfirmed.erase(entry);
    }
    Parts questions;
    for (const auto& part : std::exchange(m_newlyLost, {})) {
        const auto parts = lostTogetherWith(part);
        const bool isSound = isAnswered(part) || crashesWith(part) < requiredCrashes(parts);
        if (isSound || isCovered(parts, now))
            continue;
        m_unconfirmed.emplace(parts, now);
        questions.insert(questions.end(), parts.begin(), parts.end());
    }
    return sorted(std::move(questions));
}

// The losses have led to the quarantine; only later ones count towards the next.
void PromptQuarantine::put(const Parts& parts, TimePoint now)
{
    auto [entry, isNew] = m_quarantines.try_emplace(parts);
    if (entry->second.until > now)
        return;
    if (!isNew)
        ++entry->second.generation;
    entry->second.until = now + quarantineTime(entry->second.generation);
    entry->second.isRefuted = false;
    std::erase_if(m_losses, [&](const Loss& loss) { return includes(loss.parts, parts); });
    ++m_changes;
}

std::optional<Duration> PromptQuarantine::remaining(const Parts& parts, TimePoint now) const
{
    if (m_quarantines.empty() || parts.empty())
        return std::nullopt;
    const auto request = sorted(parts);
    std::optional<Duration> longest;
    for (const auto& [quarantined, entry] : m_quarantines) {
        if (entry.until > now && includes(request, quarantined))
            longest = std::max(longest.value_or(Duration(0)), std::chrono::ceil<Duration>(entry.until - now));
    }
    return longest;
}

bool PromptQuarantine::isSuspect(const Parts& parts, TimePoint now) const
{
    return remaining(parts, now) || std::any_of(parts.begin(), parts.end(), [this](const std::string& part) {
        return !isAnswered(part) && crashesWith(part) >= std::min(crashesUntilRetryStops, requiredCrashes(lostTogetherWith(part)));
    });
}

std::vector<QuarantineEntry> PromptQuarantine::entries(TimePoint now) const
{
    std::vector<QuarantineEntry> result;
    for (const auto& [parts, entry] : m_quarantines) {
        if (entry.until > now)
            result.push_back({ parts, entry.generation, std::chrono::ceil<Duration>(entry.until - now).count() });
    }
    std::sort(result.begin(), result.end(), [](const auto& left, const auto& right) { return left.remainingMs > right.remainingMs; });
    result.resize(std::min(result.size(), maxEntries));
    return result;
}

// A known quarantine isn't extended: peers pass entries on, and each time the remaining time is a little older.
bool PromptQuarantine::adopt(const QuarantineEntry& entry, TimePoint now)
{
    const auto parts = sorted(entry.parts);
    if (parts.empty() || entry.generation < 1 || !answeredAmong(parts).empty())
        return false;
    auto& known = m_quarantines.try_emplace(parts, Quarantine { 0, {} }).first->second;
    if (known.generation >= entry.generation)
        return false;
    const Duration remainingTime(std::clamp<int64_t>(entry.remainingMs, 0, longestQuarantine.count()));
    known = { entry.generation, now + remainingTime };
    std::erase_if(m_losses, [&](const Loss& loss) { return includes(loss.parts, parts); });
    ++m_changes;
    return true;
}

} // namespace bronzeswitch
