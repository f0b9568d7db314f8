#include <algorithm>
#include <base/Hash.h>
#include <gateway/NodeRegistry.h>
#include <tuple>

namespace bronzeswitch {

void NodeRegistry::reset(const std::vector<Registration>& registrations)
{
    std::set<std::string> addresses;
    for (const auto& registration : registrations) {
        addresses.insert(registration.node.address);
        put(registration);
    }
    std::erase_if(m_entries, [&](const auto& entry) { return !addresses.contains(entry.first); });
}

void NodeRegistry::put(const Registration& registration)
{
    const auto [entry, isNew] = m_entries.try_emplace(registration.node.address);
    if (!isNew && registration.position <= entry->second.position)
        return;
    entry->second = { registration.node.dataCentre, registration.position, 0 };
}

void NodeRegistry::addMissing(const std::vector<RegisteredNode>& live)
{
    for (const auto& node : live)
        m_entries.try_emplace(node.address, Entry { node.dataCentre, {}, 0 });
}

void NodeRegistry::onRenewed(const std::vector<RegisteredNode>& live, TimePoint now)
{
    m_lastRenewal = now;
    for (auto& [address, entry] : m_entries)
        ++entry.missedRenewals;
    for (const auto& node : live) {
        auto& entry = m_entries[node.address];
        entry.dataCentre = node.dataCentre;
        entry.missedRenewals = 0;
    }
}

std::vector<std::string> NodeRegistry::expired() const
{
    std::vector<std::string> result;
    for (const auto& [address, entry] : m_entries) {
        if (entry.missedRenewals >= m_times.maxMissedRenewals)
            result.push_back(address);
    }
    return result;
}

std::vector<std::string> NodeRegistry::contactsFor(const RegisteredNode& own, const std::set<std::string>& known, std::size_t count) const
{
    std::vector<std::tuple<bool, uint64_t, std::string>> ranked;
    for (const auto& [address, entry] : m_entries) {
        if (address != own.address && !known.contains(address))
            ranked.emplace_back(entry.dataCentre != own.dataCentre, stableHash(own.address + address), address);
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(count, ranked.size()));
    std::vector<std::string> result;
    result.reserve(ranked.size());
    for (const auto& [isElsewhere, rank, address] : ranked)
        result.push_back(address);
    return result;
}

} // namespace bronzeswitch
