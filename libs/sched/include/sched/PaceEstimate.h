#pragma once

#include <base/TimerService.h>

#include <optional>

namespace bronzeswitch {

/**
 * Estimates how long work takes on an upstream's machine, from the pace that the upstream states.
 *
 * Load pattern: machines are shared, so that for a part of the time work takes a multiple of the usual time, and this changes several
 * times a second. A stated pace therefore applies to the work of the next few hundred milliseconds only. Later work is expected to
 * run at the average pace, which also contains any lasting difference between machines.
 *
 *     pace.onPace(2.5, now);
 *     const double seconds = pace.expectedSeconds(0.03, now);
 */
class PaceEstimate {
public:
    /** A pace and its age, to share with other nodes. */
    struct Report {
        double pace = 1; /**< Time that work takes, as a multiple of the usual time. */
        Duration age { 0 };

        bool operator==(const Report&) const = default;
    };

    /**
     * Records a pace that a response to this node has stated. One that was measured before the last known one is ignored.
     * @param pace time that work takes, as a multiple of the usual time.
     */
    void onPace(double pace, TimePoint measuredAt);

    /** Records a pace that another node has reported. */
    void onPeerPace(const Report&, TimePoint now);

    /** @return the expected pace at this time: the last stated one, which gives way to the average within its lifetime. */
    double present(TimePoint now) const;

    /** @return the recent average; 1 if no pace is known. */
    double average() const { return m_average; }

    /** @return the expected time of work that starts now. @param seconds time of the work at the average pace. */
    double expectedSeconds(double seconds, TimePoint now) const;

    /** @return the last pace that an upstream has stated to this node, while it is fresh. */
    std::optional<Report> report(TimePoint now) const;

    /** @return true if any pace is known. */
    bool isKnown() const { return m_isKnown; }

private:
    void record(double pace, TimePoint measuredAt);

    bool m_isKnown = false;
    bool m_isFromPeer = false; /**< Whether the last pace came from another node. */
    double m_last = 1;
    double m_average = 1;
    TimePoint m_measuredAt {};
};

} // namespace bronzeswitch
