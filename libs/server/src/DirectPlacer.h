#pragma once

#include "ControlView.h"
#include "PlaceClient.h"

#include <concepts>
#include <map>
#include <mutex>

namespace bronzeswitch {

/** Acquires and releases places, that is, permissions to dispatch one request to one upstream. PlaceClient documents the calls. */
template <typename T>
concept Placer
    = requires(T& placer, SlotRequest& request, TimePoint deadline, const std::function<bool()>& isCancelled, const SlotRelease& done)
{
    {
        placer.acquire(request, deadline, isCancelled)
        } -> std::same_as<tl::expected<SlotGrant, SlotRefusal>>;
    {
        placer.release(request, done)
        } -> std::same_as<void>;
};

static_assert(Placer<PlaceClient>);

/**
 * Grants places immediately, without a queue and without asking other nodes, by one of two baseline rules that the scheduler
 * is compared with. Knows only the requests of this node. Thread-safe.
 */
class DirectPlacer {
public:
    enum class Rule { RoundRobin, LeastOutstanding }; /**< See PlacementPolicy. */

    DirectPlacer(Rule rule, std::function<ControlViewPointer()> view)
        : m_rule(rule)
        , m_view(std::move(view))
    {
    }

    tl::expected<SlotGrant, SlotRefusal> acquire(SlotRequest&, TimePoint deadline, const std::function<bool()>& isCancelled);
    void release(const SlotRequest&, const SlotRelease&);

private:
    Rule m_rule;
    std::function<ControlViewPointer()> m_view;
    std::mutex m_mutex;
    std::map<std::string, int> m_outstanding; /**< Requests in flight by upstream. */
    std::map<uint64_t, std::string> m_upstreamOfPlace; /**< By request ID. */
    uint64_t m_lastId = 0;
    std::size_t m_nextIndex = 0;
};

static_assert(Placer<DirectPlacer>);

} // namespace bronzeswitch
