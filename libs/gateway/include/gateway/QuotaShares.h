#pragma once

#include <gateway/RoutingTable.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeswitch {

/** How a quota is held: over which time, and how much more than it may pass in that time. */
struct QuotaBounds {
    Duration window { 8000 };
    double overshoot = 0; /**< Part of the allowance that may pass on top. */
    double slack = 0; /**< Tokens that may pass on top of that. */

    bool operator==(const QuotaBounds&) const = default;
};

/** A quota as a bucket that fills steadily: what passes in a window is at most capacity + debt + perSecond x window. */
struct TokenBucketLimits {
    double refillPerSecond = 0; /**< Tokens. */
    double capacity = 0; /**< Tokens that can be saved. */
    double maxDebt = 0; /**< Tokens that a request may take beyond what has been saved. */

    /** @return the largest bucket that a quota and its bounds allow. */
    static TokenBucketLimits of(const TokenQuota&, const QuotaBounds&);

    bool operator==(const TokenBucketLimits&) const = default;
};

/** What was decided on one request's tokens, and from which inputs. */
struct QuotaDecision {
    bool isGranted = false;
    int tokens = 0; /**< That the request asked for. */
    Duration wait { 0 }; /**< After which a refused request may fit. */
    int64_t balance = 0; /**< Tokens that the deciding node had saved for the organisation. */
    double share = 0; /**< Part of the quota that the deciding node held, 0 to 1. */

    bool operator==(const QuotaDecision&) const = default;
};

/** Times of the lending of shares between nodes. */
struct QuotaLeaseTimes {
    Duration renewInterval { 300 }; /**< From one lending to the next. */
    Duration lenderDuration { 1200 }; /**< The lender leaves its share alone for so long. */
    Duration homeDuration { 900 }; /**< The home uses it for so long after it was told; the difference covers the message's way. */

    bool operator==(const QuotaLeaseTimes&) const = default;
};

/**
 * The shares of all quotas that one node may use.
 *
 * Answers an organisation that sends many times its usual, through many nodes at once, while nodes are killed, frozen or cut off.
 * Each of n nodes owns a share of 1/n of every quota. A share is a token bucket of its own: it fills at its part of the rate, holds
 * its part of the capacity, and begins empty. Organisations fall into groups; each group has a home, to which all nodes lend their
 * shares under short leases, so that a request of any size finds the whole quota in one place. A node gives its share up before the
 * home gets it, and takes it back empty after the home has stopped using it. So all shares together never let more pass than the
 * quota, whatever is lost, late, restarted or cut off; trouble only leaves a share unused for a while.
 *
 * Times come from a clock that goes on while the machine is suspended, so that a node that wakes finds its leases ended.
 *
 *     shares.lend(group, home, now);           // At the lender, then the message goes out.
 *     shares.addLentShare(group, lender, nodes, now);  // At the home.
 *     shares.tryAcquire("crews", tokens, now);
 */
class QuotaShares {
public:
    static constexpr int groups = 8;

    explicit QuotaShares(QuotaBounds, QuotaLeaseTimes = {});

    /** @return the group of an organisation. */
    static int groupOf(std::string_view organisation);

    /** Takes the organisations with limits; what they have saved stays. */
    void configure(const RoutingTable&, TimePoint now);

    /** Sets how many nodes own a share, with this one. */
    void setNodeCount(int nodes, TimePoint now);

    /** Lets the node use its own share from now on, once it knows its peers. */
    void activateOwnShare(TimePoint now);

    /** @return true if the own share of a group may be lent to a node now. */
    bool mayLend(int group, const std::string& home, TimePoint now) const;

    /** Gives the own share of a group up, or goes on with it; the home may be told afterwards. */
    void lend(int group, const std::string& home, TimePoint now);

    /** Takes the own share back at once, because the home has said that it uses it no longer. */
    void reclaim(int group, const std::string& home, TimePoint now);

    /** Takes a share that a peer has lent. @param nodes that the peer counts. */
    void addLentShare(int group, const std::string& lender, int nodes, TimePoint now);

    /** Stops using the shares that peers have lent. @return the lenders. */
    std::vector<std::string> returnLentShares(int group, TimePoint now);

    /** Takes tokens for one request, if the shares that are here hold them; an organisation without a known limit has none. */
    QuotaDecision tryAcquire(const std::string& organisation, int tokens, TimePoint now);

    /** @return the part of a group's quotas that this node may use, 0 to 1. */
    double share(int group, TimePoint now);

    const QuotaLeaseTimes& leaseTimes() const { return m_leaseTimes; }

private:
    struct HeldShare {
        double size = 0;
        TimePoint until;
    };

    struct Bucket {
        TokenBucketLimits limits;
        double balance = 0;
    };

    struct Group {
        std::string lentTo;
        TimePoint ownFrom = TimePoint::max(); /**< The own share may be used from then on. */
        std::map<std::string, HeldShare> held; /**< By lender. */
        std::map<std::string, Bucket, std::less<>> buckets;
        TimePoint advanced {};
    };

    double ownShare() const { return 1.0 / m_nodes; }
    double shareAt(const Group&, TimePoint now) const;
    void advance(Group&, TimePoint now);
    static void addShare(Group&, double share);

    QuotaBounds m_bounds;
    QuotaLeaseTimes m_leaseTimes;
    int m_nodes = 1;
    std::vector<Group> m_groups;
};

} // namespace bronzeswitch
