#include <algorithm>
#include <gateway/SlotAllocator.h>
#include <set>

namespace bronzeswitch {

namespace {

constexpr const char* stableVersion = "stable";
constexpr const char* candidateVersion = "candidate";
constexpr const char* retiredVersion = "retired"; // Gets nothing.
constexpr NominalSpeed engineSpeed { 55000, 3.6 };
constexpr double lowerRankShare = 0.1;
constexpr Duration answerBound { 40 }; // For a home's first word on an ask.
constexpr int sendings = 2; // After so many without a word the ask is decided here.
constexpr Duration askAgain { 250 }; // To a home at which the ask waits.
constexpr int plainServiceSlots = 6; // Used when neither the service nor its upstream tells a number.

// What an upstream may get by its version; a service whose new version has no upstream left stays with the old one while it moves.
// An upstream that warms up shows nothing of its version, so the trial leaves it out.
const char* roleOf(const UpstreamEntry& entry, const VersionRule* rule, bool hasTarget)
{
    if (!rule)
        return stableVersion;
    const bool isTarget = entry.version == rule->target;
    switch (rule->phase) {
    case RolloutPhase::Trial:
        if (isTarget)
            return entry.isWarmingUp ? retiredVersion : candidateVersion;
        return stableVersion;
    case RolloutPhase::TakenBack:
        return isTarget ? retiredVersion : stableVersion;
    case RolloutPhase::Moving:
        return isTarget || !hasTarget ? stableVersion : retiredVersion;
    case RolloutPhase::Completed:
        break;
    }
    return isTarget ? stableVersion : retiredVersion;
}

Upstream makeUpstream(const UpstreamEntry& entry, const GatewayService& service, const char* role)
{
    Upstream upstream;
    upstream.name = entry.id;
    upstream.kind = service.isEngine() ? UpstreamKind::Engine : UpstreamKind::Service;
    upstream.address = entry.address;
    upstream.dataCentre = entry.dataCentre;
    upstream.pool = service.name;
    upstream.model = service.name;
    upstream.version = role;
    upstream.reportsLoad = false; // What it reports names no version.
    upstream.slots = entry.slots > 0 ? entry.slots : std::max(service.engineSlots, plainServiceSlots);
    upstream.leaving = entry.isDraining;
    return upstream;
}

} // namespace

PoolPlan makePoolPlan(const RoutingTable& table, const UpstreamDirectory& directory, const GatewayService& service,
    const std::string& dataCentre, const VersionRule* rule)
{
    PoolPlan plan;
    plan.dataCentre = dataCentre;
    plan.nominalSpeed = engineSpeed;
    plan.lowerRankShare = lowerRankShare;
    const auto& entries = directory.entries();
    const bool hasTarget = rule && std::any_of(entries.begin(), entries.end(), [&](const auto& item) {
        return item.second.service == service.name && item.second.version == rule->target && !item.second.isDraining;
    });
    for (const auto& [id, entry] : entries) {
        if (entry.service == service.name)
            plan.upstreams.push_back(makeUpstream(entry, service, roleOf(entry, rule, hasTarget)));
    }
    const bool isTrial = rule && rule->phase == RolloutPhase::Trial;
    for (const auto* route : table.routesOf(service.name)) {
        plan.versions.push_back(
            { route->name, service.name, stableVersion, isTrial ? candidateVersion : "", 0, isTrial ? rule->rollout : "", 0 });
    }
    for (const auto& organisation : table.document().organisations)
        plan.organisations.push_back({ organisation.name, 1, "" });
    // The time of an answer depends on its size here, so latency alone says nothing about overload.
    plan.limits.firstTokenTarget = Duration(60000);
    plan.limits.betweenTokensTarget = Duration(1000);
    return plan;
}

SlotAllocator::SlotAllocator(Executor executor, std::string dataCentre, DecisionLog& log)
    : m_executor(executor)
    , m_dataCentre(std::move(dataCentre))
    , m_log(log)
{
}

void SlotAllocator::connect(std::string node, Links links)
{
    m_node = std::move(node);
    m_links = std::move(links);
}

void SlotAllocator::configure(const RoutingTable& table, const UpstreamDirectory& directory, const VersionRules& rules)
{
    const auto now = monotonicNow();
    std::set<std::string> names;
    for (const auto& service : table.document().services) {
        names.insert(service.name);
        m_isShared[service.name] = service.isEngine();
        auto& pool = m_pools.try_emplace(service.name, now).first->second;
        const auto rule = rules.find(service.name);
        const auto* known = rule == rules.end() ? nullptr : &rule->second;
        carryOut(pool.configure(makePoolPlan(table, directory, service, m_dataCentre, known), now));
    }
    for (auto pool = m_pools.begin(); pool != m_pools.end();) {
        if (names.contains(pool->first)) {
            ++pool;
            continue;
        }
        carryOut(pool->second.refuseAll(RefusalReason::NoUpstream));
        m_isShared.erase(pool->first);
        pool = m_pools.erase(pool);
    }
}

// Without a home each node gets its part; the remainder falls to each node in turn by chance, so that small numbers aren't lost.
void SlotAllocator::allowCandidate(const std::string& service, const std::string& rollout, int64_t places, int nodes)
{
    auto* pool = find(service);
    if (!pool)
        return;
    const int64_t deciders = m_isShared[service] ? 1 : std::max(1, nodes);
    const auto remainder = std::uniform_int_distribution<int64_t>(0, deciders - 1)(m_random);
    pool->allowCandidate(rollout, (places + remainder) / deciders);
}

bool SlotAllocator::isIdle(const std::string& service, const std::string& upstream) const
{
    const auto pool = m_pools.find(service);
    return pool == m_pools.end() || pool->second.load(upstream) == 0;
}

PoolScheduler* SlotAllocator::find(const std::string& pool)
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? nullptr : &found->second;
}

