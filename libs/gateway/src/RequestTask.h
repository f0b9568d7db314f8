#pragma once

#include "Admission.h"

#include <gateway/EventStream.h>
#include <gateway/GatewayContext.h>
#include <net/CallerConnection.h>

#include <memory>
#include <vector>

namespace bronzeswitch {

/**
 * The way of one request from its head to the last byte of its answer.
 *
 * Finds route and organisation, waits for a place, dispatches, and passes the answer on. What may be repeated follows from
 * the route: a request that may have run is sent again only if it is idempotent or a stream that may be resumed.
 */
class RequestTask {
public:
    RequestTask(GatewayContext&, CallerConnection&, WholeRequest);
    ~RequestTask();
    RequestTask(const RequestTask&) = delete;
    RequestTask& operator=(const RequestTask&) = delete;

    /** @return true if the caller's connection may carry another request. */
    Task<bool> run();

private:
    /** How a dispatch ended. */
    enum class Outcome {
        Answered, /**< The caller has its whole answer. */
        Broken, /**< The caller has a part and will get no more. */
        NotRun,
        MayHaveRun,
        Failed, /**< The upstream ran the request and reported a failure, which is kept for the caller. */
        CallerGone,
    };

    struct Dispatch {
        SlotGrant grant;
        UpstreamEntry upstream;
        TimePoint sent {};
        TimePoint firstByte {};
        int64_t events = 0;
        bool wasSent = false;
        std::string problem;
    };

    void setDeadlines();
    Task<std::optional<Problem>> takeQuota();
    SlotRequest makeAsk();
    Task<bool> serve();
    Task<Outcome> dispatch(Dispatch&);
    Task<Outcome> exchange(Dispatch&, ReadyConnection&);
    Task<Result<AnswerHead>> readOwnHead(Dispatch&, UpstreamConnection&, OutgoingRequest);
    Task<Outcome> takeAnswer(Dispatch&, UpstreamConnection&, const AnswerHead&);
    Task<Result<std::string>> readWhole(UpstreamConnection&, std::size_t limit, TimePoint deadline);
    Task<Outcome> passWhole(Dispatch&, UpstreamConnection&, AnswerHead);
    Task<Outcome> passStream(Dispatch&, UpstreamConnection&, const AnswerHead&);
    Task<bool> beginStream(const AnswerHead&);
    Outcome failureOutcome(Dispatch&, const Error&) const;
    void finishPlace(const Dispatch&, Outcome);
    void tellVersion(const Dispatch&, Outcome, double betweenTokensMs);
    bool mayRepeat(Outcome, const Dispatch&);
    bool mayRunAgain() const;
    OutgoingRequest makeRequest(const Dispatch&) const;
    Task<bool> answerAfterFailure(Outcome);
    Task<bool> sendProblem(const Problem&);
    Task<bool> sendWhole(const AnswerHead&, const std::string& body);
    void onCallerLeft();
    Duration left(TimePoint until) const;
    Duration callerAge();
    bool isKeepAlive() const;
    Duration idleTimeout() const;
    void logDispatch(const Dispatch&, Outcome) const;
    nlohmann::json describe() const;

    GatewayContext& m_context;
    CallerConnection& m_caller;
    WholeRequest m_request;
    Admission m_admission;
    std::shared_ptr<const std::string> m_body;
    std::string m_service;
    TimePoint m_arrived;
    TimePoint m_deadline;
    TimePoint m_silenceDeadline; /**< When the caller gives up a stream that has not begun. */
    EventStream m_stream { std::nullopt };
    bool m_hasBegun = false; /**< The head of an answer has been sent. */
    bool m_hasLeft = false;
    int m_attempts = 0;
    std::optional<WholeAnswer> m_failedAnswer; /**< The upstream's own failure, passed on when nothing better comes. */
    std::optional<SlotRefusal> m_refusal;
    std::optional<QuotaResult> m_quota; /**< Of an organisation with a limit. */
    TimePoint m_quotaDecided {};
    std::vector<std::string> m_excluded;
    UpstreamConnection* m_active = nullptr;
    uint64_t m_askId = 0;
};

} // namespace bronzeswitch
