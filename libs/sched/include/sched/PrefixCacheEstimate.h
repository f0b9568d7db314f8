#pragma once

#include <protocol/Messages.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzeswitch {

/**
 * Identifies growing prefixes of a prompt, after 1, 2, 4, 8, ... blocks of 64 tokens, as estimated from the characters.
 * @return all complete prefixes, shortest first; empty for a prompt shorter than one block.
 */
std::vector<PromptPrefix> promptPrefixes(std::string_view prompt);

/**
 * Estimates which prefixes an upstream's prefix cache holds, from the prompts dispatched to it and from its cache events.
 *
 * Events arrive late and some are lost. After a gap in the sequence numbers the least recently used half is forgotten, since
 * evictions may have been missed.
 */
class PrefixCacheEstimate {
public:
    /** Adds the prefixes of a dispatched prompt. */
    void onDispatch(const std::vector<PromptPrefix>& prefixes);

    /**
     * Handles a cache event; an eviction removes the prefix. Events that were already handled are ignored.
     * @param isStored true if the upstream has stored the prefix, false if it has evicted it.
     */
    void onEvent(int64_t sequence, bool isStored, uint64_t prefix);

    /** @return the number of tokens in the longest prefix that is expected to be cached. */
    int cachedTokens(const std::vector<PromptPrefix>& prefixes) const;

    /** @return the sequence number of the next event to request. */
    int64_t nextEvent() const { return m_nextEvent; }

    std::size_t size() const { return m_index.size(); }

private:
    void markUsed(uint64_t prefix);
    void forgetOldest(std::size_t keep);

    std::list<uint64_t> m_order; /**< Prefixes, most recently used first. */
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_index;
    int64_t m_nextEvent = 1;
};

} // namespace bronzeswitch