Task<tl::expected<SlotGrant, SlotRefusal>> SlotAllocator::acquire(SlotRequest ask, TimePoint deadline)
{
    const auto start = monotonicNow();
    if (!find(ask.pool))
        co_return tl::unexpected(SlotRefusal { ask.id, RefusalReason::NoUpstream, 0 });
    ask.deadlineMs = std::chrono::duration_cast<Duration>(deadline - start).count();
    const auto waiting = std::make_shared<Waiting>(m_executor, ask);
    m_waiting[ask.id] = waiting;
    const auto lastStart = ask.startTimeoutMs ? std::min(deadline, start + Duration(ask.startTimeoutMs)) : deadline;
    for (auto now = start; now < lastStart && !waiting->event.isSet(); now = monotonicNow()) {
        const auto pause = sendAsk(*waiting, now);
        co_await waiting->event.wait(std::min(lastStart, now + pause));
    }
    m_waiting.erase(ask.id);
    if (waiting->grant) {
        ++m_running[waiting->grant->upstream];
        tellOwnLoad(waiting->grant->upstream);
        m_grantors[ask.id] = waiting->grantor;
        co_return *waiting->grant;
    }
    if (!waiting->refusal)
        withdraw(*waiting);
    co_return tl::unexpected(waiting->refusal.value_or(SlotRefusal { ask.id, RefusalReason::DeadlineTooShort, 0 }));
}

// Sends the ask, or sends it again; returns how long to wait for a word.
Duration SlotAllocator::sendAsk(Waiting& waiting, TimePoint now)
{
    const auto shared = m_isShared.find(waiting.ask.pool);
    const bool hasHome = shared != m_isShared.end() && shared->second && m_links.homeOf;
    const auto home = hasHome ? m_links.homeOf(waiting.ask.pool) : m_node;
    const bool hasMoved = !waiting.home.empty() && waiting.home != home;
    if (hasMoved)
        withdraw(waiting);
    if (hasMoved || waiting.isAcknowledged)
        waiting.unanswered = 0;
    waiting.isAcknowledged = false;
    waiting.home = home;
    if (home == m_node)
        return askHere(waiting, now);
    if (waiting.unanswered >= sendings) {
        m_log.write(events::homeLeft, { { "pool", waiting.ask.pool }, { "home", home }, { "reason", "no answer" } });
        m_links.onHomeSilent(home);
        waiting.home = m_node;
        return askHere(waiting, now);
    }
    ++waiting.unanswered;
    m_links.send(home, waiting.ask);
    return waiting.unanswered == 1 ? answerBound : answerBound * sendings;
}

