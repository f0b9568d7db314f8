#pragma once

#include "PoolHomes.h"

#include <upstream/EngineClient.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace bronzeswitch {

/**
 * Polls the upstreams of this node's pools for their load, version and cache events, each on a thread of its own.
 *
 * Only the home of a pool polls, so the load on an upstream does not grow with the number of nodes.
 */
class UpstreamMonitor {
public:
    explicit UpstreamMonitor(PoolHomes& pools)
        : m_pools(pools)
    {
    }
    ~UpstreamMonitor();
    UpstreamMonitor(const UpstreamMonitor&) = delete;
    UpstreamMonitor& operator=(const UpstreamMonitor&) = delete;

    /** Starts and stops tasks to match the configuration and the pools of this node. */
    void update(const ControlViewPointer&);

    /** Stops all tasks and waits for their end. */
    void stop();

private:
    struct Task {
        Upstream upstream;
        bool isStopping = false;
        std::thread thread;
    };

    void run(const std::shared_ptr<Task>&);
    void poll(const Upstream&);

    PoolHomes& m_pools;
    EngineClient m_engines;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::shared_ptr<Task>> m_tasks;
};

} // namespace bronzeswitch
