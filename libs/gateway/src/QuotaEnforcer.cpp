#include <algorithm>
#include <cmath>
#include <gateway/QuotaEnforcer.h>

namespace bronzeswitch {

namespace {

constexpr Duration settleTime { 700 }; // After the start; nodes come to know each other.
constexpr Duration settleRest { 300 }; // Without news of another node.
constexpr Duration stallLimit { 300 }; // A tick that is later than this shows that the process stood still.
constexpr Duration answerMemory { 1000 };
constexpr double enoughShare = 0.5; // Of what the live nodes own together.
constexpr double millionths = 1e6;

} // namespace

QuotaEnforcer::QuotaEnforcer(Executor executor, QuotaBounds bounds, DecisionLog& log)
    : m_executor(executor)
    , m_log(log)
    , m_shares(bounds)
    , m_started(suspendAwareNow())
    , m_nodesChanged(m_started)
    , m_lastTick(m_started)
{
}

void QuotaEnforcer::connect(std::string node, Links links)
{
    m_node = std::move(node);
    m_links = std::move(links);
}

void QuotaEnforcer::configure(const RoutingTable& table)
{
    m_shares.configure(table, suspendAwareNow());
    m_usedGroups.clear();
    for (const auto& organisation : table.document().organisations) {
        if (organisation.quota.isLimited())
            m_usedGroups.insert(QuotaShares::groupOf(organisation.name));
    }
}

std::string QuotaEnforcer::homeOf(int group) const { return m_links.homeOf("quota/" + std::to_string(group)); }

Task<QuotaResult> QuotaEnforcer::acquire(std::string organisation, int tokens, TimePoint deadline)
{
    const auto lastTry = std::min(deadline, monotonicNow() + m_waitLimits.convergenceTimeout);
    for (int waits = 0;;) {
        auto verdict = co_await ask(organisation, tokens, lastTry);
        if (verdict.decision.isGranted || monotonicNow() >= lastTry)
            co_return verdict;
        auto pause = m_waitLimits.convergenceRetryDelay;
        if (!verdict.isInconclusive) {
            pause = verdict.decision.wait;
            if (pause > m_waitLimits.maxShortWait || ++waits > m_waitLimits.maxShortWaits)
                co_return verdict;
        }
        co_await sleepFor(m_executor, pause);
    }
}

Task<QuotaResult> QuotaEnforcer::ask(std::string organisation, int tokens, TimePoint deadline)
{
    const auto home = homeOf(QuotaShares::groupOf(organisation));
    if (home == m_node || home.empty())
        co_return decideHere(organisation, tokens);
    const QuotaRequest message { ++m_lastRequestId, organisation, tokens };
    const auto waiting = std::make_shared<Waiting>(m_executor);
    m_waiting[message.id] = waiting;
    auto bound = m_waitLimits.firstTimeout;
    for (int sending = 0; sending < m_waitLimits.maxSends && !waiting->event.isSet() && monotonicNow() < deadline; ++sending) {
        m_links.send(home, message);
        co_await waiting->event.wait(std::min(deadline, monotonicNow() + bound));
        bound *= 2;
    }
    m_waiting.erase(message.id);
    QuotaResult verdict { { false, tokens, m_waitLimits.convergenceRetryDelay, 0, 0 }, home, true };
    if (!waiting->answer)
        co_return verdict;
    const auto& answer = *waiting->answer;
    verdict.decision = { answer.isGranted, tokens, Duration(answer.waitMs), answer.balance, answer.shareMillionths / millionths };
    verdict.isInconclusive = !isEnough(verdict.decision.share);
    co_return verdict;
}

QuotaResult QuotaEnforcer::decideHere(const std::string& organisation, int tokens)
{
    const auto decision = m_shares.tryAcquire(organisation, tokens, suspendAwareNow());
    return { decision, m_node, !isEnough(decision.share) };
}

// A node that hears nobody has its own share only, and can't wait for more.
bool QuotaEnforcer::isEnough(double share) const { return share * m_links.knownNodeCount() >= enoughShare * m_links.liveNodeCount(); }

bool QuotaEnforcer::onMessage(const std::string& from, const Message& message)
{
    if (const auto* ask = std::get_if<QuotaRequest>(&message))
        onAsk(from, *ask);
    else if (const auto* answer = std::get_if<QuotaResponse>(&message))
        onAnswer(*answer);
    else if (const auto* lend = std::get_if<QuotaShareLoan>(&message))
        onLend(from, *lend);
    else if (const auto* given = std::get_if<QuotaShareReturn>(&message))
        onReturn(from, *given);
    else
        return false;
    return true;
}

void QuotaEnforcer::onAnswer(const QuotaResponse& answer)
{
    const auto found = m_waiting.find(answer.id);
    if (found == m_waiting.end())
        return;
    found->second->answer = answer;
    found->second->event.set();
}

void QuotaEnforcer::onAsk(const std::string& from, const QuotaRequest& ask)
{
    const auto now = suspendAwareNow();
    while (!m_answered.empty() && m_answered.front().time < now - answerMemory)
        m_answered.pop_front();
    const auto known = std::find_if(m_answered.rbegin(), m_answered.rend(),
        [&](const Answered& answered) { return answered.answer.id == ask.id && answered.node == from; });
    if (known != m_answered.rend()) {
        m_links.send(from, known->answer);
        return;
    }
    const auto decision = m_shares.tryAcquire(ask.organisation, ask.tokens, now);
    const QuotaResponse answer { ask.id, decision.isGranted, decision.wait.count(), decision.balance,
        static_cast<int>(std::lround(decision.share * millionths)) };
    if (decision.isGranted)
        m_answered.push_back({ from, now, answer });
    m_links.send(from, answer);
}

// What was lent while this node stood still may have been taken back since.
void QuotaEnforcer::onLend(const std::string& from, const QuotaShareLoan& lend)
{
    const auto now = suspendAwareNow();
    const bool isStale = now < m_stalledUntil || now - m_lastTick > stallLimit;
    if (isStale || m_isStopping)
        return;
    for (const int group : lend.groups) {
        if (group >= 0 && group < QuotaShares::groups)
            m_shares.addLentShare(group, from, lend.nodes, now);
    }
}

void QuotaEnforcer::onReturn(const std::string& from, const QuotaShareReturn& given)
{
    const auto now = suspendAwareNow();
    for (const int group : given.groups) {
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
    followNodes(now);
    followHomes(now);
    if (now - m_lastLend < m_shares.leaseTimes().renewInterval)
        return;
    m_lastLend = now;
    lendShares(now);
}

void QuotaEnforcer::followNodes(TimePoint now)
{
    const int known = m_links.knownNodeCount();
    if (known != m_knownNodes) {
        m_knownNodes = known;
        m_nodesChanged = now;
        m_shares.setNodeCount(known, now);
    }
    if (now - m_started >= settleTime && now - m_nodesChanged >= settleRest)
        m_shares.activateOwnShare(now);
}

void QuotaEnforcer::followHomes(TimePoint now)
{
    for (const int group : m_usedGroups) {
        const bool isHome = !m_isStopping && homeOf(group) == m_node;
        if (isHome == m_homes.contains(group))
            continue;
        if (isHome) {
            m_homes.insert(group);
            m_log.write(events::homeTaken, { { "quotas", group }, { "share", m_shares.share(group, now) } });
            continue;
        }
        m_homes.erase(group);
        giveBack(group, now);
    }
}

// The next home gets the shares at once, instead of when their leases end.
void QuotaEnforcer::giveBack(int group, TimePoint now)
{
    const auto lenders = m_shares.returnLentShares(group, now);
    m_log.write(
        events::homeLeft, { { "quotas", group }, { "lenders", lenders.size() }, { "reason", m_isStopping ? "stopping" : "moved" } });
    for (const auto& lender : lenders)
        m_links.send(lender, QuotaShareReturn { { group } });
}

void QuotaEnforcer::lendShares(TimePoint now)
{
    std::map<std::string, QuotaShareLoan> lends;
    for (const int group : m_usedGroups) {
        const auto home = homeOf(group);
        if (home.empty() || home == m_node || !m_shares.mayLend(group, home, now))
            continue;
        m_shares.lend(group, home, now);
        auto& lend = lends[home];
        lend.nodes = m_knownNodes;
        lend.groups.push_back(group);
    }
    for (const auto& [home, lend] : lends)
        m_links.send(home, lend);
}

void QuotaEnforcer::returnAllShares()
{
    m_isStopping = true;
    followHomes(suspendAwareNow());
}

} // namespace bronzeswitch
