#pragma once

#include <cstddef>

namespace bronzeswitch {

/**
 * Buckets of a latency histogram. The first begins at a quarter of a millisecond; the bounds grow by the square root of two.
 *
 * Lower latencies count in the first bucket, higher ones in the last.
 */
struct LatencyBuckets {
    static constexpr std::size_t count = 40;

    /** @return the index of the bucket that a latency falls into. */
    static std::size_t indexOf(double milliseconds);

    /** @return the geometric middle of a bucket in milliseconds, which represents its latencies. */
    static double middleOf(std::size_t index);
};

} // namespace bronzeswitch
