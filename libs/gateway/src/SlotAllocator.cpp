#include "AdmissionPlan.h"
#include "LoadCodec.h"

#include <algorithm>
#include <gateway/SlotAllocator.h>
#include <numeric>
#include <set>

namespace bronzeswitch {

namespace {

constexpr const char* stableVersion = "stable";
constexpr const char* candidateVersion = "candidate";
constexpr const char* retiredVersion = "retired"; // Gets no requests.
constexpr NominalSpeed nominalEngineSpeed { 55000, 3.6 }; // Prompt tokens per second, milliseconds between output tokens.
constexpr Duration firstResponseTimeout { 40 }; // For the home node's first response to a request.
constexpr int maxUnansweredSends = 2; // After this many sends without a response this node decides on the request itself.
constexpr Duration resendInterval { 250 }; // For a request that is queued at the home node, in case a message was lost.
constexpr Duration loadReportLifetime { 300 }; // Upstreams report their load only with responses.
constexpr int defaultServiceSlots = 6; // If neither the service nor its upstream states a number.

// Returns the role of an upstream's version. While a service moves to a target that has no upstream left, its other
// versions keep serving. The latency of an upstream that is warming up says nothing about its version, so the trial excludes it.
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

// During a trial, one node counts the requests of a plain service too, so that the candidate version's exposure is bounded exactly.
bool hasHome(const GatewayService& service, const VersionRule* rule)
{
    return service.isEngine() || (rule && rule->phase == RolloutPhase::Trial);
}

Upstream makeUpstream(const UpstreamEntry& entry, const GatewayService& service, const char* role, bool isEvacuated)
{
    Upstream upstream;
    upstream.name = entry.id;
    upstream.kind = service.isEngine() ? UpstreamKind::Engine : UpstreamKind::Service;
    upstream.address = entry.address;
    upstream.dataCentre = entry.dataCentre;
    upstream.pool = service.name;
    upstream.model = service.name;
    upstream.version = role;
    upstream.reportsLoad = false; // Its load reports do not state a version.
    upstream.slots = entry.slots > 0 ? entry.slots : std::max(service.engineSlots, defaultServiceSlots);
    upstream.leaving = entry.isDraining;
    upstream.isEvacuated = isEvacuated;
    return upstream;
}

} // namespace

PoolPlan makePoolPlan(const RoutingTable& table, const UpstreamDirectory& directory, const GatewayService& service,
    const std::string& dataCentre, const VersionRule* rule, const std::set<std::string>& evacuated)
{
    PoolPlan plan;
    plan.dataCentre = dataCentre;
    plan.nominalSpeed = nominalEngineSpeed;
    plan.loadReportLifetime = loadReportLifetime;
    // Peers' reports are older than the requests to a plain service last; its upstreams' own queues are short.
    plan.countsPeerReports = hasHome(service, rule);
    plan.limitsColdStart = service.coldStart.isLimited();
    plan.memoryTokens = service.memoryTokens;
    plan.capacityLearning = service.memoryTokens > 0 ? CapacityLearning::Always : CapacityLearning::OncePaceIsStated;
    applyAdmission(plan, table, service, hasHome(service, rule));
    const auto& entries = directory.entries();
    const bool hasTarget = rule && std::any_of(entries.begin(), entries.end(), [&](const auto& item) {
        return item.second.service == service.name && item.second.version == rule->target && !item.second.isDraining
            && !evacuated.contains(item.second.dataCentre);
    });
    for (const auto& [id, entry] : entries) {
        if (entry.service == service.name)
            plan.upstreams.push_back(makeUpstream(entry, service, roleOf(entry, rule, hasTarget), evacuated.contains(entry.dataCentre)));
    }
    const bool isTrial = rule && rule->phase == RolloutPhase::Trial;
    for (const auto* route : table.routesToService(service.name)) {
        plan.versions.push_back(
            { route->name, service.name, stableVersion, isTrial ? candidateVersion : "", 0, isTrial ? rule->rollout : "", 0 });
    }
    for (const auto& organisation : table.document().organisations)
        plan.organisations.push_back({ organisation.name, 1, "" });
    // Response times depend on the size of the response, so latency alone does not indicate overload.
    plan.limits.firstTokenTarget = Duration(60000);
    plan.limits.betweenTokensTarget = Duration(1000);
    return plan;
}

SlotAllocator::SlotAllocator(Executor executor, std::string dataCentre, DecisionLog& log)
    : m_executor(executor)
    , m_dataCentre(std::move(dataCentre))
    , m_log(log)
    , m_capacityMonitor(log)
{
}

void SlotAllocator::connect(std::string node, Callbacks callbacks)
{
    m_node = std::move(node);
    m_callbacks = std::move(callbacks);
}

void SlotAllocator::configure(
    const RoutingTable& table, const UpstreamDirectory& directory, const VersionRules& rules, const std::set<std::string>& evacuated)
{
    const auto now = monotonicNow();
    std::set<std::string> names;
    for (const auto& service : table.document().services) {
        names.insert(service.name);
        auto& pool = m_pools.try_emplace(service.name, now).first->second;
        const auto rule = rules.find(service.name);
        const auto* known = rule == rules.end() ? nullptr : &rule->second;
        m_hasHome[service.name] = hasHome(service, known);
        deliver(pool.configure(makePoolPlan(table, directory, service, m_dataCentre, known, evacuated), now));
        pool.setRequestLimits(m_requestLimits, now);
    }
    for (auto pool = m_pools.begin(); pool != m_pools.end();) {
        if (names.contains(pool->first)) {
            ++pool;
            continue;
        }
        deliver(pool->second.refuseAll(RefusalReason::NoUpstream));
        m_hasHome.erase(pool->first);
        pool = m_pools.erase(pool);
    }
}

void SlotAllocator::allowCandidate(const std::string& service, const std::string& rollout, int64_t slots)
{
    auto* pool = findPool(service);
    if (!pool)
        return;
    const bool isHome = !m_callbacks.homeOf || m_callbacks.homeOf(service) == m_node;
    pool->allowCandidate(rollout, isHome ? slots : 0);
}

bool SlotAllocator::isIdle(const std::string& service, const std::string& upstream) const
{
    const auto pool = m_pools.find(service);
    return pool == m_pools.end() || pool->second.load(upstream) == 0;
}

PoolScheduler* SlotAllocator::findPool(const std::string& pool)
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? nullptr : &found->second;
}

