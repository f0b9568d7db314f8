#pragma once

#include <base/TimerService.h>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzeswitch {

/**
 * Learns how many requests at a time one upstream takes well, and how long it takes for one.
 *
 * Load pattern: upstreams of one service differ in speed by up to five times, some slow down long before they are full, and some are
 * slow for a while. The times of responses are kept apart by the load at which they were measured. An upstream that is slow at every
 * load keeps its limit and gets fewer requests by its service time. The limit falls to the load with the highest throughput only if
 * more load has brought no more throughput, for longer than the disturbances of shared machines last and over enough responses. It is
 * raised in steps by trial while it is used up, at a growing interval while trials fail, and expires if nothing confirms it.
 *
 * Times are divided by the pace of the machine, so that a change of pace does not look like an effect of load.
 *
 *     CapacityEstimate capacity(slots);
 *     capacity.onResponse(31, 4, now);
 *     const bool isFree = requests < capacity.limit(now);
 */
class CapacityEstimate {
public:
    /** Number of load levels, which are equal parts of the slots. */
    static constexpr std::size_t levelCount = 4;

    /** Mean time in milliseconds by load level; 0 where it is not known. */
    using Levels = std::array<double, levelCount>;

    explicit CapacityEstimate(int slots);

    /** Sets the highest value of the limit. */
    void setSlots(int slots);

    /** Records the number of slots that the upstream states; a lower one than the configured one limits it for a while. */
    void onStatedSlots(int slots, TimePoint now);

    /**
     * Records the time of a response.
     * @param milliseconds of the response, or between its tokens, at the usual pace of work.
     * @param load requests at the upstream, this one included.
     */
    void onResponse(double milliseconds, int load, TimePoint now);

    /** Records that the upstream refused a request because of its load. @param load requests at the upstream, without this one. */
    void onRefusal(int load, TimePoint now);

    /** Replaces the times that another node has measured. */
    void onPeerLevels(const std::string& node, const Levels&, TimePoint now);

    /** Forgets the times that a node has measured. */
    void forgetPeer(const std::string& node) { m_peers.erase(node); }

    /** @return how many requests the upstream should have at a time; at least 1. */
    int limit(TimePoint now) const;

    /** @return the expected time of a response in milliseconds at the usual pace, 0 if unknown. It falls while nothing is measured, so that
     * every upstream is tried again. */
    double serviceMs(TimePoint now) const;

    /** @return the time since the last response that was measured here; 0 if there was none. */
    Duration age(TimePoint now) const;

    /** @return the recent times that this node has measured, to share with other nodes. */
    Levels ownLevels(TimePoint now) const;

private:
    struct Level {
        double mean = 0;
        int samples = 0;
        TimePoint updatedAt {};
    };

    struct PeerLevels {
        Levels levels {};
        TimePoint receivedAt {};
    };

    /** What the times by load show. Between the two thresholds the limit stays, so that it does not oscillate. */
    struct LoadEffect {
        int bestLoad = 0; /**< Highest load of the level with the highest throughput. */
        bool isHighestBest = true; /**< No lower level has a higher throughput than the highest one that is known. */
        bool isExcessive = false; /**< A lower level has a clearly higher one. */
    };

    std::size_t levelOf(int load) const;
    int highestLoadOf(std::size_t level) const;
    /** @return the mean time at a level by all nodes, if there are enough measurements. */
    std::optional<double> timeAt(std::size_t level, TimePoint now) const;
    LoadEffect loadEffect(TimePoint now) const;
    double peerServiceMs(TimePoint now) const;
    void adjust(int load, TimePoint now);
    void lower(int limit, TimePoint now);
    void raise(TimePoint now);

    int m_slots;
    int m_limit;
    std::optional<int> m_statedSlots;
    TimePoint m_statedSlotsAt {};
    std::array<Level, levelCount> m_levels;
    std::map<std::string, PeerLevels> m_peers; /**< By node. */
    Level m_service; /**< Over all levels. */
    std::optional<TimePoint> m_excessSince; /**< Since when more load has brought no more throughput. */
    TimePoint m_confirmedAt {}; /**< When responses last showed that the limit is right, or changed it. */
    TimePoint m_nextAdjustment {};
    TimePoint m_nextTrial {};
    Duration m_trialInterval;
};

} // namespace bronzeswitch
