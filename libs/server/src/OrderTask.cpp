#include "OrderTask.h"

namespace bronzeswitch {

namespace {

constexpr Duration checkInterval { 500 };
constexpr Duration leaseDuration { 9000 };
constexpr Duration maxOrderDuration { 2500 }; // Longer than EngineClient waits for the response to an order.
constexpr Duration idlePollInterval { 50 };
constexpr Duration idleTimeout { 60000 };

} // namespace

OrderTask::OrderTask(Options options)
    : m_options(std::move(options))
    , m_leases(m_options.log, *m_options.follower, m_options.node)
    , m_weights(m_options.weightStoreAuthority)
    , m_thread([this] { run(); })
{
}

OrderTask::~OrderTask() { stop(); }

void OrderTask::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

// Returns false if the task is stopping.
bool OrderTask::pause(Duration duration)
{
    std::unique_lock lock(m_mutex);
    return !m_changed.wait_for(lock, duration, [this] { return m_isStopping; });
}

void OrderTask::run()
{
    while (pause(checkInterval)) {
        for (const auto& pool : m_options.pools->pools())
            orderNextEngine(pool);
    }
}

void OrderTask::orderNextEngine(const std::string& pool)
{
    const auto upstreams = m_options.pools->enginesOnWrongVersion(pool);
    if (upstreams.empty())
        return;
    const auto lease = "orders/" + pool;
    if (!m_leases.acquireOrRenew(lease, leaseDuration))
        return;
    for (const auto& upstream : upstreams) {
        if (isOrderSafe(lease, upstream))
            return order(lease, upstream);
    }
}

bool OrderTask::isOrderSafe(const std::string& lease, const Upstream& upstream) const
{
    if (upstream.checksFencing)
        return true;
    return std::chrono::steady_clock::now() - m_leases.heldSince(lease) >= maxOrderDuration;
}

void OrderTask::order(const std::string& lease, const Upstream& upstream)
{
    if (!m_weights.requestTicket(upstream.model, upstream.version))
        return;
    m_options.pools->setPaused(upstream.pool, upstream.name, true);
    const bool isHeld = waitUntilIdle(upstream) && m_leases.acquireOrRenew(lease, leaseDuration);
    if (const auto fencingNumber = isHeld ? m_leases.fencingNumber(lease, maxOrderDuration) : std::nullopt) {
        const auto state = m_engines.loadVersion(upstream.address, upstream.version, *fencingNumber);
        const auto details = "upstream=" + upstream.name + " version=" + upstream.version;
        if (state && state->version == upstream.version) {
            m_options.pools->onLoadReport(upstream.pool, upstream.name, { 0, 0, Duration(0), state->version });
            m_options.events.write(events::orderAccepted, details);
        } else {
            m_options.events.write(events::orderRefused,
                details + " reason=\"" + (state ? "engine reports version " + state->version : state.error().message) + "\"");
        }
    }
    m_options.pools->setPaused(upstream.pool, upstream.name, false);
}

// Renews the lease while it waits for the engine's running requests. Returns false after the timeout or stop().
bool OrderTask::waitUntilIdle(const Upstream& upstream)
{
    const auto end = std::chrono::steady_clock::now() + idleTimeout;
    while (m_options.pools->inFlight(upstream.pool, upstream.name) > 0) {
        m_leases.acquireOrRenew("orders/" + upstream.pool, leaseDuration);
        if (std::chrono::steady_clock::now() >= end || !pause(idlePollInterval))
            return false;
    }
    return true;
}

} // namespace bronzeswitch
