#pragma once

#include <base/TimerService.h>

namespace bronzeswitch {

/** A grant that is older than this when its request would be sent is not used, so that it can't add up with newer ones. */
inline constexpr Duration maxColdStartGrantAge { 300 };

/** What an upstream tolerates while it is cold. */
struct ColdStartTolerance {
    double perSecond = 0; /**< Requests a second; 0 for no limit. */
    double overshoot = 1.5; /**< Multiple of perSecond that it may get, besides the slack, in any second. */
    double slack = 5; /**< In requests. */

    bool isLimited() const { return perSecond > 0; }
    /** @return requests that it may get in any second. */
    double total() const { return perSecond * overshoot + slack; }

    bool operator==(const ColdStartTolerance&) const = default;
};

/** The rates at which one scheduler grants requests at one upstream, in requests a second; 0 for none. */
struct ColdStartRates {
    double cold = 0; /**< While the upstream is known to be cold or may be cold. */
    double warm = 0; /**< At all other times: it may have become cold without anybody knowing. */

    /**
     * @return the rates of a scheduler that grants for the whole pool.
     * @param share part of the tolerated total that the scheduler may use, from 0 to 1; schedulers that don't hear each other divide it.
     * @param isNew the former scheduler may still be granting its own share for a while: the cold rate uses what that leaves.
     */
    static ColdStartRates ofHome(const ColdStartTolerance&, double share, bool isNew);

    /** @return the rates of a scheduler that decides for its own node only. It uses no upstream that may be cold. */
    static ColdStartRates withoutHome(const ColdStartTolerance&, double share);

    bool operator==(const ColdStartRates&) const = default;
};

/**
 * Limits the requests that one upstream gets by what it tolerates while it is cold.
 *
 * Load pattern: an engine that has just started is idle, so that it looks like the cheapest one of its pool, and crashes if it gets far
 * more requests a second than it tolerates. It may become cold at any moment, and this is known only afterwards. A token bucket therefore
 * bounds the requests of every second: always by what a cold engine survives, and by the rate that it tolerates while it may be cold. The
 * bucket holds one request and what the rate allows in 100 ms, the interval at which waiting requests are granted. After the cold time the
 * rate rises steadily for a second, so that the load has no jump. A new limit begins with an empty bucket, counts as cold, and grants
 * nothing before its rates are set.
 *
 *     limit.setRates(ColdStartRates::ofHome(tolerance, share, false), now);
 *     limit.setColdUntil(now + Duration(3000), now);
 *     if (limit.mayGrant(now))
 *         limit.onGrant(now);
 */
class ColdStartLimit {
public:
    void setRates(const ColdStartRates&, TimePoint now);
    void setColdUntil(TimePoint, TimePoint now);

    /** Empties the bucket, since another scheduler may have granted until now. */
    void restart(TimePoint now);

    /** @return true if the upstream may get a request now. */
    bool mayGrant(TimePoint now) const { return rate(now) > 0 && tokens(now) >= 1; }

    /** Counts a request. */
    void onGrant(TimePoint now);

    /** @return true if the upstream is cold or may be. */
    bool isCold(TimePoint now) const { return now < m_coldUntil; }

private:
    double rate(TimePoint) const;
    double tokens(TimePoint now) const;
    double accrued(TimePoint from, TimePoint to) const;
    void settle(TimePoint now);

    ColdStartRates m_rates;
    TimePoint m_coldUntil = TimePoint::max();
    double m_tokens = 0; /**< Requests that it might get at m_countedAt. */
    TimePoint m_countedAt {};
};

} // namespace bronzeswitch