Task<tl::expected<SlotGrant, SlotRefusal>> SlotAllocator::acquire(SlotRequest request, TimePoint deadline)
{
    const auto start = monotonicNow();
    if (!findPool(request.pool))
        co_return tl::unexpected(SlotRefusal { request.id, RefusalReason::NoUpstream, 0 });
    request.deadlineMs = std::chrono::duration_cast<Duration>(deadline - start).count();
    request.dataCentre = m_dataCentre;
    const auto pending = std::make_shared<PendingRequest>(m_executor, request);
    m_pending[request.id] = pending;
    const auto startDeadline = request.startTimeoutMs ? std::min(deadline, start + Duration(request.startTimeoutMs)) : deadline;
    for (auto now = start; now < startDeadline && !pending->event.isSet(); now = monotonicNow()) {
        const auto pause = sendRequest(*pending, now);
        co_await pending->event.wait(std::min(startDeadline, now + pause));
    }
    m_pending.erase(request.id);
    if (pending->grant) {
        // Tokens are reported only where a limit depends on them.
        const auto* pool = findPool(request.pool);
        const bool isMemoryLimited = pool && pool->plan().memoryTokens > 0;
        const int heldTokens = isMemoryLimited ? heldTokensOf(request) : 0;
        m_running.start(request.id, { pending->grantor, monotonicNow(), heldTokens }, pending->grant->upstream);
        updateOwnLoad(pending->grant->upstream);
        pending->grant->waitedMs = waitedFromStart(*pending, start);
        co_return *pending->grant;
    }
    if (!pending->refusal)
        cancelAtHome(*pending);
    co_return tl::unexpected(pending->refusal.value_or(SlotRefusal { request.id, RefusalReason::DeadlineTooShort, 0 }));
}

// Sends or resends the request. Returns how long to wait for a response.
Duration SlotAllocator::sendRequest(PendingRequest& pending, TimePoint now)
{
    const auto pool = m_hasHome.find(pending.request.pool);
    const bool needsHome = (pool != m_hasHome.end() && pool->second) || hasLimits(pending.request.pool);
    const bool hasHome = needsHome && m_callbacks.homeOf;
    const auto home = hasHome ? m_callbacks.homeOf(pending.request.pool) : m_node;
    const bool hasMoved = !pending.home.empty() && pending.home != home;
    if (hasMoved)
        cancelAtHome(pending);
    if (hasMoved || pending.isAcknowledged)
        pending.unansweredSends = 0;
    pending.isAcknowledged = false;
    if (pending.home != home)
        pending.sentAt = now;
    pending.home = home;
    if (home == m_node)
        return requestLocally(pending, now);
    if (pending.unansweredSends >= maxUnansweredSends) {
        m_log.write(events::homeLeft, { { "pool", pending.request.pool }, { "home", home }, { "reason", "no answer" } });
        m_callbacks.onHomeSilent(home);
        return requestWithoutHome(pending, now);
    }
    ++pending.unansweredSends;
    m_callbacks.send(home, pending.request);
    return pending.unansweredSends == 1 ? firstResponseTimeout : firstResponseTimeout * maxUnansweredSends;
}

