#include <gateway/PlaceDesk.h>
#include <set>

namespace bronzeswitch {

namespace {

constexpr const char* stableVersion = "stable";
constexpr double millisecondsPerSecond = 1000;
constexpr NominalSpeed engineSpeed { 55000, 3.6 };
constexpr int plainServiceSlots = 6; // Used when neither the service nor its upstream tells a number.

Upstream makeUpstream(const UpstreamEntry& entry, const GatewayService& service)
{
    Upstream upstream;
    upstream.name = entry.id;
    upstream.kind = service.isEngine() ? UpstreamKind::Engine : UpstreamKind::Service;
    upstream.address = entry.address;
    upstream.dataCentre = entry.dataCentre;
    upstream.pool = service.name;
    upstream.model = service.name;
    upstream.version = stableVersion;
    upstream.slots = entry.slots > 0 ? entry.slots : std::max(service.engineSlots, plainServiceSlots);
    upstream.leaving = entry.isDraining;
    return upstream;
}

} // namespace

PoolPlan makePoolPlan(
    const RoutingTable& table, const UpstreamDirectory& directory, const GatewayService& service, const std::string& dataCentre)
{
    PoolPlan plan;
    plan.dataCentre = dataCentre;
    plan.nominalSpeed = engineSpeed;
    for (const auto& [id, entry] : directory.entries()) {
        if (entry.service == service.name)
            plan.upstreams.push_back(makeUpstream(entry, service));
    }
    for (const auto* route : table.routesOf(service.name))
        plan.versions.push_back({ route->name, service.name, stableVersion, "", 0, "", 0 });
    for (const auto& organisation : table.document().organisations)
        plan.organisations.push_back({ organisation.name, 1, "" });
    // The time of an answer depends on its size here, so latency alone says nothing about overload.
    plan.limits.firstTokenTarget = Duration(60000);
    plan.limits.betweenTokensTarget = Duration(1000);
    return plan;
}

PlaceDesk::PlaceDesk(Executor executor, std::string node, std::string dataCentre)
    : m_executor(executor)
    , m_node(std::move(node))
    , m_dataCentre(std::move(dataCentre))
{
}

void PlaceDesk::configure(const RoutingTable& table, const UpstreamDirectory& directory)
{
    const auto now = monotonicNow();
    std::set<std::string> names;
    for (const auto& service : table.document().services) {
        names.insert(service.name);
        auto& pool = m_pools.try_emplace(service.name, now).first->second;
        carryOut(pool.configure(makePoolPlan(table, directory, service, m_dataCentre), now));
    }
    for (auto pool = m_pools.begin(); pool != m_pools.end();) {
        if (names.contains(pool->first)) {
            ++pool;
            continue;
        }
        carryOut(pool->second.refuseAll(RefusalReason::NoUpstream));
        pool = m_pools.erase(pool);
    }
}

PoolScheduler* PlaceDesk::find(const std::string& service)
{
    const auto found = m_pools.find(service);
    return found == m_pools.end() ? nullptr : &found->second;
}

Task<tl::expected<PlaceGrant, PlaceRefuse>> PlaceDesk::acquire(PlaceAsk ask, TimePoint deadline)
{
    auto* pool = find(ask.pool);
    if (!pool)
        co_return tl::unexpected(PlaceRefuse { ask.id, RefusalReason::NoUpstream, 0 });
    const auto now = monotonicNow();
    ask.deadlineMs = std::chrono::duration_cast<Duration>(deadline - now).count();
    const auto waiting = std::make_shared<Waiting>(m_executor);
    m_waiting[ask.id] = waiting;
    carryOut(pool->ask(m_node, ask, now));
    co_await waiting->event.wait(deadline);
    m_waiting.erase(ask.id);
    if (waiting->grant)
        co_return *waiting->grant;
    if (auto* current = find(ask.pool))
        current->cancel(m_node, ask.id);
    co_return tl::unexpected(waiting->refusal.value_or(PlaceRefuse { ask.id, RefusalReason::DeadlineTooShort, 0 }));
}

void PlaceDesk::cancel(const std::string& service, uint64_t askId)
{
    if (auto* pool = find(service))
        pool->cancel(m_node, askId);
    if (const auto found = m_waiting.find(askId); found != m_waiting.end())
        found->second->event.set();
}

void PlaceDesk::release(const std::string& service, const PlaceDone& done)
{
    if (auto* pool = find(service))
        carryOut(pool->done(m_node, done, monotonicNow()));
}

void PlaceDesk::report(const std::string& service, const std::string& upstream, const LoadReport& report)
{
    if (auto* pool = find(service))
        pool->report(upstream, report, monotonicNow());
}

void PlaceDesk::setPeerLoads(const std::map<std::string, PeerLoad>& loads)
{
    for (auto& [service, pool] : m_pools)
        carryOut(pool.setPeerLoads(loads, monotonicNow()));
}

std::vector<UpstreamLoad> PlaceDesk::loads() const
{
    std::vector<UpstreamLoad> result;
    for (const auto& [service, pool] : m_pools) {
        for (const auto& [upstream, load] : pool.ownLoads(monotonicNow()))
            result.push_back({ upstream, load.running, static_cast<int>(load.backlogSeconds * millisecondsPerSecond),
                static_cast<int>(load.betweenTokensMs * millisecondsPerSecond) });
    }
    return result;
}

void PlaceDesk::tick()
{
    for (auto& [service, pool] : m_pools)
        carryOut(pool.tick(monotonicNow()));
}

void PlaceDesk::carryOut(const PlaceDecisions& decisions)
{
    for (const auto& decision : decisions) {
        const auto* grant = std::get_if<PlaceGrant>(&decision.answer);
        const auto id = grant ? grant->id : std::get<PlaceRefuse>(decision.answer).id;
        const auto found = m_waiting.find(id);
        if (found == m_waiting.end())
            continue;
        if (grant)
            found->second->grant = *grant;
        else
            found->second->refusal = std::get<PlaceRefuse>(decision.answer);
        found->second->event.set();
    }
}

std::size_t PlaceDesk::waiting() const { return m_waiting.size(); }

std::size_t PlaceDesk::running() const
{
    std::size_t count = 0;
    for (const auto& [service, pool] : m_pools)
        count += pool.inFlight();
    return count;
}

} // namespace bronzeswitch
