#pragma once

#include <gateway/RoutingTable.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bronzeswitch {

/** Over which window a quota is enforced, and by how much usage in a window may exceed it. */
struct QuotaBounds {
    Duration window { 8000 };
    double overshoot = 0; /**< Tolerated excess as a fraction of what the quota allows in one window. */
    double slack = 0; /**< Further tolerated excess in tokens. */

    bool operator==(const QuotaBounds&) const = default;
};

/** Parameters of a token bucket. It grants at most capacity + maxDebt + refillPerSecond x window tokens in any window. */
struct TokenBucketLimits {
    double refillPerSecond = 0; /**< Tokens added per second. */
    double capacity = 0; /**< Most tokens that the bucket holds. */
    double maxDebt = 0; /**< Tokens by which a request may overdraw the bucket. */

    /** @return the parameters for bursts: the quota's burst is part of the capacity. */
    static TokenBucketLimits of(const TokenQuota&, const QuotaBounds&);

    /**
     * @return the parameters for a lasting load: what the quota allows in a window, burst included, is spread over the window.
     * Both pairs of parameters grant the same number of tokens in a window.
     */
    static TokenBucketLimits forLastingLoad(const TokenQuota&, const QuotaBounds&);

    bool operator==(const TokenBucketLimits&) const = default;
};

/** The decision on one request's tokens, with its inputs. */
struct QuotaDecision {
    bool isGranted = false;
    int tokens = 0; /**< Tokens that were requested. */
    Duration wait { 0 }; /**< Time after which a refused request may be granted. */
    int64_t balance = 0; /**< Tokens in the organisation's bucket at the deciding node, before the decision. */
    double share = 0; /**< Share of the quota that the deciding node held, 0 to 1. */

    bool operator==(const QuotaDecision&) const = default;
};

/** Timing of the leases under which nodes lend their shares. */
struct QuotaLeaseTimes {
    Duration renewInterval { 300 }; /**< Interval at which a lender renews a lease. */
    Duration lenderDuration { 1200 }; /**< For how long after lending its share the lender does not use it. */
    Duration homeDuration { 900 }; /**< The home node uses the share for this long; the difference covers the message delay. */

    bool operator==(const QuotaLeaseTimes&) const = default;
};

/**
 * The shares of all quotas that one node may use.
 *
 * Keeps an organisation within its quota when it sends many times its usual load through many nodes at once, while nodes are
 * killed, frozen or cut off from the others.
 *
 * Each of n nodes owns a share of 1/n of every quota. A share is a token bucket with 1/n of the rate and the capacity, and it
 * starts empty. There are two buckets, one for bursts and one for a lasting load (BucketPair). Organisations are divided into groups. Each
 * group has a home node, to which all nodes lend their shares under short leases, so that the home node can grant a request of any size
 * from the whole quota. A lender stops using its share before the home node receives it, and reclaims it empty after the home node has
 * stopped using it. So all nodes together never grant more than the quota, whichever messages are lost or late and whichever nodes restart
 * or are cut off; a fault only leaves a share unused for a while.
 *
 * Times must come from a clock that continues while the machine is suspended, so that leases have expired when it resumes.
 *
 *     shares.lend(group, home, now); // On the lender, which then sends the message.
 *     shares.addLentShare(group, lender, nodes, now); // On the home node.
 *     shares.tryAcquire("crews", tokens, now);
 */
class QuotaShares {
public:
    static constexpr int groups = 8; /**< Number of groups. */

    explicit QuotaShares(QuotaBounds, QuotaLeaseTimes = {});

    /** @return the group of an organisation, from 0 to groups - 1. */
    static int groupOf(std::string_view organisation);

    /** Applies the quotas of all organisations. Organisations that already had one keep their balance. */
    void configure(const RoutingTable&, TimePoint now);

    /** Sets the number of nodes that own a share, including this one. */
    void setNodeCount(int nodes, TimePoint now);

    /** Lets this node use its own share from now on. Called once the node knows its peers. */
    void activateOwnShare(TimePoint now);

    /** @return true if this node's share of a group may be lent, or its lease be renewed, to a home node now. */
    bool mayLend(int group, const std::string& home, TimePoint now) const;

    /** Lends this node's share of a group, or renews the lease. The home node must be notified afterwards, not before. */
    void lend(int group, const std::string& home, TimePoint now);

    /** Ends the lease of this node's share early, because the home node has reported that it no longer uses it. */
    void reclaim(int group, const std::string& home, TimePoint now);

    /** Adds a share that a peer has lent, or renews its lease. @param nodes number of nodes known to the peer. */
    void addLentShare(int group, const std::string& lender, int nodes, TimePoint now);

    /** Stops using the shares of a group that peers have lent. @return the lenders. */
    std::vector<std::string> returnLentShares(int group, TimePoint now);

    /**
     * Takes the tokens of one request if the shares usable here hold enough. Refuses organisations without a known quota.
     * @param tokensAhead tokens that are kept free for earlier requests.
     */
    QuotaDecision tryAcquire(const std::string& organisation, int tokens, TimePoint now, int64_t tokensAhead = 0);

    /** @return the share of a group's quotas that this node may use now, 0 to 1. */
    double share(int group, TimePoint now);

    const QuotaLeaseTimes& leaseTimes() const { return m_leaseTimes; }

private:
    struct LentShare {
        double size = 0;
        TimePoint since; /**< From when on it has been usable here without a break. */
        TimePoint until;
    };

    struct Bucket {
        TokenBucketLimits limits;
        double balance = 0;
    };

    /**
     * The two buckets of an organisation. Each grant is taken from both, and one of them suffices to grant a request: at any grant one
     * bucket shows that what has passed in the window before is within the quota. The share's last holder may have used its bucket
     * for bursts just before, so the bucket for a lasting load takes a share that has not been here for a window as used up.
     */
    struct BucketPair {
        Bucket bursts;
        Bucket lastingLoad;
    };

    /** What a request would have to wait for in one bucket. */
    struct BucketState {
        double balance = 0;
        double missing = 0;
        double refillPerSecond = 0;

        bool isSufficient() const { return balance > 0 && missing <= 0; }
        Duration wait() const;
    };

    struct Group {
        std::string lentTo; /**< Home node that this node's share was last lent to. */
        TimePoint ownUsableFrom = TimePoint::max(); /**< Time from which this node may use its own share. */
        std::map<std::string, LentShare> borrowed; /**< Shares that peers have lent, by lender. */
        std::map<std::string, BucketPair, std::less<>> buckets;
        TimePoint lastAdvance {};
    };

    double ownShare() const { return 1.0 / m_nodes; }
    double usableShare(const Group&, TimePoint now) const;

    /** @return the part of the usable share that has been here for a window. */
    double settledShare(const Group&, TimePoint now) const;

    void advance(Group&, TimePoint now);
    void refill(Bucket&, double shareSeconds, double share) const;
    static void addShare(Group&, double share);
    double grantedInWindow(const TokenBucketLimits&) const;
    static BucketState stateOf(const Bucket&, double balance, double share, int tokens, int64_t tokensAhead);

    QuotaBounds m_bounds;
    QuotaLeaseTimes m_leaseTimes;
    int m_nodes = 1;
    std::vector<Group> m_groups;
};

} // namespace bronzeswitch
