#include <algorithm>
#include <cmath>
#include <gateway/QuotaEnforcer.h>

namespace bronzeswitch {

namespace {

constexpr Duration discoveryTime { 700 }; // After the start, for the nodes to discover each other.
constexpr Duration stableCountTime { 300 }; // For which the number of known nodes must have stayed the same.
constexpr Duration stallLimit { 300 }; // A longer pause between ticks shows that the process was stalled.
constexpr Duration grantMemory { 1000 }; // For which a resent request gets the same response.
constexpr double sufficientShare = 0.5; // Of the shares that the live nodes own together.
constexpr double millionths = 1e6;

} // namespace

QuotaEnforcer::QuotaEnforcer(Executor executor, QuotaBounds bounds, DecisionLog& log)
    : m_executor(executor)
    , m_log(log)
    , m_window(bounds.window)
    , m_shares(bounds)
    , m_started(suspendAwareNow())
    , m_nodeCountChanged(m_started)
    , m_lastTick(m_started)
{
}

void QuotaEnforcer::connect(std::string node, Callbacks callbacks)
{
    m_node = std::move(node);
    m_callbacks = std::move(callbacks);
}

void QuotaEnforcer::configure(const RoutingTable& table)
{
    m_shares.configure(table, suspendAwareNow());
    m_limitedGroups.clear();
    for (const auto& organisation : table.document().organisations) {
        if (organisation.quota.isLimited())
            m_limitedGroups.insert(QuotaShares::groupOf(organisation.name));
    }
}

std::string QuotaEnforcer::homeOf(int group) const { return m_callbacks.homeOf("quota/" + std::to_string(group)); }

Task<QuotaResult> QuotaEnforcer::acquire(std::string organisation, int tokens, QuotaWaits waits, TimePoint deadline)
{
    const QuotaRequest request { m_requestIds.next(), std::move(organisation), tokens, waits.usual.count(), waits.afterTakeover.count() };
    const auto longestWait = std::max(m_waitLimits.convergenceTimeout, waits.longest()) + m_waitLimits.lastTryGrace;
    const auto lastTry = std::min(deadline, monotonicNow() + longestWait);
    for (;;) {
        auto result = co_await requestTokens(request, lastTry);
        const bool mayRepeat = result.isQueued || result.isInconclusive;
        if (result.decision.isGranted || !mayRepeat || monotonicNow() >= lastTry)
            co_return result;
        co_await sleepFor(m_executor, result.isQueued ? result.decision.wait : m_waitLimits.convergenceRetryDelay);
    }
}

Task<QuotaResult> QuotaEnforcer::requestTokens(QuotaRequest request, TimePoint deadline)
{
    const auto home = homeOf(QuotaShares::groupOf(request.organisation));
    if (home == m_node || home.empty()) {
        const auto [decision, isQueued] = decide(m_node, request, suspendAwareNow());
        co_return QuotaResult { decision, m_node, !isSufficient(decision.share), isQueued };
    }
    const auto pending = std::make_shared<PendingRequest>(m_executor);
    m_pending[request.id] = pending;
    auto timeout = m_waitLimits.firstTimeout;
    for (int sending = 0; sending < m_waitLimits.maxSends && !pending->event.isSet() && monotonicNow() < deadline; ++sending) {
        m_callbacks.send(home, request);
        co_await pending->event.wait(std::min(deadline, monotonicNow() + timeout));
        timeout *= 2;
    }
    m_pending.erase(request.id);
    QuotaResult result { { false, request.tokens, m_waitLimits.convergenceRetryDelay, 0, 0 }, home, true, false };
    if (!pending->response)
        co_return result;
    const auto& response = *pending->response;
    result.decision
        = { response.isGranted, request.tokens, Duration(response.waitMs), response.balance, response.shareMillionths / millionths };
    result.isInconclusive = !isSufficient(result.decision.share);
    result.isQueued = response.isQueued;
    co_return result;
}

QuotaQueueDecision QuotaEnforcer::decide(const std::string& node, const QuotaRequest& request, TimePoint now)
{
    const int group = QuotaShares::groupOf(request.organisation);
    const Duration maxWait(isNewHome(group, now) ? request.maxWaitAfterTakeoverMs : request.maxWaitMs);
    return m_queue.decide(m_shares, request.organisation, request.tokens, { node, request.id }, maxWait, now, Duration(request.maxWaitMs));
}

bool QuotaEnforcer::isNewHome(int group, TimePoint now) const
{
    const auto since = m_homeSince.find(group);
    return since == m_homeSince.end() || now - since->second < m_window;
}

// A node that hears no other node has only its own share and can't wait for more, so the threshold counts live nodes only.
bool QuotaEnforcer::isSufficient(double share) const
{
    return share * m_callbacks.knownNodeCount() >= sufficientShare * m_callbacks.liveNodeCount();
}

bool QuotaEnforcer::onMessage(const std::string& from, const Message& message)
{
    if (const auto* request = std::get_if<QuotaRequest>(&message))
        onRequest(from, *request);
    else if (const auto* response = std::get_if<QuotaResponse>(&message))
        onResponse(*response);
    else if (const auto* loan = std::get_if<QuotaShareLoan>(&message))
        onLoan(from, *loan);
    else if (const auto* returned = std::get_if<QuotaShareReturn>(&message))
        onReturn(from, *returned);
    else
        return false;
    return true;
}

void QuotaEnforcer::onResponse(const QuotaResponse& response)
{
    const auto found = m_pending.find(response.id);
    if (found == m_pending.end())
        return;
    found->second->response = response;
    found->second->event.set();
}

void QuotaEnforcer::onRequest(const std::string& from, const QuotaRequest& request)
{
    const auto now = suspendAwareNow();
    while (!m_recentGrants.empty() && m_recentGrants.front().time < now - grantMemory)
        m_recentGrants.pop_front();
    const auto known = std::find_if(m_recentGrants.rbegin(), m_recentGrants.rend(),
        [&](const RecentGrant& recent) { return recent.response.id == request.id && recent.node == from; });
    if (known != m_recentGrants.rend()) {
        m_callbacks.send(from, known->response);
        return;
    }
    const auto [decision, isQueued] = decide(from, request, now);
    const QuotaResponse response { request.id, decision.isGranted, decision.wait.count(), decision.balance,
        static_cast<int>(std::lround(decision.share * millionths)), isQueued };
    if (decision.isGranted)
        m_recentGrants.push_back({ from, now, response });
    m_callbacks.send(from, response);
}

// Loans that arrived while this process was stalled are ignored, since the lender may have reclaimed its share since.
void QuotaEnforcer::onLoan(const std::string& from, const QuotaShareLoan& loan)
{
    const auto now = suspendAwareNow();
    const bool isStale = now < m_stalledUntil || now - m_lastTick > stallLimit;
    if (isStale || m_isStopping)
        return;
    for (const int group : loan.groups) {
        if (group >= 0 && group < QuotaShares::groups)
            m_shares.addLentShare(group, from, loan.nodes, now);
    }
}

void QuotaEnforcer::onReturn(const std::string& from, const QuotaShareReturn& returned)
{
    const auto now = suspendAwareNow();
    for (const int group : returned.groups) {
        if (group >= 0 && group < QuotaShares::groups)
            m_shares.reclaim(group, from, now);
    }
    lendShares(now);
}

void QuotaEnforcer::tick()
{
    const auto now = suspendAwareNow();
    if (now - m_lastTick > stallLimit)
        m_stalledUntil = now + stallLimit;
    m_lastTick = now;
    updateNodeCount(now);
    updateHomes(now);
    if (now - m_lastLend < m_shares.leaseTimes().renewInterval)
        return;
    m_lastLend = now;
    lendShares(now);
}

void QuotaEnforcer::updateNodeCount(TimePoint now)
{
    const int known = m_callbacks.knownNodeCount();
    if (known != m_nodeCount) {
        m_nodeCount = known;
        m_nodeCountChanged = now;
        m_shares.setNodeCount(known, now);
    }
    const bool isSettled = now - m_started >= discoveryTime && now - m_nodeCountChanged >= stableCountTime;
    if (isSettled && m_callbacks.isFleetKnown())
        m_shares.activateOwnShare(now);
}

void QuotaEnforcer::updateHomes(TimePoint now)
{
    for (const int group : m_limitedGroups) {
        const bool isHome = !m_isStopping && homeOf(group) == m_node;
        if (isHome == m_homeSince.contains(group))
            continue;
        if (isHome) {
            m_homeSince[group] = now;
            m_log.write(events::homeTaken, { { "quotas", group }, { "share", m_shares.share(group, now) } });
            continue;
        }
        m_homeSince.erase(group);
        returnShares(group, now);
    }
}

// Returns the lent shares of a group early, so that its next home node gets them before their leases end.
void QuotaEnforcer::returnShares(int group, TimePoint now)
{
    const auto lenders = m_shares.returnLentShares(group, now);
    m_log.write(
        events::homeLeft, { { "quotas", group }, { "lenders", lenders.size() }, { "reason", m_isStopping ? "stopping" : "moved" } });
    for (const auto& lender : lenders)
        m_callbacks.send(lender, QuotaShareReturn { { group } });
}

void QuotaEnforcer::lendShares(TimePoint now)
{
    std::map<std::string, QuotaShareLoan> loans;
    for (const int group : m_limitedGroups) {
        const auto home = homeOf(group);
        if (home.empty() || home == m_node || !m_shares.mayLend(group, home, now))
            continue;
        if (m_callbacks.isSilent && m_callbacks.isSilent(home))
            continue;
        m_shares.lend(group, home, now);
        auto& loan = loans[home];
        loan.nodes = m_nodeCount;
        loan.groups.push_back(group);
    }
    for (const auto& [home, loan] : loans)
        m_callbacks.send(home, loan);
}

void QuotaEnforcer::returnAllShares()
{
    m_isStopping = true;
    updateHomes(suspendAwareNow());
}

} // namespace bronzeswitch