Duration SlotAllocator::askHere(Waiting& waiting, TimePoint now)
{
    waiting.isAcknowledged = true;
    auto* pool = find(waiting.ask.pool);
    if (!pool) {
        waiting.refusal = SlotRefusal { waiting.ask.id, RefusalReason::NoUpstream, 0 };
        waiting.event.set();
        return askAgain;
    }
    carryOut(pool->ask(m_node, waiting.ask, now));
    return askAgain;
}

void SlotAllocator::withdraw(const Waiting& waiting)
{
    if (waiting.home != m_node)
        m_links.send(waiting.home, SlotCancel { waiting.ask.id });
    else if (auto* pool = find(waiting.ask.pool))
        pool->cancel(m_node, waiting.ask.id);
}

void SlotAllocator::cancel(uint64_t requestId)
{
    const auto found = m_waiting.find(requestId);
    if (found == m_waiting.end())
        return;
    withdraw(*found->second);
    // The grant may have come in the same moment; its place goes back unused.
    if (found->second->grant)
        giveBack(found->second->grantor, requestId);
    found->second->grant.reset();
    found->second->refusal = SlotRefusal { requestId, RefusalReason::Evicted, 0 };
    found->second->event.set();
}

void SlotAllocator::release(const std::string& upstream, const SlotRelease& done)
{
    if (auto running = m_running.find(upstream); running != m_running.end() && --running->second <= 0)
        m_running.erase(running);
    const auto grantor = m_grantors.extract(done.id);
    if (!grantor.empty() && grantor.mapped() != m_node)
        m_links.send(grantor.mapped(), done);
    for (auto& [name, pool] : m_pools)
        carryOut(pool.done(m_node, done, monotonicNow()));
    tellOwnLoad(upstream);
}

// The schedulers count what this node runs by the grant of another home too.
void SlotAllocator::tellOwnLoad(const std::string& upstream)
{
    const auto running = m_running.find(upstream);
    for (auto& [name, pool] : m_pools)
        pool.setReported(m_node, upstream, running == m_running.end() ? 0 : running->second);
}

void SlotAllocator::reportLoad(const std::string& service, const std::string& upstream, const LoadReport& report)
{
    if (auto* pool = find(service))
        pool->report(upstream, report, monotonicNow());
}

void SlotAllocator::onMessage(const std::string& from, const Message& message)
{
    if (const auto* ask = std::get_if<SlotRequest>(&message))
        return onAsk(from, *ask);
    if (const auto* grant = std::get_if<SlotGrant>(&message))
        return onGrant(from, *grant);
    if (const auto* refusal = std::get_if<SlotRefusal>(&message))
        return onRefuse(from, *refusal);
    if (const auto* queued = std::get_if<SlotQueued>(&message)) {
        if (const auto found = m_waiting.find(queued->id); found != m_waiting.end() && found->second->home == from)
            found->second->isAcknowledged = true;
        return;
    }
    const auto now = monotonicNow();
    for (auto& [name, pool] : m_pools) {
        if (const auto* done = std::get_if<SlotRelease>(&message))
            carryOut(pool.done(from, *done, now));
        if (const auto* cancelled = std::get_if<SlotCancel>(&message)) {
            pool.cancel(from, cancelled->id);
            carryOut(pool.done(from, { cancelled->id, DispatchOutcome::Cancelled, 0, 0, 0, 0 }, now));
        }
    }
}

void SlotAllocator::onAsk(const std::string& from, const SlotRequest& ask)
{
    auto* pool = find(ask.pool);
    if (!pool) {
        m_links.send(from, SlotRefusal { ask.id, RefusalReason::NotHome, 0 });
        return;
    }
    const auto decisions = pool->ask(from, ask, monotonicNow());
    const bool isDecided = std::any_of(decisions.begin(), decisions.end(), [&](const PlaceDecision& decision) {
        return decision.node == from && std::visit([&](const auto& answer) { return answer.id == ask.id; }, decision.answer);
    });
    carryOut(decisions);
    if (!isDecided)
        m_links.send(from, SlotQueued { ask.id });
}

