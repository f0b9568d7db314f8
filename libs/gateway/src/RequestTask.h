#pragma once

#include "BodyReader.h"
#include "CallerResponse.h"
#include "Dispatch.h"
#include "ResolvedRequest.h"

#include <gateway/EventStream.h>
#include <gateway/GatewayContext.h>
#include <net/CallerConnection.h>

#include <memory>
#include <set>
#include <vector>

namespace bronzeswitch {

/**
 * Handles one request until its response has been sent.
 *
 * Finds the route and the organisation, takes tokens of the quota, waits for a slot of an upstream, dispatches the request and
 * forwards the response. A request that may have run is dispatched again only if its route is idempotent or a resumable stream.
 */
class RequestTask {
public:
    RequestTask(GatewayContext&, CallerConnection&, FullHttpRequest);
    ~RequestTask();
    RequestTask(const RequestTask&) = delete;
    RequestTask& operator=(const RequestTask&) = delete;

    /** Handles the request. @return true if the caller's connection can carry another request. */
    Task<bool> run();

    /** Ends the wait for a slot: the node is about to stop, and sends nothing to upstreams any more. */
    void stopWaiting();

    /** Ends a dispatch over a path that this node has lost, unless bytes have arrived a short time ago. */
    void endSilentDispatch();

    /** @return when bytes of its upstream last arrived over this node's own path; the epoch if none have. */
    TimePoint lastReceivedDirectly() const;

    /** Ends the request although its upstream has not responded completely: the node stops now. */
    void abandon();

private:
    using Outcome = Dispatch::Outcome;

    /** An upstream's complete response. */
    struct BufferedResponse {
        std::string upstream;
        ResponseHead head;
        BufferedBody body;
    };

    void setDeadlines();

    /** Replaces a rejection that an older routing may have caused by one that the newest routing confirms, or by a refusal. */
    Task<void> confirmRejection();

    /** Responds to a request that is not dispatched. @return true if the caller's connection can be reused. */
    Task<bool> refuse(const Problem&);

    /** Takes the request's tokens of its organisation's quota. @return the refusal if there are too few. */
    Task<std::optional<Problem>> acquireQuota();

    /** @return a refusal if the prompt has parts that crash upstreams. */
    std::optional<Problem> checkPrompt() const;

    QuotaWaits quotaWaits() const;
    SlotRequest makeSlotRequest();

    /** Waits for a slot. @return the grant, or why there is none. */
    Task<tl::expected<SlotGrant, SlotRefusal>> acquireSlot();

    /** Dispatches the request, again as long as mayRetry() allows. @return true if the caller's connection can be reused. */
    Task<bool> dispatchWithRetries();

    Task<Outcome> dispatch(Dispatch&);

    /** Records why the request must not be sent to the upstream, if so. @return true if it must not be sent. */
    bool withhold(Dispatch&);

    Task<Outcome> exchange(Dispatch&, AcquiredConnection&);
    Task<Result<ResponseHead>> readResponseHead(Dispatch&, UpstreamConnection&, OutgoingRequest);
    /** @return true if the response to this request is meant, not one to an earlier request on the same connection. */
    bool isOwnResponse(const Dispatch&, const ResponseMetadata&) const;

    Task<Outcome> handleResponse(Dispatch&, UpstreamConnection&, const ResponseHead&);

    Task<Outcome> forwardResponse(Dispatch&, UpstreamConnection&, ResponseHead);

    /** Keeps the response of an upstream that failed, for a caller whose request no other upstream completes. */
    void keepFailureResponse(BufferedResponse);

    Task<Outcome> forwardStream(Dispatch&, UpstreamConnection&, const ResponseHead&);

    /** @return why the stream is broken behind the events of a batch, if so. @param more result of the read that the batch is from. */
    std::optional<Error> streamError(
        const Dispatch&, const UpstreamConnection&, const Result<bool>& more, const EventStream::Batch& batch) const;

    /** Counts the complete events of a read. */
    void countEvents(Dispatch&, int64_t events);

    /** Applies what the upstream states about itself and about further requests of this node. */
    void applyStatements(const Dispatch&, const ResponseHead&, const ResponseMetadata&);

    Outcome recordFailure(Dispatch&, const Error&);

    /** Returns the slot and reports what the dispatch shows about the upstream and its version, once for each dispatch. */
    void releaseSlot(Dispatch&, Outcome);

    /** Returns the slot and sends the response, so that a caller that doesn't read it holds no slot meanwhile. */
    Task<Outcome> complete(Dispatch&, BufferedResponse&);

    /** Decides on a retry and takes it out of the service's retry budget. */
    bool mayRetry(Outcome, const Dispatch&);

    /** @return true if the route allows a request that may have run to run again. */
    bool isSafeToRunAgain() const;

    OutgoingRequest makeUpstreamRequest(const Dispatch&) const;

    /**
     * Responds to a request that no dispatch has completed.
     * @return true if the caller's connection can be reused.
     */
    Task<bool> respondToFailure(Outcome);

    /** @return what the caller gets if there is no upstream's response to pass on. */
    Problem problemAfter(Outcome worstOutcome) const;

    /** Sends an upstream's response. It is given up if the caller doesn't read it and the memory is needed for others. */
    Task<bool> sendUpstreamResponse(BufferedResponse&);

    void onCallerDisconnect();

    /** @return the time until a point, at least 1 ms. */
    Duration timeLeft(TimePoint until) const;

    Duration elapsedBeforeArrival();
    Duration idleTimeout() const;
    void logDispatch(const Dispatch&, Outcome) const;

    /** @return the fields that all events of the request carry in the decision log. */
    nlohmann::json describe() const;

    GatewayContext& m_context;
    std::shared_ptr<std::set<RequestTask*>> m_activeRequests;
    CallerConnection& m_caller;
    CallerResponse m_callerResponse;
    FullHttpRequest m_request;
    ResolvedRequest m_resolved;
    BodyReader m_bodies;
    std::shared_ptr<const std::string> m_body;
    std::string m_service;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
    TimePoint m_firstEventDeadline; /**< When the caller is assumed to give up a stream that has not begun. */
    EventStream m_stream { std::nullopt };
    bool m_hasCallerDisconnected = false;
    bool m_isAbandoned = false; /**< The node stops: its dispatch was ended, and no other one follows. */
    int m_attempts = 0; /**< How often the request has been sent to an upstream. */
    std::optional<BufferedResponse> m_failureResponse; /**< An upstream's failure response, sent to the caller if no retry succeeds. */
    std::optional<SlotRefusal> m_refusal;
    std::optional<QuotaResult> m_quotaResult; /**< Set if the organisation's quota is limited. */
    TimePoint m_quotaDecidedAt {};
    std::vector<std::string> m_excludedUpstreams; /**< Upstreams of earlier dispatches, which are not chosen again. */
    UpstreamConnection* m_activeConnection = nullptr; /**< Carries the request now; null between dispatches. */
    uint64_t m_slotRequestId = 0; /**< Of the current SlotRequest. */
    TimePoint m_slotRequestedAt {};
};

} // namespace bronzeswitch
