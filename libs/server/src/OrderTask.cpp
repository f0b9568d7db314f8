#include "OrderTask.h"

namespace bronzeswitch {

namespace {

constexpr Duration roundInterval { 500 };
constexpr Duration leaseDuration { 9000 };
constexpr Duration orderBound { 2500 }; // Longer than the engine client waits for an order.
constexpr Duration emptyPoll { 50 };
constexpr Duration emptyLimit { 60000 };

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

bool OrderTask::pause(Duration duration)
{
    std::unique_lock lock(m_mutex);
    return !m_changed.wait_for(lock, duration, [this] { return m_isStopping; });
}

void OrderTask::run()
{
    while (pause(roundInterval)) {
        for (const auto& pool : m_options.pools->pools())
            serve(pool);
    }
}

void OrderTask::serve(const std::string& pool)
{
    const auto upstreams = m_options.pools->toBeOrdered(pool);
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
    return std::chrono::steady_clock::now() - m_leases.heldSince(lease) >= orderBound;
}

void OrderTask::order(const std::string& lease, const Upstream& upstream)
{
    if (!m_weights.request(upstream.model, upstream.version))
        return;
    m_options.pools->setClosed(upstream.pool, upstream.name, true);
    const bool isHeld = waitUntilEmpty(upstream) && m_leases.acquireOrRenew(lease, leaseDuration);
    if (const auto fence = isHeld ? m_leases.fencingNumber(lease, orderBound) : std::nullopt) {
        const auto state = m_engines.loadVersion(upstream.address, upstream.version, *fence);
        const auto details = "upstream=" + upstream.name + " version=" + upstream.version;
        if (state && state->version == upstream.version) {
            m_options.pools->onReport(upstream.pool, upstream.name, { 0, 0, Duration(0), state->version });
            m_options.events.write(events::orderAccepted, details);
        } else {
            m_options.events.write(
                events::orderRefused, details + " reason=\"" + (state ? "version is " + state->version : state.error().message) + "\"");
        }
    }
    m_options.pools->setClosed(upstream.pool, upstream.name, false);
}

// Keeps the lease while the engine's running requests end.
bool OrderTask::waitUntilEmpty(const Upstream& upstream)
{
    const auto end = std::chrono::steady_clock::now() + emptyLimit;
    while (m_options.pools->inFlight(upstream.pool, upstream.name) > 0) {
        m_leases.acquireOrRenew("orders/" + upstream.pool, leaseDuration);
        if (std::chrono::steady_clock::now() >= end || !pause(emptyPoll))
            return false;
    }
    return true;
}

} // namespace bronzeswitch
