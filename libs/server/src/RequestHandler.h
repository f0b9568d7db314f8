#pragma once

#include "ClaimClient.h"
#include "ControlView.h"
#include "DirectPlacer.h"
#include <metrics/Metrics.h>

#include <base/EventLog.h>
#include <caller/CallerRequest.h>
#include <caller/ModelAnswer.h>
#include <http/HttpServer.h>
#include <upstream/EngineClient.h>
#include <upstream/ServiceClient.h>

#include <atomic>
#include <variant>

namespace bronzeswitch {

/**
 * Serves one caller's request from its first byte to its last, in the task of the request.
 *
 * The way is straight: read, check the idempotency key, get a place, claim the key, dispatch once, answer, give the place
 * back. Only what comes before the dispatch is ever repeated.
 */
class RequestHandler {
public:
    using AnyPlacer = std::variant<PlaceClient*, DirectPlacer*>;

    struct Options {
        std::function<ControlViewPointer()> view;
        std::function<bool()> isReady;
        std::function<bool()> isDraining;
        AnyPlacer placer;
        ClaimClient* claims = nullptr;
        Metrics* metrics = nullptr;
        EventLog log;
        Duration silenceTimeout { 3000 };
    };

    explicit RequestHandler(Options options)
        : m_options(std::move(options))
        , m_engines(m_options.silenceTimeout)
    {
    }

    void handle(const HttpRequest&, HttpResponder&);

    /** Answers when too many requests are running. */
    void refuseOverload(HttpResponder&) const;

private:
    // One request on its way, with what every step needs.
    struct RequestContext {
        const CallerRequest& request;
        HttpResponder& responder;
        ControlViewPointer view;
        TimePoint deadline;
        PlaceAsk placeRequest;
        std::function<bool()> isCancelled;
    };
    // How an attempt to serve ended: answered, or with a problem, or with nothing sent so that another place may be asked.
    enum class AttemptResult { Finished, NothingSent };

    void serve(const CallerRequest&, HttpResponder&);
    bool answerFromClaim(RequestContext&, const ClaimAnswer&);
    AttemptResult attemptOnce(RequestContext&);
    AttemptResult dispatchModel(RequestContext&, const PlaceGrant&, const Upstream&);
    AttemptResult dispatchService(RequestContext&, const PlaceGrant&, const Upstream&, const std::string& claimAttempt);
    void finishService(RequestContext&, const ServiceResult&, const std::string& claimAttempt);
    bool claim(RequestContext&, const std::string& attempt);
    void release(const PlaceAsk&, const PlaceDone&);
    void refuse(RequestContext&, const Problem&);
    void countResult(const RequestContext&, const std::string& result) const;
    bool needsClaim(const CallerRequest&) const;
    static bool isPastDeadline(const RequestContext&);

    Options m_options;
    EngineClient m_engines;
};

} // namespace bronzeswitch
