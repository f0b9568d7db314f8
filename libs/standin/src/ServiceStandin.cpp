#include "StandinServer.h"

#include <base/HttpStatus.h>
#include <http/JsonResponse.h>
#include <standin/ServiceStandin.h>

namespace bronzeswitch {

using nlohmann::json;

namespace {

using namespace httpstatus;

} // namespace

Result<std::unique_ptr<ServiceStandin>> ServiceStandin::create(uint16_t port)
{
    std::unique_ptr<ServiceStandin> standin(new ServiceStandin());
    auto server = serveStandin(standin.get(), &ServiceStandin::handle, port);
    if (!server)
        return tl::unexpected(server.error());
    standin->m_server = std::move(*server);
    return standin;
}

ServiceStandin::~ServiceStandin()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    if (m_server)
        m_server->shutdown();
}

void ServiceStandin::setFaults(const ServiceFaults& faults)
{
    std::lock_guard lock(m_mutex);
    m_faults = faults;
}

std::map<std::string, int> ServiceStandin::runCounts() const
{
    std::lock_guard lock(m_mutex);
    return m_runCounts;
}

void ServiceStandin::handle(const HttpRequest& request, HttpResponder& responder)
{
    if (request.path == "/counts")
        return sendJson(responder, ok, json(runCounts()));
    if (request.path == "/load")
        return sendJson(responder, ok, { { "running", 0 }, { "waiting", 0 }, { "age_ms", 0 } });
    if (request.path == "/faults") {
        const auto body = json::parse(request.body, nullptr, false);
        setFaults({ body.value("lose_answers", false), body.value("fail", false), std::chrono::milliseconds(body.value("delay_ms", 0)) });
        return sendJson(responder, ok, json::object());
    }
    run(request, responder);
}

void ServiceStandin::run(const HttpRequest& request, HttpResponder& responder)
{
    const auto key = findHeader(request.headers, "Idempotency-Key");
    ServiceFaults faults;
    int count = 0;
    {
        std::unique_lock lock(m_mutex);
        faults = m_faults;
        count = ++m_runCounts[key];
        m_stopped.wait_for(lock, faults.delay, [&] { return m_isStopping; });
    }
    if (faults.loseAnswers) {
        std::unique_lock lock(m_mutex);
        constexpr auto poll = std::chrono::milliseconds(20);
        while (!m_isStopping && !responder.isClientDisconnected())
            m_stopped.wait_for(lock, poll);
        return;
    }
    const json response { { "path", request.path }, { "run", count }, { "key", key }, { "bytes", request.body.size() } };
    const HttpHeaders headers { { "Content-Type", "application/json" }, { "X-Request-Id", findHeader(request.headers, "X-Request-Id") } };
    responder.send({ faults.fail ? internalServerError : ok, headers, response.dump() });
}

} // namespace bronzeswitch