Duration SlotAllocator::requestLocally(PendingRequest& pending, TimePoint now)
{
    pending.isAcknowledged = true;
    auto* pool = findPool(pending.request.pool);
    if (!pool) {
        pending.refusal = SlotRefusal { pending.request.id, RefusalReason::NoUpstream, 0 };
        pending.event.set();
        return resendInterval;
    }
    deliver(pool->requestSlot(m_node, pending.request, now));
    return resendInterval;
}

void SlotAllocator::cancelAtHome(const PendingRequest& pending)
{
    if (pending.home != m_node)
        m_callbacks.send(pending.home, SlotCancel { pending.request.id });
    else if (auto* pool = findPool(pending.request.pool))
        pool->cancel(m_node, pending.request.id);
}

void SlotAllocator::cancel(uint64_t requestId)
{
    const auto found = m_pending.find(requestId);
    if (found == m_pending.end())
        return;
    cancelAtHome(*found->second);
    // A grant may already have arrived; its slot is returned unused.
    if (found->second->grant)
        returnUnused(found->second->grantor, requestId);
    found->second->grant.reset();
    found->second->refusal = SlotRefusal { requestId, RefusalReason::Evicted, 0 };
    found->second->event.set();
}

void SlotAllocator::release(const std::string& upstream, SlotRelease slotRelease)
{
    const auto request = m_running.end(slotRelease.id, upstream);
    if (request && m_pauses.overlaps(request->startedAt, monotonicNow()))
        clearTimes(upstream, slotRelease);
    if (request && request->grantor != m_node)
        m_callbacks.send(request->grantor, slotRelease);
    for (auto& [name, pool] : m_pools)
        deliver(pool.releaseSlot(m_node, slotRelease, monotonicNow()));
    updateOwnLoad(upstream);
    if (slotRelease.outcome != DispatchOutcome::Cancelled)
        m_suspected.onResult(upstream, slotRelease.outcome != DispatchOutcome::Completed, monotonicNow());
}

// Tells the schedulers how much this node runs at the upstream, so that they count dispatches that another node granted too.
void SlotAllocator::updateOwnLoad(const std::string& upstream)
{
    const auto load = m_running.at(upstream);
    for (auto& [name, pool] : m_pools)
        pool.setReportedRunning(m_node, upstream, load.requests, load.heldTokens);
}

// The home node can't know that this node paused and measured its own silence.
void SlotAllocator::clearTimes(const std::string& upstream, SlotRelease& slotRelease) const
{
    const bool isLearned = std::any_of(
        m_pools.begin(), m_pools.end(), [&](const auto& item) { return item.second.learnsCapacity() && item.second.has(upstream); });
    if (!isLearned)
        return;
    slotRelease.firstTokenMs = 0;
    slotRelease.betweenTokensUs = 0;
}

void SlotAllocator::reportLoad(const std::string& service, const std::string& upstream, const LoadReport& report)
{
    if (auto* pool = findPool(service))
        pool->onLoadReport(upstream, report, monotonicNow());
}

void SlotAllocator::onMessage(const std::string& from, const Message& message)
{
    if (const auto* request = std::get_if<SlotRequest>(&message))
        return onRequest(from, *request);
    if (const auto* grant = std::get_if<SlotGrant>(&message))
        return onGrant(from, *grant);
    if (const auto* refusal = std::get_if<SlotRefusal>(&message))
        return onRefusal(from, *refusal);
    if (const auto* queued = std::get_if<SlotQueued>(&message)) {
        if (const auto found = m_pending.find(queued->id); found != m_pending.end() && found->second->home == from)
            found->second->isAcknowledged = true;
        return;
    }
    const auto now = monotonicNow();
    for (auto& [name, pool] : m_pools) {
        if (const auto* released = std::get_if<SlotRelease>(&message))
            deliver(pool.releaseSlot(from, *released, now));
        if (const auto* cancelled = std::get_if<SlotCancel>(&message)) {
            pool.cancel(from, cancelled->id);
            deliver(pool.releaseSlot(from, { cancelled->id, DispatchOutcome::Cancelled, 0, 0, 0, 0 }, now));
        }
    }
}

