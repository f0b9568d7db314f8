#pragma once

#include "ClaimClient.h"
#include "ControlView.h"
#include "DirectSlotProvider.h"
#include <metrics/Metrics.h>

#include <base/EventLog.h>
#include <caller/CallerRequest.h>
#include <caller/ModelResponseWriter.h>
#include <http/HttpServer.h>
#include <upstream/EngineClient.h>
#include <upstream/ServiceClient.h>

#include <atomic>
#include <variant>

namespace bronzeswitch {

/**
 * Handles the requests of callers, each in its own task from its first byte to its last.
 *
 * The steps are: parse the request, look its idempotency key up, acquire a slot, claim the key, dispatch once, respond, and
 * release the slot. Only steps before the dispatch are ever retried.
 */
class RequestHandler {
public:
    using AnySlotProvider = std::variant<SlotClient*, DirectSlotProvider*>;

    struct Options {
        std::function<ControlViewPointer()> view;
        std::function<bool()> isReady;
        std::function<bool()> isDraining;
        AnySlotProvider slotProvider;
        ClaimClient* claims = nullptr;
        Metrics* metrics = nullptr;
        EventLog events;
        Duration silenceTimeout { 3000 }; /**< An engine's stream that sends nothing for this long is resumed. */
    };

    explicit RequestHandler(Options options)
        : m_options(std::move(options))
        , m_engines(m_options.silenceTimeout)
    {
    }

    void handle(const HttpRequest&, HttpResponder&);

    /** Refuses a request because the maximum number of requests are running. */
    void refuseOverload(HttpResponder&) const;

private:
    // State of one request that all steps share.
    struct RequestContext {
        const CallerRequest& request;
        HttpResponder& responder;
        ControlViewPointer view;
        TimePoint deadline;
        SlotRequest slotRequest;
        std::function<bool()> isCancelled;
    };
    // Finished: a response or problem was sent. NothingSent: nothing reached an upstream, so another slot may be requested.
    enum class AttemptResult { Finished, NothingSent };

    void serve(const CallerRequest&, HttpResponder&);
    bool respondFromClaim(RequestContext&, const ClaimResponse&);
    AttemptResult attemptOnce(RequestContext&);
    AttemptResult dispatchModel(RequestContext&, const SlotGrant&, const Upstream&);
    AttemptResult dispatchService(RequestContext&, const SlotGrant&, const Upstream&, const std::string& claimAttempt);
    void finishService(RequestContext&, const ServiceResult&, const std::string& claimAttempt);
    bool claim(RequestContext&, const std::string& attempt);
    void release(const SlotRequest&, const SlotRelease&);
    void refuse(RequestContext&, const Problem&);
    void countResult(const RequestContext&, const std::string& result) const;
    bool needsClaim(const CallerRequest&) const;
    static bool isPastDeadline(const RequestContext&);

    Options m_options;
    EngineClient m_engines;
};

} // namespace bronzeswitch
