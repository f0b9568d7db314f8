#include "OperatorApi.h"

#include <base/HttpStatus.h>
#include <http/JsonResponse.h>

namespace bronzeswitch {

using nlohmann::json;

namespace {

using namespace httpstatus;

json stepJson(const RolloutState& state)
{
    return { { "rollout", state.step.rollout }, { "route", state.step.route }, { "from", state.step.from }, { "to", state.step.to },
        { "stage", toString(state.step.stage) }, { "share", state.step.share }, { "reason", state.step.reason }, { "offset", state.offset },
        { "author", state.step.author } };
}

// Returns the revision that is in force on a peer, given the next offset that it will apply: the newest one below that offset.
// "older" if the audit trail no longer holds it.
json revisionAt(const LedgerState& ledger, int64_t nextOffset)
{
    if (ledger.revision() < nextOffset)
        return ledger.revision();
    int64_t revision = 0;
    for (const auto& entry : ledger.audit()) {
        if (entry.accepted && entry.offset < nextOffset && entry.action.starts_with("change"))
            revision = entry.offset;
    }
    return revision ? json(revision) : json("older");
}

} // namespace

void OperatorApi::handle(const HttpRequest& request, HttpResponder& responder) const
{
    const auto& path = request.path;
    if (path == "/healthz")
        return responder.send({ ok, {}, "ok\n" });
    if (path == "/readyz") {
        const bool isReady = m_options.isReady() && !m_options.isDraining();
        return responder.send({ isReady ? ok : serviceUnavailable, {}, isReady ? "ready\n" : "not ready\n" });
    }
    if (path == "/metrics") {
        refreshGauges();
        return responder.send({ ok, { { "Content-Type", "text/plain; version=0.0.4" } }, m_options.metrics->text() });
    }
    if (path == "/v1/status")
        return sendJson(responder, ok, status());
    if (path == "/v1/config") {
        const auto view = m_options.view();
        return sendJson(responder, ok, { { "revision", view->ledger->revision() }, { "entries", view->ledger->document().toJson() } });
    }
    if (path == "/v1/rollouts")
        return sendJson(responder, ok, rollouts());
    if (path == "/v1/upstreams")
        return sendJson(responder, ok, upstreams());
    if (path == "/v1/nodes")
        return sendJson(responder, ok, nodes());
    if (path == "/v1/audit")
        return sendJson(responder, ok, audit());
    if (path == "/v1/explain") {
        const auto explained = explain(findQueryParameter(request.query, "route"));
        return sendJson(responder, explained.is_null() ? notFound : ok, explained);
    }
    sendJson(responder, notFound, { { "error", "no such path" } });
}

json OperatorApi::status() const
{
    const auto view = m_options.view();
    return { { "node", m_options.node }, { "data_centre", m_options.dataCentre }, { "ready", m_options.isReady() },
        { "draining", m_options.isDraining() }, { "revision", view->configuration->revision() },
        { "ledger_next", view->ledger->nextOffset() }, { "log_reachable", m_options.isLogReachable() },
        { "members", m_options.mesh->members() }, { "pools", m_options.pools->pools() }, { "waiting", m_options.pools->waiting() },
        { "running", m_options.runningRequests() }, { "keys", m_options.claims->keyCount() },
        { "claim_partitions", m_options.claims->ownedPartitionCount() }, { "control_bytes", m_options.mesh->bytesSent() } };
}

json OperatorApi::rollouts() const
{
    const auto view = m_options.view();
    const auto alarms = m_options.rollouts->alarms();
    auto list = json::array();
    for (const auto& [name, state] : view->ledger->rollouts())
        list.push_back(stepJson(state));
    for (const auto& rollout : view->configuration->rollouts()) {
        if (view->ledger->rollouts().contains(rollout.name))
            continue;
        list.push_back({ { "rollout", rollout.name }, { "route", rollout.route }, { "from", rollout.from }, { "to", rollout.to },
            { "stage", "pending" }, { "share", 0 }, { "reason", "not started" }, { "offset", 0 }, { "author", "" } });
    }
    for (auto& item : list) {
        const auto alarm = alarms.find(item["rollout"].get<std::string>());
        item["alarm"] = alarm == alarms.end() ? "" : alarm->second;
        const auto* rollout = view->configuration->findRollout(item["rollout"]);
        item["deadline"] = rollout ? rollout->deadline : 0;
    }
    return list;
}

json OperatorApi::upstreams() const
{
    auto list = json::array();
    for (const auto& summary : m_options.pools->summaries()) {
        list.push_back({ { "upstream", summary.name }, { "version", summary.version }, { "in_flight", summary.inFlight },
            { "limit", summary.limit }, { "between_tokens_ms", summary.betweenTokensMs }, { "home", m_options.node } });
    }
    return list;
}

json OperatorApi::nodes() const
{
    const auto view = m_options.view();
    auto list = json::array();
    list.push_back({ { "node", m_options.node }, { "data_centre", m_options.dataCentre }, { "live", true },
        { "ready", m_options.isReady() }, { "draining", m_options.isDraining() }, { "ledger_next", view->ledger->nextOffset() },
        { "revision", view->configuration->revision() } });
    for (const auto& peer : m_options.mesh->peers()) {
        list.push_back({ { "node", peer.id }, { "data_centre", peer.dataCentre }, { "live", peer.isLive }, { "ready", peer.isReady },
            { "draining", peer.isDraining || peer.isListedAsLeaving }, { "ledger_next", peer.ledgerNextOffset },
            { "revision", revisionAt(*view->ledger, peer.ledgerNextOffset) } });
    }
    return list;
}

json OperatorApi::audit() const
{
    const auto view = m_options.view();
    auto list = json::array();
    for (const auto& entry : view->ledger->audit()) {
        list.push_back({ { "offset", entry.offset }, { "time_ms", entry.timeMs }, { "author", entry.author }, { "action", entry.action },
            { "accepted", entry.accepted }, { "detail", entry.detail } });
    }
    return list;
}

json OperatorApi::explain(const std::string& name) const
{
    const auto view = m_options.view();
    const auto* route = view->configuration->findRoute(name);
    if (!route)
        return nullptr;
    const auto plan = makePoolPlan(*view, route->pool);
    json result { { "route", name }, { "pool", route->pool }, { "tier", route->tier }, { "idempotent", route->idempotent },
        { "home", homeOfPool(route->pool, m_options.mesh->members()) }, { "upstreams", json::array() } };
    for (const auto& version : plan.versions) {
        if (version.route == name)
            result["versions"] = { { "stable", version.stable }, { "candidate", version.candidate }, { "share", version.share },
                { "rollout", version.rollout } };
    }
    for (const auto& upstream : plan.upstreams)
        result["upstreams"].push_back({ { "upstream", upstream.name }, { "version", upstream.version }, { "leaving", upstream.leaving } });
    return result;
}

void OperatorApi::refreshGauges() const
{
    const auto view = m_options.view();
    m_options.metrics->setGauge("revision", static_cast<double>(view->configuration->revision()));
    m_options.metrics->setGauge("members", static_cast<double>(m_options.mesh->members().size()));
    m_options.metrics->setGauge("waiting", static_cast<double>(m_options.pools->waiting()));
    m_options.metrics->setGauge("running", m_options.runningRequests());
    m_options.metrics->setGauge("log_reachable", m_options.isLogReachable() ? 1 : 0);
    m_options.metrics->setGauge("keys", static_cast<double>(m_options.claims->keyCount()));
}

} // namespace bronzeswitch
