#include "UpstreamMonitor.h"

#include <set>

namespace bronzeswitch {

namespace {

constexpr Duration pollInterval { 1000 };

} // namespace

UpstreamMonitor::~UpstreamMonitor() { stop(); }

void UpstreamMonitor::update(const ControlViewPointer& view)
{
    std::set<std::string> monitored;
    std::vector<std::shared_ptr<Task>> ended;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& pool : m_pools.pools()) {
            for (const auto& upstream : view->configuration->upstreamsOf(pool)) {
                if (!upstream.reportsLoad)
                    continue;
                monitored.insert(upstream.name);
                auto& task = m_tasks[upstream.name];
                if (task && task->upstream == upstream)
                    continue;
                if (task) {
                    task->isStopping = true;
                    ended.push_back(task);
                }
                task = std::make_shared<Task>();
                task->upstream = upstream;
                task->thread = std::thread([this, task] { run(task); });
            }
        }
        for (auto task = m_tasks.begin(); task != m_tasks.end();) {
            if (monitored.contains(task->first)) {
                ++task;
                continue;
            }
            task->second->isStopping = true;
            ended.push_back(task->second);
            task = m_tasks.erase(task);
        }
    }
    m_changed.notify_all();
    for (const auto& task : ended)
        task->thread.join();
}

void UpstreamMonitor::stop()
{
    std::map<std::string, std::shared_ptr<Task>> tasks;
    {
        std::lock_guard lock(m_mutex);
        tasks.swap(m_tasks);
        for (const auto& [name, task] : tasks)
            task->isStopping = true;
    }
    m_changed.notify_all();
    for (const auto& [name, task] : tasks)
        task->thread.join();
}

void UpstreamMonitor::run(const std::shared_ptr<Task>& task)
{
    std::unique_lock lock(m_mutex);
    while (!task->isStopping) {
        lock.unlock();
        poll(task->upstream);
        lock.lock();
        m_changed.wait_for(lock, pollInterval, [&] { return task->isStopping; });
    }
}

void UpstreamMonitor::poll(const Upstream& upstream)
{
    const auto report = m_engines.fetchLoadReport(upstream.address);
    if (!report)
        return;
    m_pools.onLoadReport(upstream.pool, upstream.name, { report->running, report->waiting, report->age, report->version });
    if (upstream.kind != UpstreamKind::Engine)
        return;
    const auto events = m_engines.fetchCacheEvents(upstream.address, m_pools.nextCacheEvent(upstream.pool, upstream.name));
    if (!events)
        return;
    for (const auto& event : *events)
        m_pools.onCacheEvent(upstream.pool, upstream.name, event.sequence, event.isStored, event.prefix);
}

} // namespace bronzeswitch