void SlotAllocator::onGrant(const std::string& from, const SlotGrant& grant)
{
    const auto found = m_waiting.find(grant.id);
    const bool isWanted = found != m_waiting.end() && !found->second->event.isSet();
    if (!isWanted) {
        const auto used = m_grantors.find(grant.id);
        const bool isKnown = (used != m_grantors.end() && used->second == from)
            || (found != m_waiting.end() && found->second->grant && found->second->grantor == from);
        if (isKnown)
            return;
        giveBack(from, grant.id);
        return;
    }
    found->second->grant = grant;
    found->second->grantor = from;
    found->second->event.set();
}

void SlotAllocator::giveBack(const std::string& grantor, uint64_t requestId)
{
    const SlotRelease unused { requestId, DispatchOutcome::Cancelled, 0, 0, 0, 0 };
    if (grantor != m_node) {
        m_links.send(grantor, unused);
        return;
    }
    for (auto& [name, pool] : m_pools)
        carryOut(pool.done(m_node, unused, monotonicNow()));
}

void SlotAllocator::onRefuse(const std::string& from, const SlotRefusal& refusal)
{
    const auto found = m_waiting.find(refusal.id);
    if (found == m_waiting.end() || found->second->event.isSet() || found->second->home != from)
        return;
    if (refusal.reason == RefusalReason::NotHome) {
        found->second->unanswered = sendings;
        return;
    }
    found->second->refusal = refusal;
    found->second->event.set();
}

void SlotAllocator::setPeerLoads(const std::string& peer, const std::vector<UpstreamLoad>& loads)
{
    std::map<std::string, NodeLoad> byUpstream;
    for (const auto& load : loads)
        byUpstream[load.upstream] = { load.running, load.backlogMs / millisecondsPerSecond, load.betweenTokensUs / millisecondsPerSecond };
    for (auto& [name, pool] : m_pools)
        carryOut(pool.setNodeLoads(peer, byUpstream, monotonicNow()));
}

void SlotAllocator::onPeerLost(const std::string& peer)
{
    for (auto& [name, pool] : m_pools)
        carryOut(pool.nodeLost(peer, monotonicNow()));
}

std::vector<UpstreamLoad> SlotAllocator::loads() const
{
    std::map<std::string, UpstreamLoad> result;
    for (const auto& [upstream, running] : m_running)
        result[upstream] = { upstream, running, 0, 0 };
    for (const auto& [name, pool] : m_pools) {
        for (const auto& [upstream, load] : pool.learned(monotonicNow())) {
            auto& entry = result[upstream];
            entry.upstream = upstream;
            entry.backlogMs = static_cast<int>(load.backlogSeconds * millisecondsPerSecond);
            entry.betweenTokensUs = static_cast<int>(load.betweenTokensMs * millisecondsPerSecond);
        }
    }
    std::vector<UpstreamLoad> list;
    list.reserve(result.size());
    for (auto& [upstream, entry] : result)
        list.push_back(std::move(entry));
    return list;
}

void SlotAllocator::tick()
{
    for (auto& [name, pool] : m_pools)
        carryOut(pool.tick(monotonicNow()));
}

void SlotAllocator::carryOut(const PlaceDecisions& decisions)
{
    for (const auto& decision : decisions) {
        if (decision.node != m_node) {
            std::visit([&](const auto& answer) { m_links.send(decision.node, answer); }, decision.answer);
            continue;
        }
        if (const auto* grant = std::get_if<SlotGrant>(&decision.answer))
            onGrant(m_node, *grant);
        else
            onRefuse(m_node, std::get<SlotRefusal>(decision.answer));
    }
}

int SlotAllocator::running() const
{
    int count = 0;
    for (const auto& [upstream, running] : m_running)
        count += running;
    return count;
}

} // namespace bronzeswitch
