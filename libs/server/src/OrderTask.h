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
 * Orders engines to load the version that the configuration names for them.
 *
 * For each pool whose home is this node, one engine at a time: holds the pool's lease for orders, gets a ticket from the
 * weight store, pauses the granting of slots at the engine, waits until it is idle, and orders it to load. An engine that
 * ignores fencing numbers is ordered only after the lease has been held for longer than an order of an earlier holder can
 * still be in transit. Runs on a thread of its own.
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

    /** Starts the thread. */
    explicit OrderTask(Options);
    ~OrderTask();
    OrderTask(const OrderTask&) = delete;
    OrderTask& operator=(const OrderTask&) = delete;

    /** Stops the thread and waits for its end. */
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
