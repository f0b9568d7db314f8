#pragma once

#include "ControlView.h"
#include "SlotClient.h"

#include <concepts>
#include <map>
#include <mutex>

namespace bronzeswitch {

/** Acquires and releases slots. SlotClient documents the calls. */
template <typename T>
concept SlotProvider = requires(
    T& slotProvider, SlotRequest& request, TimePoint deadline, const std::function<bool()>& isCancelled, const SlotRelease& slotRelease)
{
    {
        slotProvider.acquire(request, deadline, isCancelled)
        } -> std::same_as<tl::expected<SlotGrant, SlotRefusal>>;
    {
        slotProvider.release(request, slotRelease)
        } -> std::same_as<void>;
};

static_assert(SlotProvider<SlotClient>);

/**
 * Grants slots immediately, without a queue and without requests to other nodes, by one of two baseline rules that the
 * scheduler is compared with. Knows only the requests of this node. Thread-safe.
 */
class DirectSlotProvider {
public:
    enum class Rule { RoundRobin, LeastOutstanding }; /**< See PlacementPolicy. */

    DirectSlotProvider(Rule rule, std::function<ControlViewPointer()> view)
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
    std::map<uint64_t, std::string> m_upstreamOfSlot; /**< By request ID. */
    uint64_t m_lastId = 0;
    std::size_t m_nextIndex = 0;
};

static_assert(SlotProvider<DirectSlotProvider>);

} // namespace bronzeswitch
