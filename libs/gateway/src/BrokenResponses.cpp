#include <gateway/BrokenResponses.h>

namespace bronzeswitch {

namespace {

constexpr Duration checkDelay { 200 }; // An upstream that crashes closes its port within this time.
constexpr Duration connectTimeout { 500 };
constexpr int maxChecks = 32;

} // namespace

void BrokenResponses::onBroken(const std::string& service, const std::string& route, const UpstreamEntry& upstream)
{
    if (!m_context.rollouts.isUndecided(service) || m_checks >= maxChecks)
        return;
    ++m_checks;
    startTask(m_context.executor, count(service, route, upstream), [this](const std::string& reason) {
        m_context.log.write(events::taskFailed, { { "task", "broken-response" }, { "reason", reason } });
    });
}

Task<void> BrokenResponses::count(std::string service, std::string route, UpstreamEntry upstream)
{
    co_await sleepFor(m_context.executor, checkDelay);
    const auto endpoint = parseEndpoint(upstream.address);
    if (endpoint) {
        const auto connection = co_await m_context.connectionPool.open(*endpoint, monotonicNow() + connectTimeout);
        if (connection)
            m_context.rollouts.onResponse(service, route, upstream.version, { true, 0, 0 });
    }
    --m_checks;
}

} // namespace bronzeswitch
