#pragma once

#include "PoolHomes.h"

#include <upstream/EngineClient.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace bronzeswitch {

/**
 * Asks the upstreams of this node's pools for their load, version and cache events, one task for each upstream.
 *
 * Only the home of a pool asks, so an upstream is asked by one node however many there are.
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

    /** Starts and ends tasks so that they fit the configuration and the pools of this node. */
    void update(const ControlViewPointer&);

    /** Ends all tasks. */
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
