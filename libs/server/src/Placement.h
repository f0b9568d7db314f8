#pragma once

#include "ControlView.h"
#include "PlaceClient.h"

#include <concepts>
#include <map>
#include <mutex>

namespace bronzeswitch {

/** Gives and takes back places; see PlaceClient for the meaning of the calls. */
template <typename T>
concept Placer
    = requires(T& placer, SlotRequest& ask, TimePoint deadline, const std::function<bool()>& isCancelled, const SlotRelease& done)
{
    {
        placer.acquire(ask, deadline, isCancelled)
        } -> std::same_as<tl::expected<SlotGrant, SlotRefusal>>;
    {
        placer.release(ask, done)
        } -> std::same_as<void>;
};

static_assert(Placer<PlaceClient>);

/**
 * The baselines: dispatches at once to an upstream that this node picks by itself, with no queue and no other node's help.
 */
class DirectPlacer {
public:
    enum class Rule { RoundRobin, LeastOutstanding };

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
    std::map<std::string, int> m_outstanding;
    std::map<uint64_t, std::string> m_places;
    uint64_t m_lastId = 0;
    std::size_t m_next = 0;
};

static_assert(Placer<DirectPlacer>);

} // namespace bronzeswitch
