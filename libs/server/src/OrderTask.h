#pragma once

#include "ControlView.h"
#include "PoolHomes.h"

#include <base/EventLog.h>
#include <infra/WeightStore.h>
#include <ledger/LeaseKeeper.h>
#include <upstream/EngineClient.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace bronzeswitch {

/**
 * Brings engines to the version that the configuration names for them.
 *
 * For each pool of this node it holds the pool's lease for orders, gets a ticket of the weight store, closes one engine
 * to new work, waits until it is empty and orders it to load. An engine that ignores fencing numbers is ordered only
 * after the lease has been held for longer than an earlier holder's order could still be on its way.
 */
class OrderTask {
public:
    struct Options {
        std::string node;
        std::shared_ptr<NodeLog> log;
        const LedgerFollower<NodeLog>* follower = nullptr;
        PoolHomes* pools = nullptr;
        std::string weightStoreAuthority;
        EventLog events;
    };

    explicit OrderTask(Options);
    ~OrderTask();
    OrderTask(const OrderTask&) = delete;
    OrderTask& operator=(const OrderTask&) = delete;

    void stop();

private:
    void run();
    void orderNextEngine(const std::string& pool);
    bool isOrderSafe(const std::string& lease, const Upstream&) const;
    void order(const std::string& lease, const Upstream&);
    bool waitUntilIdle(const Upstream&);
    bool pause(Duration);

    Options m_options;
    LeaseKeeper<NodeLog> m_leases;
    HttpWeightStore m_weights;
    EngineClient m_engines;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace bronzeswitch
