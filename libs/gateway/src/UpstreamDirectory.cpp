#include <gateway/UpstreamDirectory.h>

namespace bronzeswitch {

bool UpstreamDirectory::put(const UpstreamEntry& entry)
{
    m_pendingRemovals.erase(entry.id);
    auto& known = m_entries[entry.id];
    if (known == entry)
        return false;
    known = entry;
    return true;
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
    return m_entries.erase(id) > 0;
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
        isChanged |= m_entries.erase(removal->first) > 0;
        removal = m_pendingRemovals.erase(removal);
    }
    return isChanged;
}

const UpstreamEntry* UpstreamDirectory::find(const std::string& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

} // namespace bronzeswitch
