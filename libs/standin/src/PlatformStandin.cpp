#include "StandinServer.h"

#include <algorithm>
#include <base/HttpStatus.h>
#include <http/JsonResponse.h>
#include <standin/PlatformStandin.h>

namespace bronzeswitch {

using nlohmann::json;

namespace {

using namespace httpstatus;

constexpr int defaultPageSize = 256;
const std::string streamPrefix = "/streams/";

int64_t integerParameter(const HttpRequest& request, const char* name, int64_t fallback)
{
    const auto text = findQueryParameter(request.query, name);
    return text.empty() ? fallback : std::atoll(text.c_str());
}

json toJson(const LogPage& page)
{
    auto records = json::array();
    for (const auto& record : page.records)
        records.push_back({ { "offset", record.offset }, { "time_ms", record.timeMs }, { "data", record.data } });
    return { { "first", page.firstOffset }, { "next", page.nextOffset }, { "records", records } };
}

} // namespace

Result<std::unique_ptr<PlatformStandin>> PlatformStandin::create(uint16_t port)
{
    std::unique_ptr<PlatformStandin> standin(new PlatformStandin());
    auto server = serveStandin(standin.get(), &PlatformStandin::handle, port);
    if (!server)
        return tl::unexpected(server.error());
    standin->m_server = std::move(*server);
    return standin;
}

PlatformStandin::~PlatformStandin()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    if (m_server)
        m_server->shutdown();
}

void PlatformStandin::setVms(std::vector<Vm> vms)
{
    std::lock_guard lock(m_mutex);
    m_vms = std::move(vms);
}

void PlatformStandin::setLogSilent(bool isSilent)
{
    std::lock_guard lock(m_mutex);
    m_isLogSilent = isSilent;
    m_changed.notify_all();
}

void PlatformStandin::handle(const HttpRequest& request, HttpResponder& responder)
{
    if (request.path.starts_with(streamPrefix))
        return handleStream(request, responder);
    if (request.path == "/vms")
        return handleVms(request, responder);
    if (request.path == "/weights/tickets")
        return handleTicket(responder);
    if (request.path == "/faults")
        return handleFaults(request, responder);
    if (request.path == "/trim") {
        const auto body = json::parse(request.body, nullptr, false);
        m_log.trim(body.value("stream", ""), body.value("first", int64_t(1)));
        return sendJson(responder, ok, json::object());
    }
    sendJson(responder, notFound, { { "error", "no such path" } });
}

void PlatformStandin::handleStream(const HttpRequest& request, HttpResponder& responder)
{
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return !m_isLogSilent || m_isStopping || responder.isClientDisconnected(); });
    }
    const auto stream = request.path.substr(streamPrefix.size());
    if (request.method == "POST") {
        const auto offset = m_log.append(stream, json::parse(request.body, nullptr, false));
        if (offset)
            return sendJson(responder, ok, { { "offset", *offset } });
        return sendJson(responder, offset.error().code == ErrorCode::Unavailable ? serviceUnavailable : gatewayTimeout,
            { { "error", offset.error().message } });
    }
    constexpr int64_t maxWaitMs = 5000;
    const Duration wait(std::min(maxWaitMs, integerParameter(request, "wait_ms", 0)));
    const auto page = m_log.read(
        stream, integerParameter(request, "from", 1), static_cast<int>(integerParameter(request, "max", defaultPageSize)), wait);
    if (!page)
        return sendJson(responder, serviceUnavailable, { { "error", page.error().message } });
    sendJson(responder, ok, toJson(*page));
}

void PlatformStandin::handleVms(const HttpRequest& request, HttpResponder& responder)
{
    if (request.method == "POST") {
        std::vector<Vm> vms;
        const auto body = json::parse(request.body, nullptr, false);
        for (const auto& vm : body.value("vms", json::array()))
            vms.push_back({ vm.value("id", ""), vm.value("data_centre", ""), vm.value("address", ""), vm.value("leaving", false) });
        setVms(vms);
        return sendJson(responder, ok, json::object());
    }
    std::lock_guard lock(m_mutex);
    if (m_isVmListDown)
        return sendJson(responder, serviceUnavailable, json::object());
    auto vms = json::array();
    for (const auto& vm : m_vms)
        vms.push_back({ { "id", vm.id }, { "data_centre", vm.dataCentre }, { "address", vm.address }, { "leaving", vm.isLeaving } });
    sendJson(responder, ok, { { "vms", vms } });
}

void PlatformStandin::handleTicket(HttpResponder& responder)
{
    std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    if (now < m_nextTicketTime)
        return sendJson(responder, tooManyRequests, { { "error", "rate limit" } });
    m_nextTicketTime = now + std::chrono::microseconds(static_cast<int64_t>(1e6 / m_ticketsPerSecond));
    sendJson(responder, ok, { { "ticket", "w" + std::to_string(++m_ticketCount) }, { "transfer_ms", 0 } });
}

void PlatformStandin::handleFaults(const HttpRequest& request, HttpResponder& responder)
{
    const auto body = json::parse(request.body, nullptr, false);
    m_log.setFaults({ body.value("log_down", false), Duration(body.value("log_delay_ms", 0)), body.value("log_lost_answers", 0) });
    setLogSilent(body.value("log_silent", false));
    {
        std::lock_guard lock(m_mutex);
        m_isVmListDown = body.value("vms_down", false);
        m_ticketsPerSecond = body.value("weights_per_second", m_ticketsPerSecond);
    }
    sendJson(responder, ok, json::object());
}

} // namespace bronzeswitch
