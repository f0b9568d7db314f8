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
 * Marks growing prefixes of a prompt: after 1, 2, 4, 8, ... blocks of 64 tokens.
 * @return one mark for each whole prefix, shortest first; empty for a prompt below one block.
 */
std::vector<PromptPrefix> prefixMarks(std::string_view prompt);

/**
 * What an upstream's prefix cache is expected to hold, learned from the dispatches to it and corrected by its events.
 *
 * Events come late and with gaps. After a gap the older half is forgotten, since evictions may have been missed.
 */
class PrefixHistory {
public:
    /** Notes that a prompt with these prefixes was dispatched. */
    void onDispatch(const std::vector<PromptPrefix>& prefixes);

    /** Takes a cache event; sequence numbers tell of gaps. */
    void onEvent(int64_t sequence, bool isStored, uint64_t prefix);

    /** @return the tokens of the longest prefix that is expected to be cached. */
    int cachedTokens(const std::vector<PromptPrefix>& prefixes) const;

    /** @return the sequence number of the next event to ask for. */
    int64_t nextEvent() const { return m_nextEvent; }

    std::size_t size() const { return m_index.size(); }

private:
    void touch(uint64_t prefix);
    void forgetOldest(std::size_t keep);

    std::list<uint64_t> m_order;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_index;
    int64_t m_nextEvent = 1;
};

} // namespace bronzeswitch
