#pragma once

#include <base/TimerService.h>
#include <protocol/Messages.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bronzeswitch {

/**
 * Gets places for an entry node's requests from the homes of the pools.
 *
 * Only the ask for a place is ever repeated: when its home is gone or has moved, and at intervals in case a message was
 * lost. An ask keeps its identifier, so repeating it has no second effect at the home.
 */
class PlaceClient {
public:
    struct Options {
        std::function<std::vector<std::string>()> members;
        std::function<bool(const std::string& node, const Message&)> send;
    };

    explicit PlaceClient(Options);

    /**
     * Waits for a place. Runs in the task of the request.
     * @param ask its identifier is set here.
     * @param deadline time until which the caller waits.
     * @param isCancelled checked while waiting.
     * @return the grant, or why there is none; nothing has been dispatched.
     */
    tl::expected<PlaceGrant, PlaceRefuse> acquire(PlaceAsk& request, TimePoint deadline, const std::function<bool()>& isCancelled);

    /** Returns a place. */
    void release(const PlaceAsk&, const PlaceDone&);

    void onGrant(const std::string& from, const PlaceGrant&);
    void onRefuse(const PlaceRefuse&);

    /** Repeats the waiting asks and reports the running dispatches to the homes of now. */
    void onMembersChanged();

    std::size_t pendingCount() const;

private:
    struct PendingRequest {
        PlaceAsk request;
        TimePoint deadline {};
        std::optional<PlaceGrant> grant;
        std::optional<PlaceRefuse> refusal;
    };
    struct RunningDispatch {
        PlaceAsk request;
        PlaceGrant grant;
        TimePoint deadline {};
    };

    bool send(const PlaceAsk&, TimePoint deadline);
    std::string homeOf(const std::string& pool) const;

    Options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<uint64_t, PendingRequest> m_pendingRequests;
    std::map<uint64_t, RunningDispatch> m_runningDispatches;
    uint64_t m_lastId = 0;
};

} // namespace bronzeswitch
