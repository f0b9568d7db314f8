#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <sched/PoolScheduler.h>

using namespace bronzeswitch;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);
constexpr int ranks = 4;
constexpr int slots = 3;
constexpr int queueLimit = 6;

enum class OperationKind { Request, Release, Tick, RemoveNode };

struct Operation {
    OperationKind kind;
    int rank;
    int organisation;
    int node;
    int deadlineMs;
};

std::vector<Operation> anyOperations()
{
    const auto operation
        = rc::gen::build<Operation>(rc::gen::set(&Operation::kind,
                                        rc::gen::weightedElement<OperationKind>({ { 10, OperationKind::Request },
                                            { 6, OperationKind::Release }, { 2, OperationKind::Tick }, { 1, OperationKind::RemoveNode } })),
            rc::gen::set(&Operation::rank, rc::gen::inRange(0, ranks)), rc::gen::set(&Operation::organisation, rc::gen::inRange(0, 3)),
            rc::gen::set(&Operation::node, rc::gen::inRange(0, 3)), rc::gen::set(&Operation::deadlineMs, rc::gen::inRange(200, 20000)));
    return *rc::gen::container<std::vector<Operation>>(operation);
}

// Runs operations against a scheduler and tracks the state that the requesting nodes would have.
class Simulation {
public:
    Simulation()
        : m_pool(start)
    {
        PoolPlan plan;
        Upstream upstream;
        upstream.name = "e1";
        upstream.pool = "reader";
        upstream.model = "reader";
        upstream.version = "v1";
        upstream.slots = slots;
        plan.upstreams = { upstream };
        plan.versions = { { "check", "reader", "v1", "", 0, "", 0 } };
        plan.limits.queuePerPool = queueLimit;
        m_pool.configure(plan, start);
    }

    void run(const Operation& operation)
    {
        switch (operation.kind) {
        case OperationKind::Request:
            return request(operation);
        case OperationKind::Release:
            return release();
        case OperationKind::Tick:
            m_now += Duration(500);
            return applyDecisions(m_pool.tick(m_now));
        case OperationKind::RemoveNode:
            return removeNode("n" + std::to_string(operation.node));
        }
    }

    size_t running() const { return m_running.size(); }
    size_t waiting() const { return m_waiting.size(); }
    const PoolScheduler& pool() const { return m_pool; }
    bool hasShedBeforeLowerRank() const { return m_hasShedBeforeLowerRank; }
    bool hasGrantedBeforeHigherRank() const { return m_hasGrantedBeforeHigherRank; }
    bool hasUnexpectedResponse() const { return m_hasUnexpectedResponse; }

private:
    using Key = std::pair<std::string, uint64_t>;

    void request(const Operation& operation)
    {
        const Key key { "n" + std::to_string(operation.node), ++m_lastId };
        m_waiting[key] = operation.rank;
        applyDecisions(m_pool.requestSlot(key.first,
            { key.second, "reader", "check", "o" + std::to_string(operation.organisation), operation.rank, 10, 5, operation.deadlineMs, {},
                {}, false },
            m_now));
    }

    void release()
    {
        if (m_running.empty())
            return;
        const auto key = m_running.begin()->first;
        m_running.erase(m_running.begin());
        applyDecisions(m_pool.releaseSlot(key.first, { key.second, DispatchOutcome::Completed, 50, 10000, 5, 0 }, m_now));
    }

    void removeNode(const std::string& node)
    {
        std::erase_if(m_waiting, [&](const auto& item) { return item.first.first == node; });
        std::erase_if(m_running, [&](const auto& item) { return item.first.first == node; });
        applyDecisions(m_pool.removeNode(node, m_now));
    }

    bool isAnyWaiting(int fromRank, int toRank) const
    {
        return std::any_of(
            m_waiting.begin(), m_waiting.end(), [&](const auto& item) { return item.second >= fromRank && item.second <= toRank; });
    }

    void applyDecisions(const SlotDecisions& decisions)
    {
        for (const auto& decision : decisions) {
            const auto id = std::visit([](const auto& response) { return response.id; }, decision.response);
            const auto found = m_waiting.find({ decision.node, id });
            if (found == m_waiting.end()) {
                m_hasUnexpectedResponse = true;
                continue;
            }
            const auto [key, rank] = *found;
            m_waiting.erase(found);
            if (std::holds_alternative<SlotGrant>(decision.response)) {
                m_hasGrantedBeforeHigherRank |= isAnyWaiting(0, rank - 1);
                m_running[key] = rank;
                continue;
            }
            const auto reason = std::get<SlotRefusal>(decision.response).reason;
            const bool isShed = reason == RefusalReason::QueueFull || reason == RefusalReason::Evicted;
            m_hasShedBeforeLowerRank |= isShed && isAnyWaiting(rank + 1, ranks);
        }
    }

    PoolScheduler m_pool;
    TimePoint m_now = start;
    uint64_t m_lastId = 0;
    std::map<Key, int> m_waiting;
    std::map<Key, int> m_running;
    bool m_hasShedBeforeLowerRank = false;
    bool m_hasGrantedBeforeHigherRank = false;
    bool m_hasUnexpectedResponse = false;
};

const std::string rapidCheckParameters = "seed=20261204 max_success=300";

template <typename Property> bool holdsForAll(const std::string& description, Property property)
{
    ::setenv("RC_PARAMS", rapidCheckParameters.c_str(), 1);
    return rc::check(description, property);
}

} // namespace

TEST_CASE("a higher rank is never shed while a lower one waits, nor passed over by a grant")
{
    CHECK(holdsForAll("rank order", [] {
        Simulation simulation;
        for (const auto& operation : anyOperations()) {
            simulation.run(operation);
            RC_ASSERT_FALSE(simulation.hasShedBeforeLowerRank());
            RC_ASSERT_FALSE(simulation.hasGrantedBeforeHigherRank());
        }
    }));
}

TEST_CASE("every slot request gets at most one response, and scheduler and nodes agree on what waits and runs")
{
    CHECK(holdsForAll("consistent counts", [] {
        Simulation simulation;
        for (const auto& operation : anyOperations()) {
            simulation.run(operation);
            RC_ASSERT_FALSE(simulation.hasUnexpectedResponse());
            RC_ASSERT(simulation.waiting() == simulation.pool().waiting());
            RC_ASSERT(simulation.running() == static_cast<size_t>(simulation.pool().inFlight("e1")));
            RC_ASSERT(simulation.pool().inFlight("e1") <= slots);
            RC_ASSERT(simulation.pool().waiting() <= queueLimit);
        }
    }));
}

TEST_CASE("an organisation that always waits is served its share, however many requests another one has queued")
{
    CHECK(holdsForAll("fair share", [] {
        const auto backlog = *rc::gen::inRange(2, 20);
        WaitingQueue queue([](const std::string&) { return 1; });
        uint64_t id = 0;
        const auto push = [&](const std::string& organisation) {
            queue.push({ "n1", { ++id, "p", "r", organisation, 1, 0, 10, 1000, {}, {}, false }, start, start, 0 });
        };
        for (int i = 0; i < backlog * 10; ++i)
            push("large");
        push("small");
        int small = 0;
        constexpr int grants = 10;
        for (int i = 0; i < grants; ++i) {
            bool isTaken = false;
            queue.takeInOrder([&](const Waiter& waiter) {
                if (isTaken)
                    return WaitingQueue::VisitResult::Skip;
                isTaken = true;
                small += waiter.request.organisation == "small";
                return WaitingQueue::VisitResult::Take;
            });
            push("small");
        }
        RC_ASSERT(small >= grants / 2 - 1);
    }));
}
