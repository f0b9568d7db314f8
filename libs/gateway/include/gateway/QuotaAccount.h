#pragma once

#include <gateway/RoutingTable.h>

#include <cstdint>

namespace bronzeswitch {

/**
 * One node's view of what an organisation may still use, over all nodes.
 *
 * Answers an organisation that sends many times its usual: every node keeps the same bucket, takes out at once what it
 * admits itself and later what its peers tell. What is admitted too much in between is owed and paid back. A node that is
 * silent may go on admitting its part, so that part is left to it for a while.
 */
class QuotaAccount {
public:
    explicit QuotaAccount(TimePoint now);

    /**
     * Takes tokens for one request.
     * @param peerTokens that peers have admitted in all.
     * @param silentShare part of the rate that may be in use where it can't be seen, 0 to 1.
     * @return false if the quota is used up; nothing is taken then.
     */
    bool take(const TokenQuota&, int tokens, int64_t peerTokens, double silentShare, TimePoint now);

    /** @return tokens admitted by this node. */
    int64_t ownTokens() const { return m_ownTokens; }

private:
    void refill(const TokenQuota&, double silentShare, TimePoint now);

    double m_level = 0;
    bool m_isStarted = false;
    TimePoint m_refilled;
    int64_t m_peerTokens = 0;
    int64_t m_ownTokens = 0;
};

} // namespace bronzeswitch
