#include <base/Hash.h>

#include <random>

namespace bronzeswitch {

namespace {

// FNV-1a, 64 bits.
constexpr uint64_t fnvOffsetBasis = 14695981039346656037ULL;
constexpr uint64_t fnvPrime = 1099511628211ULL;

// The 64-bit finalizer of MurmurHash3 (fmix64).
uint64_t murmurFinalize(uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

} // namespace

uint64_t stableHash(std::string_view text, uint64_t seed)
{
    uint64_t value = fnvOffsetBasis ^ murmurFinalize(seed);
    for (const char character : text) {
        value ^= static_cast<unsigned char>(character);
        value *= fnvPrime;
    }
    return murmurFinalize(value);
}

std::string selectByRendezvousHash(std::string_view key, const std::vector<std::string>& members)
{
    const auto keyHash = stableHash(key);
    std::string best;
    uint64_t bestWeight = 0;
    for (const auto& member : members) {
        const auto weight = stableHash(member, keyHash);
        if (best.empty() || weight > bestWeight || (weight == bestWeight && member < best)) {
            best = member;
            bestWeight = weight;
        }
    }
    return best;
}

std::string randomId()
{
    constexpr int digits = 32;
    constexpr int digitsPerValue = 16;
    thread_local std::mt19937_64 generator(std::random_device {}());
    static constexpr char alphabet[] = "0123456789abcdef";
    std::string id;
    while (id.size() < digits) {
        auto randomBits = generator();
        for (int i = 0; i < digitsPerValue; ++i, randomBits >>= 4)
            id += alphabet[randomBits & 0xf];
    }
    return id;
}

} // namespace bronzeswitch
