#pragma once

#include <base/RequestIdSequence.h>
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
 * Acquires slots for the requests that this node received from callers, from the homes of the pools. A slot is the
 * permission to run one request at one upstream.
 *
 * Only the slot request is ever resent: when the home was lost or has changed, and periodically in case a message was lost.
 * It keeps its ID, so the home handles it only once. Thread-safe.
 */
class SlotClient {
public:
    struct Options {
        std::function<std::vector<std::string>()> members; /**< The nodes that may be homes now. */
        std::function<bool(const std::string& node, const Message&)> send; /**< @return false if the node has no live link. */
    };

    explicit SlotClient(Options);

    /**
     * Requests a slot and waits for it. Blocks the calling thread.
     * @param request its ID is set by this call.
     * @param deadline until when the caller waits for its response.
     * @param isCancelled checked while waiting; the wait ends early once it returns true.
     * @return the grant, or the refusal. Nothing has been dispatched yet in either case.
     */
    tl::expected<SlotGrant, SlotRefusal> acquire(SlotRequest& request, TimePoint deadline, const std::function<bool()>& isCancelled);

    /** Returns a slot to the home of its pool after the dispatch has ended. */
    void release(const SlotRequest&, const SlotRelease&);

    /** Handles a grant. The slot is returned unused if no request waits for it. */
    void onGrant(const std::string& from, const SlotGrant&);

    /** Handles a refusal. */
    void onRefusal(const SlotRefusal&);

    /** Resends the pending requests and reports the running dispatches to the current homes. */
    void onMembersChanged();

    /** @return the number of requests that wait for a slot. */
    std::size_t pendingCount() const;

private:
    struct PendingRequest {
        SlotRequest request;
        TimePoint deadline {};
        std::optional<SlotGrant> grant;
        std::optional<SlotRefusal> refusal;
    };
    struct RunningDispatch {
        SlotRequest request;
        SlotGrant grant;
        TimePoint deadline {};
    };

    bool send(const SlotRequest&, TimePoint deadline);
    std::string homeOf(const std::string& pool) const;

    Options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<uint64_t, PendingRequest> m_pendingRequests; /**< By request ID. */
    std::map<uint64_t, RunningDispatch> m_runningDispatches; /**< By request ID. */
    RequestIdSequence m_requestIds;
};

} // namespace bronzeswitch
