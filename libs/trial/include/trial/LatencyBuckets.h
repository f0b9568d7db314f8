#pragma once

#include <cstddef>

namespace bronzeswitch {

/** Buckets of a latency histogram; their bounds grow by the square root of two from a quarter of a millisecond. */
struct LatencyBuckets {
    static constexpr std::size_t count = 40;

    /** @return the bucket of a time in milliseconds. */
    static std::size_t indexOf(double milliseconds);

    /** @return a time in milliseconds that stands for a bucket. */
    static double middleOf(std::size_t index);
};

} // namespace bronzeswitch
