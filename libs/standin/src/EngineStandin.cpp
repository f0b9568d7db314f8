#include "StandinServer.h"

#include <algorithm>
#include <base/HttpStatus.h>
#include <http/JsonResponse.h>
#include <standin/EngineStandin.h>

namespace bronzeswitch {

using nlohmann::json;

namespace {

using namespace httpstatus;

constexpr auto heartbeatInterval = std::chrono::milliseconds(500); // Comment lines that keep an idle stream alive.
constexpr auto disconnectPollInterval = std::chrono::milliseconds(20);
constexpr int shortResponseDivisor = 10;

std::string formatEvent(const json& data) { return "data: " + data.dump() + "\n\n"; }

std::string tokenText(int position) { return " w" + std::to_string(position); }

} // namespace

EngineFaults engineFaultsFromJson(const json& body)
{
    EngineFaults faults;
    faults.version = body.value("version", faults.version);
    faults.route = body.value("route", faults.route);
    faults.errorShare = body.value("error_share", faults.errorShare);
    faults.slowness = body.value("slowness", faults.slowness);
    faults.afterRequests = body.value("after_requests", faults.afterRequests);
    faults.whenRunningAtLeast = body.value("when_running_at_least", faults.whenRunningAtLeast);
    faults.truncateAfterTokens = body.value("truncate_after_tokens", faults.truncateAfterTokens);
    faults.silentAfterTokens = body.value("silent_after_tokens", faults.silentAfterTokens);
    faults.silentStreams = body.value("silent_streams", faults.silentStreams);
    faults.shortAnswers = body.value("short_answers", faults.shortAnswers);
    faults.crossedAnswers = body.value("crossed_answers", faults.crossedAnswers);
    return faults;
}

Result<std::unique_ptr<EngineStandin>> EngineStandin::create(const Options& options)
{
    std::unique_ptr<EngineStandin> standin(new EngineStandin(options));
    auto server = serveStandin(standin.get(), &EngineStandin::handle, options.port);
    if (!server)
        return tl::unexpected(server.error());
    standin->m_server = std::move(*server);
    return standin;
}

EngineStandin::EngineStandin(const Options& options)
    : m_options(options)
    , m_model(options.engine)
    , m_version(options.version)
{
}

EngineStandin::~EngineStandin()
{
    m_isStopping = true;
    if (m_server)
        m_server->shutdown();
}

void EngineStandin::setFaults(const EngineFaults& faults)
{
    std::lock_guard lock(m_mutex);
    m_faults = faults;
    m_requestsSinceFaults = 0;
    m_silentStreamCount = 0;
    const bool isCurrentVersion = faults.version.empty() || faults.version == m_version;
    m_model.setSlowness(isCurrentVersion ? faults.slowness : 1);
}

std::map<std::string, int> EngineStandin::dispatchCounts() const
{
    std::lock_guard lock(m_mutex);
    return m_dispatchCounts;
}

int EngineStandin::requestCount(const std::string& version) const
{
    std::lock_guard lock(m_mutex);
    const auto found = m_requestCounts.find(version);
    return found == m_requestCounts.end() ? 0 : found->second;
}

std::chrono::steady_clock::time_point EngineStandin::lastRequestTime(const std::string& version) const
{
    std::lock_guard lock(m_mutex);
    const auto found = m_lastRequestTimes.find(version);
    return found == m_lastRequestTimes.end() ? std::chrono::steady_clock::time_point() : found->second;
}

void EngineStandin::handle(const HttpRequest& request, HttpResponder& responder)
{
    const auto& path = request.path;
    if (path == "/v1/completions")
        return handleCompletion(request, responder);
    if (path == "/v1/resume")
        return handleResume(request, responder);
    if (path == "/v1/cancel") {
        const auto body = json::parse(request.body, nullptr, false);
        return sendJson(responder, ok, { { "cancelled", m_model.cancel(body.value("id", "")) } });
    }
    if (path == "/load")
        return sendJson(responder, ok, loadReport());
    if (path == "/cache/events") {
        auto events = json::array();
        for (const auto& cacheEvent : m_model.cacheEvents(std::atoll(findQueryParameter(request.query, "from").c_str())))
            events.push_back({ { "sequence", cacheEvent.sequence }, { "stored", cacheEvent.stored }, { "prefix", cacheEvent.prefix } });
        return sendJson(responder, ok, { { "events", events } });
    }
    if (path == "/orders")
        return handleOrder(request, responder);
    if (path == "/state") {
        std::lock_guard lock(m_mutex);
        return sendJson(responder, ok, { { "version", m_version }, { "fence", m_highestFencingNumber } });
    }
    if (path == "/stats")
        return sendJson(responder, ok, stats());
    if (path == "/faults") {
        setFaults(engineFaultsFromJson(json::parse(request.body, nullptr, false)));
        return sendJson(responder, ok, json::object());
    }
    sendJson(responder, notFound, { { "error", "no such path" } });
}

EngineFaults EngineStandin::activeFaults(const std::string& route)
{
    std::lock_guard lock(m_mutex);
    const bool isOtherVersion = !m_faults.version.empty() && m_faults.version != m_version;
    const bool isOtherRoute = !m_faults.route.empty() && m_faults.route != route;
    const bool isBeforeStart = m_requestsSinceFaults <= m_faults.afterRequests;
    const bool isBelowRunningThreshold = m_model.running() < m_faults.whenRunningAtLeast;
    if (isOtherVersion || isOtherRoute || (m_faults.afterRequests && isBeforeStart) || isBelowRunningThreshold)
        return {};
    return m_faults;
}

void EngineStandin::handleCompletion(const HttpRequest& request, HttpResponder& responder)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("id") || !body.contains("prompt"))
        return sendJson(responder, badRequest, { { "error", "id and prompt are needed" } });
    const auto id = body["id"].get<std::string>();
    {
        std::lock_guard lock(m_mutex);
        ++m_requestsSinceFaults;
        ++m_dispatchCounts[findHeader(request.headers, "X-Request-Id")];
        ++m_requestCounts[m_version];
        m_lastRequestTimes[m_version] = std::chrono::steady_clock::now();
    }
    const auto faults = activeFaults(findHeader(request.headers, "X-Route"));
    {
        std::lock_guard lock(m_mutex);
        m_accumulatedErrorShare += faults.errorShare;
        if (m_accumulatedErrorShare >= 1) {
            m_accumulatedErrorShare -= 1;
            return sendJson(responder, internalServerError, { { "error", "engine fault" } });
        }
    }
    int maxTokens = body.value("max_tokens", 1);
    if (faults.shortAnswers)
        maxTokens = std::max(1, maxTokens / shortResponseDivisor);
    m_model.submit(id, body["prompt"].get<std::string>(), maxTokens);
    stream(id, 0, faults, responder);
}

