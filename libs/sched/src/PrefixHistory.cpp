#include <base/Hash.h>
#include <sched/PrefixHistory.h>

namespace bronzeswitch {

namespace {

constexpr std::size_t blockCharacters = 256;
constexpr int tokensPerBlock = 64;
constexpr std::size_t maxPrefixes = 12;
constexpr std::size_t maxEntries = 4096;
constexpr uint64_t kept = 0xffffffff; // Half of the hash is enough for a hint and keeps asks short.

} // namespace

std::vector<PromptPrefix> prefixMarks(std::string_view prompt)
{
    std::vector<PromptPrefix> marks;
    uint64_t chain = 0;
    std::size_t nextKept = 1;
    for (std::size_t block = 1; block * blockCharacters <= prompt.size() && marks.size() < maxPrefixes; ++block) {
        chain = stableHash(prompt.substr((block - 1) * blockCharacters, blockCharacters), chain);
        if (block != nextKept)
            continue;
        marks.push_back({ chain & kept, static_cast<int>(block) * tokensPerBlock });
        nextKept *= 2;
    }
    return marks;
}

void PrefixHistory::onDispatch(const std::vector<PromptPrefix>& prefixes)
{
    for (const auto& prefix : prefixes)
        touch(prefix.hash & kept);
    forgetOldest(maxEntries);
}

void PrefixHistory::onEvent(int64_t sequence, bool isStored, uint64_t prefix)
{
    if (sequence < m_nextEvent)
        return;
    if (sequence > m_nextEvent)
        forgetOldest(m_index.size() / 2);
    m_nextEvent = sequence + 1;
    const auto found = m_index.find(prefix & kept);
    if (isStored || found == m_index.end())
        return;
    m_order.erase(found->second);
    m_index.erase(found);
}

int PrefixHistory::cachedTokens(const std::vector<PromptPrefix>& prefixes) const
{
    int tokens = 0;
    for (const auto& prefix : prefixes) {
        if (!m_index.contains(prefix.hash & kept))
            break;
        tokens = prefix.tokens;
    }
    return tokens;
}

void PrefixHistory::touch(uint64_t prefix)
{
    if (const auto found = m_index.find(prefix); found != m_index.end()) {
        m_order.splice(m_order.begin(), m_order, found->second);
        return;
    }
    m_order.push_front(prefix);
    m_index[prefix] = m_order.begin();
}

void PrefixHistory::forgetOldest(std::size_t keep)
{
    while (m_index.size() > keep) {
        m_index.erase(m_order.back());
        m_order.pop_back();
    }
}

} // namespace bronzeswitch
