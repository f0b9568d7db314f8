#include <algorithm>
#include <compare>
#include <gateway/UpstreamDirectory.h>
#include <iterator>

namespace bronzeswitch {

namespace {

constexpr Duration removalMemory { 300000 }; // Longer than late writes take, and than the source may lose changes.
constexpr std::size_t maxLeaving = 4096; // More than upstreams exist; only statements of upstreams without an entry are dropped.

// Compares by start and number; nothing if either is unknown.
std::optional<std::strong_ordering> compareAge(const UpstreamEntry& left, const UpstreamEntry& right)
{
    const auto hasOrder = [](const UpstreamEntry& entry) { return entry.startedAt && entry.sequence; };
    if (!hasOrder(left) || !hasOrder(right))
        return std::nullopt;
    return std::pair(left.startedAt, *left.sequence) <=> std::pair(right.startedAt, *right.sequence);
}

bool isSameExceptHeartbeat(UpstreamEntry left, const UpstreamEntry& right)
{
    left.sequence = right.sequence;
    left.coldRemaining = right.coldRemaining;
    return left == right;
}

} // namespace

bool UpstreamDirectory::isOutdated(const UpstreamEntry& entry) const
{
    if (const auto* known = find(entry.id))
        return compareAge(entry, *known) == std::strong_ordering::less;
    const auto removed = m_removed.find(entry.id);
    if (removed == m_removed.end())
        return false;
    const auto order = compareAge(entry, removed->second.entry);
    return order && *order != std::strong_ordering::greater;
}

bool UpstreamDirectory::put(const UpstreamEntry& entry)
{
    if (isOutdated(entry))
        return false;
    m_removed.erase(entry.id);
    const bool isRemovalCancelled = m_pendingRemovals.erase(entry.id) > 0;
    if (entry.isDraining)
        m_listedDraining.insert(entry.id);
    else
        m_listedDraining.erase(entry.id);
    auto current = entry;
    current.isDraining = entry.isDraining || hasStatedLeaving(entry);
    auto& known = m_entries[entry.id];
    const bool isChanged = !isSameExceptHeartbeat(known, current);
    known = current;
    return isChanged || isRemovalCancelled;
}

bool UpstreamDirectory::hasStatedLeaving(const UpstreamEntry& entry) const
{
    const auto found = m_leaving.find(entry.id);
    return found != m_leaving.end() && entry.startedAt <= found->second;
}

bool UpstreamDirectory::setLeaving(const std::string& id, int64_t startedAt)
{
    auto [known, isNew] = m_leaving.try_emplace(id, startedAt);
    known->second = std::max(known->second, startedAt);
    const auto entry = m_entries.find(id);
    const bool isChanged = entry != m_entries.end() && !entry->second.isDraining && hasStatedLeaving(entry->second);
    if (isChanged)
        entry->second.isDraining = true;
    dropExcessStatements();
    return isChanged;
}

// An upstream without an entry gets no requests, and its identifier hardly ever returns.
void UpstreamDirectory::dropExcessStatements()
{
    if (m_leaving.size() > maxLeaving)
        std::erase_if(m_leaving, [this](const auto& item) { return !m_entries.contains(item.first); });
}

std::map<std::string, int64_t> UpstreamDirectory::leavingUnlisted() const
{
    std::map<std::string, int64_t> result;
    std::copy_if(m_leaving.begin(), m_leaving.end(), std::inserter(result, result.end()), [this](const auto& item) {
        const auto* entry = find(item.first);
        return entry && hasStatedLeaving(*entry) && !m_listedDraining.contains(item.first);
    });
    return result;
}

bool UpstreamDirectory::remove(const std::string& id, TimePoint now, TimePoint graceUntil)
{
    if (!m_entries.contains(id))
        return false;
    if (graceUntil > now) {
        m_pendingRemovals.try_emplace(id, graceUntil);
        return false;
    }
    m_pendingRemovals.erase(id);
    return erase(id, now);
}

bool UpstreamDirectory::erase(const std::string& id, TimePoint now)
{
    m_listedDraining.erase(id);
    auto entry = m_entries.extract(id);
    if (entry.empty())
        return false;
    m_removed[id] = { std::move(entry.mapped()), now };
    return true;
}

bool UpstreamDirectory::retain(const std::set<std::string>& ids, TimePoint now, TimePoint graceUntil)
{
    std::vector<std::string> missing;
    for (const auto& [id, entry] : m_entries) {
        if (!ids.contains(id))
            missing.push_back(id);
    }
    bool isChanged = false;
    for (const auto& id : missing)
        isChanged |= remove(id, now, graceUntil);
    return isChanged;
}

bool UpstreamDirectory::expire(TimePoint now)
{
    bool isChanged = false;
    for (auto removal = m_pendingRemovals.begin(); removal != m_pendingRemovals.end();) {
        if (removal->second > now) {
            ++removal;
            continue;
        }
        isChanged |= erase(removal->first, now);
        removal = m_pendingRemovals.erase(removal);
    }
    std::erase_if(m_removed, [now](const auto& item) { return now - item.second.removedAt > removalMemory; });
    return isChanged;
}

const UpstreamEntry* UpstreamDirectory::find(const std::string& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace bronzeswitch
