#include <base/RequestIdSequence.h>
#include <random>

namespace bronzeswitch {

namespace {

constexpr uint64_t maxStart = uint64_t(1) << 62U; // Leaves room to count on.

uint64_t randomStart()
{
    std::random_device device;
    std::seed_seq seed { device(), device(), device(), device() };
    std::mt19937_64 generator(seed);
    return std::uniform_int_distribution<uint64_t>(0, maxStart)(generator);
}

} // namespace

RequestIdSequence::RequestIdSequence()
    : m_last(randomStart())
{
}

} // namespace bronzeswitch
