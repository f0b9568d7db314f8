#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeswitch {

/** Computes a 64-bit hash that is the same on every node and in every release. Not cryptographic. */
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

/**
 * Selects a member for a key by rendezvous hashing (highest random weight).
 * Nodes with the same member list select the same member. When a member is added or removed, only the keys that it gains or loses move.
 * @return the selected member, or an empty string if the list is empty.
 */
std::string selectByRendezvousHash(std::string_view key, const std::vector<std::string>& members);

/** Creates a random 128-bit identifier as 32 hexadecimal digits, unique without coordination between nodes. */
std::string randomId();

} // namespace bronzeswitch