void SlotAllocator::onRequest(const std::string& from, const SlotRequest& request)
{
    auto* pool = findPool(request.pool);
    if (!pool) {
        m_callbacks.send(from, SlotRefusal { request.id, RefusalReason::NotHome, 0 });
        return;
    }
    const auto decisions = pool->requestSlot(from, request, monotonicNow());
    const bool isDecided = std::any_of(decisions.begin(), decisions.end(), [&](const SlotDecision& decision) {
        return decision.node == from && std::visit([&](const auto& response) { return response.id == request.id; }, decision.response);
    });
    deliver(decisions);
    if (!isDecided)
        m_callbacks.send(from, SlotQueued { request.id });
}

void SlotAllocator::onGrant(const std::string& from, const SlotGrant& grant)
{
    const auto found = m_pending.find(grant.id);
    const bool isPending = found != m_pending.end() && !found->second->event.isSet();
    if (!isPending) {
        const bool isDuplicate
            = m_running.isGrantedBy(grant.id, from) || (found != m_pending.end() && found->second->grant && found->second->grantor == from);
        if (isDuplicate)
            return;
        returnUnused(from, grant.id);
        return;
    }
    found->second->grant = grant;
    found->second->grantor = from;
    found->second->event.set();
}

void SlotAllocator::returnUnused(const std::string& grantor, uint64_t requestId)
{
    const SlotRelease unused { requestId, DispatchOutcome::Cancelled, 0, 0, 0, 0 };
    if (grantor != m_node) {
        m_callbacks.send(grantor, unused);
        return;
    }
    for (auto& [name, pool] : m_pools)
        deliver(pool.releaseSlot(m_node, unused, monotonicNow()));
}

void SlotAllocator::onRefusal(const std::string& from, const SlotRefusal& refusal)
{
    const auto found = m_pending.find(refusal.id);
    if (found == m_pending.end() || found->second->event.isSet() || found->second->home != from)
        return;
    if (refusal.reason == RefusalReason::NotHome) {
        found->second->unansweredSends = maxUnansweredSends;
        return;
    }
    found->second->refusal = refusal;
    found->second->event.set();
}

void SlotAllocator::setPeerLoads(const std::string& peer, const std::vector<UpstreamLoad>& loads)
{
    std::map<std::string, NodeLoad> byUpstream;
    std::map<std::string, UpstreamResults> results;
    for (const auto& load : loads) {
        byUpstream[load.upstream] = toNodeLoad(load);
        results[load.upstream] = { load.succeeded, load.failed };
    }
    m_suspected.setPeerResults(peer, std::move(results));
    for (auto& [name, pool] : m_pools)
        deliver(pool.setNodeLoads(peer, byUpstream, monotonicNow()));
}

void SlotAllocator::onPeerLost(const std::string& peer)
{
    m_suspected.removePeer(peer);
    for (auto& [name, pool] : m_pools)
        deliver(pool.removeNode(peer, monotonicNow()));
}

void SlotAllocator::updateSuspects()
{
    if (!m_suspected.update(monotonicNow()))
        return;
    m_log.write(events::upstreamsSuspected, { { "upstreams", m_suspected.all() } });
    for (auto& [name, pool] : m_pools)
        pool.setSuspects(m_suspected.all());
}

std::vector<UpstreamLoad> SlotAllocator::loads()
{
    std::map<std::string, UpstreamLoad> result;
    for (const auto& [upstream, load] : m_running.byUpstream()) {
        auto& entry = result[upstream];
        entry.upstream = upstream;
        entry.running = load.requests;
        entry.heldTokens = load.heldTokens;
    }
    for (const auto& [upstream, results] : m_suspected.ownResults(monotonicNow())) {
        auto& entry = result[upstream];
        entry.upstream = upstream;
        entry.succeeded = results.succeeded;
        entry.failed = results.failed;
    }
    for (const auto& [name, pool] : m_pools) {
        for (const auto& [upstream, load] : pool.upstreamEstimates(monotonicNow())) {
            auto& entry = result[upstream];
            entry.upstream = upstream;
            addEstimates(entry, load);
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
    m_pauses.observe(monotonicNow());
    m_capacityMonitor.update(m_pools, monotonicNow());
    updateSuspects();
    for (auto& [name, pool] : m_pools)
        deliver(pool.tick(monotonicNow()));
}

void SlotAllocator::deliver(const SlotDecisions& decisions)
{
    for (const auto& decision : decisions) {
        if (decision.node != m_node) {
            std::visit([&](const auto& response) { m_callbacks.send(decision.node, response); }, decision.response);
            continue;
        }
        if (const auto* grant = std::get_if<SlotGrant>(&decision.response))
            onGrant(m_node, *grant);
        else
            onRefusal(m_node, std::get<SlotRefusal>(decision.response));
    }
}

} // namespace bronzeswitch
