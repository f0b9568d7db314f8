#include <algorithm>
#include <cmath>
#include <gateway/QuotaDesk.h>

namespace bronzeswitch {

namespace {

constexpr Duration settleTime { 700 }; // After the start; nodes come to know each other.
constexpr Duration settleRest { 300 }; // Without news of another node.
constexpr Duration stallLimit { 300 }; // A tick that is later than this shows that the process stood still.
constexpr Duration answerMemory { 1000 };
constexpr double enoughShare = 0.5; // Of what the live nodes own together.
constexpr double millionths = 1e6;

} // namespace

QuotaDesk::QuotaDesk(Executor executor, QuotaBounds bounds, DecisionLog& log)
    : m_executor(executor)
    , m_log(log)
    , m_shares(bounds)
    , m_started(suspendAwareNow())
    , m_nodesChanged(m_started)
    , m_lastTick(m_started)
{
}

void QuotaDesk::connect(std::string node, Links links)
{
    m_node = std::move(node);
    m_links = std::move(links);
}

void QuotaDesk::configure(const RoutingTable& table)
{
    m_shares.configure(table, suspendAwareNow());
    m_usedGroups.clear();
    for (const auto& organisation : table.document().organisations) {
        if (organisation.quota.isLimited())
            m_usedGroups.insert(QuotaShares::groupOf(organisation.name));
    }
}

std::string QuotaDesk::homeOf(int group) const { return m_links.homeOf("quota/" + std::to_string(group)); }

Task<QuotaVerdict> QuotaDesk::take(std::string organisation, int tokens, TimePoint deadline)
{
    const auto lastTry = std::min(deadline, monotonicNow() + m_patience.unsettledWait);
    for (int waits = 0;;) {
        auto verdict = co_await ask(organisation, tokens, lastTry);
        if (verdict.decision.isTaken || monotonicNow() >= lastTry)
            co_return verdict;
        auto pause = m_patience.unsettledPause;
        if (!verdict.isUnsettled) {
            pause = verdict.decision.wait;
            if (pause > m_patience.shortWait || ++waits > m_patience.shortWaits)
                co_return verdict;
        }
        co_await sleepFor(m_executor, pause);
    }
}

Task<QuotaVerdict> QuotaDesk::ask(std::string organisation, int tokens, TimePoint deadline)
{
    const auto home = homeOf(QuotaShares::groupOf(organisation));
    if (home == m_node || home.empty())
        co_return decideHere(organisation, tokens);
    const QuotaRequest message { ++m_lastAskId, organisation, tokens };
    const auto waiting = std::make_shared<Waiting>(m_executor);
    m_waiting[message.id] = waiting;
    auto bound = m_patience.answerBound;
    for (int sending = 0; sending < m_patience.sendings && !waiting->event.isSet() && monotonicNow() < deadline; ++sending) {
        m_links.send(home, message);
        co_await waiting->event.wait(std::min(deadline, monotonicNow() + bound));
        bound *= 2;
    }
    m_waiting.erase(message.id);
    QuotaVerdict verdict { { false, tokens, m_patience.unsettledPause, 0, 0 }, home, true };
    if (!waiting->answer)
        co_return verdict;
    const auto& answer = *waiting->answer;
    verdict.decision = { answer.isGranted, tokens, Duration(answer.waitMs), answer.balance, answer.shareMillionths / millionths };
    verdict.isUnsettled = !isEnough(verdict.decision.share);
    co_return verdict;
}

QuotaVerdict QuotaDesk::decideHere(const std::string& organisation, int tokens)
{
    const auto decision = m_shares.take(organisation, tokens, suspendAwareNow());
    return { decision, m_node, !isEnough(decision.share) };
}

// A node that hears nobody has its own share only, and can't wait for more.
bool QuotaDesk::isEnough(double share) const { return share * m_links.knownNodes() >= enoughShare * m_links.liveNodes(); }

bool QuotaDesk::onMessage(const std::string& from, const Message& message)
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

void QuotaDesk::onAnswer(const QuotaResponse& answer)
{
    const auto found = m_waiting.find(answer.id);
    if (found == m_waiting.end())
        return;
    found->second->answer = answer;
    found->second->event.set();
}

void QuotaDesk::onAsk(const std::string& from, const QuotaRequest& ask)
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
    const auto decision = m_shares.take(ask.organisation, ask.tokens, now);
    const QuotaResponse answer { ask.id, decision.isTaken, decision.wait.count(), decision.balance,
        static_cast<int>(std::lround(decision.share * millionths)) };
    if (decision.isTaken)
        m_answered.push_back({ from, now, answer });
    m_links.send(from, answer);
}

// What was lent while this node stood still may have been taken back since.
void QuotaDesk::onLend(const std::string& from, const QuotaShareLoan& lend)
{
    const auto now = suspendAwareNow();
    const bool isStale = now < m_stalledUntil || now - m_lastTick > stallLimit;
    if (isStale || m_isLeaving)
        return;
    for (const int group : lend.groups) {
        if (group >= 0 && group < QuotaShares::groups)
            m_shares.hold(group, from, lend.nodes, now);
    }
}

void QuotaDesk::onReturn(const std::string& from, const QuotaShareReturn& given)
{
    const auto now = suspendAwareNow();
    for (const int group : given.groups) {
        if (group >= 0 && group < QuotaShares::groups)
            m_shares.takeBack(group, from, now);
    }
    lendShares(now);
}

void QuotaDesk::tick()
{
    const auto now = suspendAwareNow();
    if (now - m_lastTick > stallLimit)
        m_stalledUntil = now + stallLimit;
    m_lastTick = now;
    followNodes(now);
    followHomes(now);
    if (now - m_lastLend < m_shares.lease().interval)
        return;
    m_lastLend = now;
    lendShares(now);
}

void QuotaDesk::followNodes(TimePoint now)
{
    const int known = m_links.knownNodes();
    if (known != m_knownNodes) {
        m_knownNodes = known;
        m_nodesChanged = now;
        m_shares.setNodes(known, now);
    }
    if (now - m_started >= settleTime && now - m_nodesChanged >= settleRest)
        m_shares.begin(now);
}

void QuotaDesk::followHomes(TimePoint now)
{
    for (const int group : m_usedGroups) {
        const bool isHome = !m_isLeaving && homeOf(group) == m_node;
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
void QuotaDesk::giveBack(int group, TimePoint now)
{
    const auto lenders = m_shares.release(group, now);
    m_log.write(events::homeLeft, { { "quotas", group }, { "lenders", lenders.size() }, { "reason", m_isLeaving ? "stopping" : "moved" } });
    for (const auto& lender : lenders)
        m_links.send(lender, QuotaShareReturn { { group } });
}

void QuotaDesk::lendShares(TimePoint now)
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

void QuotaDesk::leave()
{
    m_isLeaving = true;
    followHomes(suspendAwareNow());
}

} // namespace bronzeswitch
