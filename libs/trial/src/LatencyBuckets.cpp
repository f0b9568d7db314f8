#include <algorithm>
#include <cmath>
#include <trial/LatencyBuckets.h>

namespace bronzeswitch {

namespace {

constexpr double lowestBoundMs = 0.25;
constexpr double bucketsPerDoubling = 2;

} // namespace

std::size_t LatencyBuckets::indexOf(double milliseconds)
{
    const double index = bucketsPerDoubling * std::log2(std::max(milliseconds, lowestBoundMs) / lowestBoundMs);
    return std::min(static_cast<std::size_t>(index), count - 1);
}

double LatencyBuckets::middleOf(std::size_t index)
{
    return lowestBoundMs * std::exp2((static_cast<double>(index) + 1 / bucketsPerDoubling) / bucketsPerDoubling);
}

} // namespace bronzeswitch
