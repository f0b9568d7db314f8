#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeswitch {

/** 64-bit hash that is the same on every node and in every release. */
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

/**
 * Picks the member with the highest rendezvous weight for a key.
 * Nodes with the same member list agree, and a change of one member moves only the keys of that member.
 * @return the chosen member, or an empty string when there is none.
 */
std::string selectByRendezvousHash(std::string_view key, const std::vector<std::string>& members);

/** Creates an identifier that is unique without coordination, as 32 hexadecimal digits. */
std::string randomId();

} // namespace bronzeswitch
