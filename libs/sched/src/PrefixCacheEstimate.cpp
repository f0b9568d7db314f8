#include <base/Hash.h>
#include <sched/PrefixCacheEstimate.h>

namespace bronzeswitch {

namespace {

constexpr std::size_t blockCharacters = 256;
constexpr int tokensPerBlock = 64;
constexpr std::size_t maxPrefixes = 12;
constexpr std::size_t maxEntries = 4096;
constexpr uint64_t hashMask = 0xffffffff; // Half of the hash is enough for an estimate and keeps messages short.

} // namespace

std::vector<PromptPrefix> promptPrefixes(std::string_view prompt)
{
    std::vector<PromptPrefix> prefixes;
    uint64_t chain = 0;
    std::size_t nextPrefixBlock = 1;
    for (std::size_t block = 1; block * blockCharacters <= prompt.size() && prefixes.size() < maxPrefixes; ++block) {
        chain = stableHash(prompt.substr((block - 1) * blockCharacters, blockCharacters), chain);
        if (block != nextPrefixBlock)
            continue;
        prefixes.push_back({ chain & hashMask, static_cast<int>(block) * tokensPerBlock });
        nextPrefixBlock *= 2;
    }
    return prefixes;
}

void PrefixCacheEstimate::onDispatch(const std::vector<PromptPrefix>& prefixes)
{
    for (const auto& prefix : prefixes)
        markUsed(prefix.hash & hashMask);
    forgetOldest(maxEntries);
}

void PrefixCacheEstimate::onEvent(int64_t sequence, bool isStored, uint64_t prefix)
{
    if (sequence < m_nextEvent)
        return;
    if (sequence > m_nextEvent)
        forgetOldest(m_index.size() / 2);
    m_nextEvent = sequence + 1;
    const auto found = m_index.find(prefix & hashMask);
    if (isStored || found == m_index.end())
        return;
    m_order.erase(found->second);
    m_index.erase(found);
}

int PrefixCacheEstimate::cachedTokens(const std::vector<PromptPrefix>& prefixes) const
{
    int tokens = 0;
    for (const auto& prefix : prefixes) {
        if (!m_index.contains(prefix.hash & hashMask))
            break;
        tokens = prefix.tokens;
    }
    return tokens;
}

void PrefixCacheEstimate::markUsed(uint64_t prefix)
{
    if (const auto found = m_index.find(prefix); found != m_index.end()) {
        m_order.splice(m_order.begin(), m_order, found->second);
        return;
    }
    m_order.push_front(prefix);
    m_index[prefix] = m_order.begin();
}

void PrefixCacheEstimate::forgetOldest(std::size_t keep)
{
    while (m_index.size() > keep) {
        m_index.erase(m_order.back());
        m_order.pop_back();
    }
}

} // namespace bronzeswitch
