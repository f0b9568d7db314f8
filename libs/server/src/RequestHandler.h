#pragma once

#include "ClaimClient.h"
#include "ControlView.h"
#include "Placement.h"
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
        Duration silence { 3000 };
    };

    explicit RequestHandler(Options options)
        : m_options(std::move(options))
        , m_engines(m_options.silence)
    {
    }

    void handle(const HttpRequest&, HttpResponder&);

    /** Answers when too many requests are running. */
    void refuseOverload(HttpResponder&) const;

private:
    // One request on its way, with what every step needs.
    struct Passage {
        const CallerRequest& request;
        HttpResponder& responder;
        ControlViewPointer view;
        TimePoint deadline;
        SlotRequest ask;
        std::function<bool()> isCancelled;
    };
    // How an attempt to serve ended: answered, or with a problem, or with nothing sent so that another place may be asked.
    enum class Attempt { Over, NothingSent };

    void serve(const CallerRequest&, HttpResponder&);
    bool answerFromClaim(Passage&, const ClaimResponse&);
    Attempt attemptOnce(Passage&);
    Attempt dispatchModel(Passage&, const SlotGrant&, const Upstream&);
    Attempt dispatchService(Passage&, const SlotGrant&, const Upstream&, const std::string& claimAttempt);
    void finishService(Passage&, const ServiceResult&, const std::string& claimAttempt);
    bool claim(Passage&, const std::string& attempt);
    void release(const SlotRequest&, const SlotRelease&);
    void refuse(Passage&, const Problem&);
    void count(const Passage&, const std::string& result) const;
    bool needsClaim(const CallerRequest&) const;
    static bool isLate(const Passage&);

    Options m_options;
    EngineClient m_engines;
};

} // namespace bronzeswitch
