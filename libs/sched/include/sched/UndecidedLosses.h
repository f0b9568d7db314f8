#pragma once

#include <base/TimerService.h>

#include <deque>
#include <string>
#include <vector>

namespace bronzeswitch {

/** A request that was lost together with its upstream, or with this node's path to several upstreams. */
struct UndecidedLoss {
    TimePoint time;
    std::string upstream;
    std::vector<std::string> parts; /**< Of the request's prompt. */

    bool operator==(const UndecidedLoss&) const = default;
};

/**
 * Keeps losses until it shows whether upstreams or the path to them were lost.
 *
 * Load pattern: connections to several upstreams break off together, since their requests crash all of them or since the path is cut. An
 * upstream that is reached over the same path later shows that the path is sound; silence shows that it was lost. The number is bounded.
 *
 *     losses.add({ now, "e1", parts });
 *     for (const auto& loss : losses.takeUpstreamLosses(lastReached, now))
 *         quarantine.onLost(loss.upstream, loss.parts, now);
 */
class UndecidedLosses {
public:
    /** Adds a loss; they are added in ascending order of time. */
    void add(UndecidedLoss);

    /**
     * Removes the losses that are decided.
     * @param lastReached when an upstream was last reached over the path.
     * @return those that are losses of upstreams, in ascending order of time.
     */
    std::vector<UndecidedLoss> takeUpstreamLosses(TimePoint lastReached, TimePoint now);

private:
    std::deque<UndecidedLoss> m_losses; /**< In ascending order of time. */
};

} // namespace bronzeswitch
