#pragma once

#include <base/TimerService.h>

#include <optional>

namespace bronzeswitch {

/**
 * Limits how many requests a second one upstream gets.
 *
 * Load pattern: an upstream in need states a limit of a few requests a second, far below what its free slots would let it get, so that it
 * looks like the cheapest one of its pool all the time. A token bucket holds what the limit allows in half a second and one request more.
 * The sum over 4 s thus stays below one and a half times the limit and five requests, even if four schedulers take over from one another in
 * that time and each begins with a full bucket. An upstream that states a limit near 0 still gets a request now and then, since only its
 * responses can end the limit.
 *
 *     limit.set(1.4, now);
 *     if (limit.mayGrant(now))
 *         limit.onGrant(now);
 */
class RequestRateLimit {
public:
    /** Sets the limit, none if the upstream states none. A new limit begins with an empty bucket. @param perSecond requests a second. */
    void set(std::optional<double> perSecond, TimePoint now);

    /** @return true if the upstream may get a request now. */
    bool mayGrant(TimePoint now) const { return !m_perSecond || tokens(now) >= 1; }

    /** @return true if the upstream states a limit. */
    bool isLimited() const { return m_perSecond.has_value(); }

    /** Counts a request. */
    void onGrant(TimePoint now);

private:
    double tokens(TimePoint now) const;

    std::optional<double> m_perSecond;
    double m_tokens = 0; /**< Requests that it might get at m_countedAt. */
    TimePoint m_countedAt {};
};

} // namespace bronzeswitch
