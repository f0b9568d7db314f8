#pragma once

#include <gateway/QuotaShares.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace bronzeswitch {

/** Identifies a request for tokens over its repetitions. */
struct QuotaTicket {
    std::string node;
    uint64_t id = 0; /**< Unique among the requests of the node. */

    bool operator==(const QuotaTicket&) const = default;
};

/** The decision on a request for tokens and whether it keeps its place in the queue. */
struct QuotaQueueDecision {
    QuotaDecision decision; /**< Its wait includes the requests ahead. */
    bool isQueued = false; /**< The request should be repeated after the wait; its tokens are kept free for it until then. */

    bool operator==(const QuotaQueueDecision&) const = default;
};

/**
 * Orders the requests that wait for tokens of a quota at its home node.
 *
 * Load pattern: all nodes restart, so every bucket begins empty, while the callers of the whole fleet return at the same time. Each
 * request alone would fit within a short wait, but a request that is refused and returns finds its tokens taken by a newer one. Here
 * a request that would fit within the wait that its caller can bear keeps its place, and later requests are decided as if its tokens were
 * taken. One that would not fit is refused at once, with the time at which the queue ahead of it will have been served.
 *
 * Requests differ in size by two orders of magnitude. A small one overtakes much larger ones: it delays them little, and in their
 * stead many callers are served.
 *
 * While demand stays above the quota after a restart, a queue in order of arrival would make every request late. Requests that can still be
 * answered in time go before those that have waited longer than that, which take the tokens that are left.
 *
 * A place grants nothing by itself: tokens are taken only when the shares hold them, so a place that is lost or left costs only time.
 */
class QuotaQueue {
public:
    /**
     * Decides on a request, or on its repetition.
     * @param maxWait longest wait for which the request keeps a place.
     * @param inTimeWait time since its first decision for which the request can still be answered in time.
     */
    QuotaQueueDecision decide(QuotaShares&, const std::string& organisation, int tokens, const QuotaTicket&, Duration maxWait,
        TimePoint now, Duration inTimeWait = maxInTimeWait);

private:
    static constexpr Duration maxInTimeWait { 3600000 };

    struct Place {
        QuotaTicket ticket;
        int tokens = 0;
        TimePoint until; /**< The place is dropped if the request is not repeated by then. */
        TimePoint inTimeUntil;
    };
    using Places = std::deque<Place>;

    static int64_t tokensAhead(const Places&, const QuotaTicket&, int tokens, TimePoint now);
    static void keep(Places&, const Place&);
    static void remove(Places&, const QuotaTicket&);

    std::map<std::string, Places> m_places; /**< By organisation, in order of arrival. */
};

} // namespace bronzeswitch