void EngineStandin::handleResume(const HttpRequest& request, HttpResponder& responder)
{
    const auto body = json::parse(request.body, nullptr, false);
    const auto id = body.value("id", "");
    if (!m_model.waitForProgress(id, -1, std::chrono::milliseconds(0)).isKnown)
        return sendJson(responder, notFound, { { "error", "no such request" } });
    stream(id, body.value("position", 0), activeFaults(findHeader(request.headers, "X-Route")), responder);
}

void EngineStandin::stream(const std::string& id, int position, const EngineFaults& faults, HttpResponder& responder)
{
    responder.startStream(ok, { { "Content-Type", "text/event-stream" } });
    while (!m_isStopping) {
        const auto progress = m_model.waitForProgress(id, position, heartbeatInterval);
        if (progress.isCancelled)
            return responder.finishStream();
        std::string chunk;
        for (; position < progress.tokens; ++position)
            chunk += formatEvent(
                { { "id", faults.crossedAnswers ? "other-" + id : id }, { "position", position }, { "text", tokenText(position) } });
        if (faults.truncateAfterTokens && position >= faults.truncateAfterTokens)
            return responder.finishStream();
        if (progress.isDone && position >= progress.tokens) {
            const json usage { { "completion_tokens", position }, { "cached_tokens", progress.cachedTokens } };
            chunk += formatEvent({ { "id", id }, { "position", position }, { "finish_reason", "stop" }, { "usage", usage } })
                + "data: [DONE]\n\n";
            responder.write(chunk);
            return responder.finishStream();
        }
        if (!responder.write(chunk.empty() ? ": ping\n\n" : chunk))
            return;
        bool isSilent = faults.silentAfterTokens && position >= faults.silentAfterTokens;
        if (isSilent) {
            std::lock_guard lock(m_mutex);
            isSilent = m_silentStreamCount++ < faults.silentStreams;
        }
        while (isSilent && !m_isStopping && !responder.isClientDisconnected())
            std::this_thread::sleep_for(disconnectPollInterval);
        if (isSilent)
            return;
    }
}

void EngineStandin::handleOrder(const HttpRequest& request, HttpResponder& responder)
{
    const auto body = json::parse(request.body, nullptr, false);
    const auto fencingNumber = body.value("fence", int64_t(0));
    std::lock_guard lock(m_mutex);
    if (m_options.checksFencing && fencingNumber < m_highestFencingNumber)
        return sendJson(responder, conflict, { { "error", "old fencing number" }, { "fence", m_highestFencingNumber } });
    m_highestFencingNumber = std::max(m_highestFencingNumber, fencingNumber);
    if (body.value("action", "") == "load")
        m_version = body.value("version", m_version);
    sendJson(responder, ok, { { "version", m_version }, { "fence", m_highestFencingNumber } });
}

json EngineStandin::loadReport()
{
    std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    if (m_loadReport.is_null() || now - m_loadReportTime >= m_options.reportLag) {
        m_loadReport = { { "running", m_model.running() }, { "waiting", m_model.waiting() }, { "slots", m_model.parameters().slots },
            { "version", m_version } };
        m_loadReportTime = now;
    }
    auto report = m_loadReport;
    report["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_loadReportTime).count();
    return report;
}

json EngineStandin::stats() const
{
    const auto counters = m_model.counters();
    std::lock_guard lock(m_mutex);
    int duplicateDispatches = 0;
    for (const auto& [id, count] : m_dispatchCounts)
        duplicateDispatches += count > 1 ? 1 : 0;
    return { { "prefilled", counters.prefilledTokens }, { "wasted_prefill", counters.wastedPrefillTokens },
        { "cached", counters.cachedTokens }, { "decoded", counters.decodedTokens }, { "admitted", counters.admitted },
        { "completed", counters.completed }, { "repeated_dispatches", duplicateDispatches }, { "versions", m_requestCounts } };
}

} // namespace bronzeswitch
