#include "RequestHandler.h"

#include <base/HttpStatus.h>

#include <base/Hash.h>

namespace bronzeswitch {

namespace {

using namespace httpstatus;

constexpr int maxUnreachableAttempts = 3;
constexpr int notRunStatus = 0; // Recorded for an attempt that was certainly not run.
constexpr int unknownOutcomeStatus = -1; // Recorded for an attempt that may have run.
constexpr size_t maxRecordedBodyBytes = 32U << 10U; // Larger response bodies are not kept for retries.
constexpr Duration defaultRetryAfter { 1000 };

Problem problemOf(const SlotRefusal& refusal)
{
    const std::string reason = toString(refusal.reason);
    std::optional<Duration> retry;
    if (refusal.retryAfterMs > 0)
        retry = Duration(refusal.retryAfterMs);
    switch (refusal.reason) {
    case RefusalReason::DeadlineTooShort:
        return { gatewayTimeout, reason, Execution::NotRun, "the request can't finish before its deadline", retry };
    case RefusalReason::NoUpstream:
        return { serviceUnavailable, reason, Execution::NotRun, "no upstream of the route's version can take the request", retry };
    default:
        return { serviceUnavailable, reason, Execution::NotRun, "more urgent or earlier work fills the queue", retry };
    }
}

} // namespace

void RequestHandler::refuseOverload(HttpResponder& responder) const
{
    responder.send(toResponse(
        { serviceUnavailable, "node-full", Execution::NotRun, "this node serves as many requests as it can", defaultRetryAfter }));
}

void RequestHandler::handle(const HttpRequest& request, HttpResponder& responder)
{
    if (!m_options.isReady() || m_options.isDraining()) {
        const auto* reason = m_options.isDraining() ? "draining" : "not-ready";
        responder.send(toResponse({ serviceUnavailable, reason, Execution::NotRun, "this node takes no requests now", defaultRetryAfter }));
        return;
    }
    const auto view = m_options.view();
    if (request.path == "/v1/models" && request.method == "GET")
        return responder.send(listModels(*view->configuration));
    const auto parsed = parseCallerRequest(request, *view->configuration);
    if (!parsed) {
        m_options.metrics->countRequest(0, parsed.error().reason);
        return responder.send(toResponse(parsed.error()));
    }
    serve(*parsed, responder);
}

bool RequestHandler::needsClaim(const CallerRequest& request) const { return !request.route.idempotent && !request.idempotencyKey.empty(); }

void RequestHandler::serve(const CallerRequest& request, HttpResponder& responder)
{
    RequestContext context { request, responder, m_options.view(), std::chrono::steady_clock::now() + request.deadline, {},
        [&] { return responder.isClientDisconnected(); } };
    context.slotRequest.pool = request.route.pool;
    context.slotRequest.route = request.route.name;
    context.slotRequest.organisation = request.organisation;
    context.slotRequest.rank = request.rank;
    context.slotRequest.promptTokens = request.promptTokens;
    context.slotRequest.outputTokens = request.maxTokens;
    context.slotRequest.prefixes = request.prefixes;
    if (needsClaim(request)) {
        // Looks the key up before a slot is requested, so that a known outcome is returned even if the queue is full.
        const auto known = m_options.claims->request(request.idempotencyKey, "", ClaimMode::LookUp, context.deadline, context.isCancelled);
        if (respondFromClaim(context, known))
            return;
    }
    for (int attempt = 0; attempt < maxUnreachableAttempts; ++attempt) {
        if (attemptOnce(context) == AttemptResult::Finished)
            return;
    }
    refuse(context,
        { serviceUnavailable, "upstream-unreachable", Execution::NotRun, "no connection to an upstream could be made", defaultRetryAfter });
}

// Responds to the caller if the state of its key allows no new attempt. Returns true if it has responded.
bool RequestHandler::respondFromClaim(RequestContext& context, const ClaimResponse& response)
{
    switch (response.state) {
    case ClaimState::Free:
    case ClaimState::Granted:
        return false;
    case ClaimState::Recorded:
        if (response.status == unknownOutcomeStatus)
            break;
        if (response.status > 0 && response.contentType == "too-large") {
            refuse(context,
                { conflict, "answer-not-kept", Execution::Unknown, "the request was run before; its answer was too large to keep",
                    std::nullopt });
            return true;
        }
        context.responder.send({ response.status,
            { { "Content-Type", response.contentType }, { "X-Request-Id", context.request.requestId }, { "Idempotent-Replay", "true" } },
            response.body });
        countResult(context, "replayed");
        return true;
    case ClaimState::Running:
        refuse(context, { conflict, "still-running", Execution::Unknown, "an earlier attempt is still running", defaultRetryAfter });
        return true;
    case ClaimState::Unavailable:
        refuse(context,
            { serviceUnavailable, "claims-unavailable", Execution::NotRun, "the key can't be claimed now; this attempt was not run",
                defaultRetryAfter });
        return true;
    case ClaimState::Unknown:
        break;
    }
    refuse(context,
        { conflict, "outcome-unknown", Execution::Unknown, "an earlier attempt may have run; its outcome is not known", std::nullopt });
    return true;
}

RequestHandler::AttemptResult RequestHandler::attemptOnce(RequestContext& context)
{
    const auto grant
        = std::visit([&](auto* slotProvider) { return slotProvider->acquire(context.slotRequest, context.deadline, context.isCancelled); },
            m_options.slotProvider);
    if (!grant) {
        if (context.isCancelled())
            countResult(context, "caller-left");
        else
            refuse(context, problemOf(grant.error()));
        return AttemptResult::Finished;
    }
    const auto* upstream = context.view->configuration->findUpstream(grant->upstream);
    if (!upstream) {
        context.view = m_options.view();
        upstream = context.view->configuration->findUpstream(grant->upstream);
    }
    if (!upstream) {
        release(context.slotRequest, { context.slotRequest.id, DispatchOutcome::Cancelled, 0, 0, 0, 0 });
        return AttemptResult::NothingSent;
    }
    const auto claimAttempt = needsClaim(context.request) ? randomId() : std::string();
    if (!claimAttempt.empty() && !claim(context, claimAttempt)) {
        release(context.slotRequest, { context.slotRequest.id, DispatchOutcome::Cancelled, 0, 0, 0, 0 });
        return AttemptResult::Finished;
    }
    const auto result = context.request.route.kind == UpstreamKind::Engine ? dispatchModel(context, *grant, *upstream)
                                                                           : dispatchService(context, *grant, *upstream, claimAttempt);
    if (result == AttemptResult::NothingSent) {
        m_options.events.write(events::upstreamUnreachable, "upstream=" + upstream->name);
        context.slotRequest.excluded.push_back(upstream->name);
    }
    return result;
}

// Returns true if the key was granted to this attempt in time. Otherwise reports the attempt as not run, which releases the
// key: the record of a claim whose response was lost may still reach the log.
bool RequestHandler::claim(RequestContext& context, const std::string& attempt)
{
    const auto& key = context.request.idempotencyKey;
    const auto response = m_options.claims->request(key, attempt, ClaimMode::Claim, context.deadline, context.isCancelled);
    const bool isGranted = response.state == ClaimState::Granted;
    const bool isInTime = std::chrono::steady_clock::now() < context.deadline;
    if (isGranted && isInTime)
        return true;
    m_options.claims->reportOutcome({ key, attempt, notRunStatus, "", "" });
    if (isGranted)
        refuse(context, problemOf({ 0, RefusalReason::DeadlineTooShort, 0 }));
    else
        respondFromClaim(context, response);
    return false;
}

RequestHandler::AttemptResult RequestHandler::dispatchModel(RequestContext& context, const SlotGrant& grant, const Upstream& upstream)
{
    const auto& request = context.request;
    const auto dispatchId = request.requestId + "." + std::to_string(context.slotRequest.id);
    EngineCall call { upstream.address, request.requestId, dispatchId, request.route.name, request.route.model, grant.version,
        request.prompt, request.maxTokens, std::chrono::duration_cast<Duration>(context.deadline - std::chrono::steady_clock::now()) };
    ModelResponseWriter answer(request, context.responder);
    const auto result = m_engines.run(
        call, [&](std::string_view text) { return answer.write(text); }, context.isCancelled);
    release(context.slotRequest,
        { context.slotRequest.id, result.outcome, static_cast<int>(result.firstToken.count()),
            static_cast<int>(result.betweenTokens.count()), result.tokens, result.cachedTokens });
    if (result.resumeCount) {
        m_options.metrics->countIncident("resumed", result.resumeCount);
        m_options.events.write(events::streamResumed, "upstream=" + upstream.name + " times=" + std::to_string(result.resumeCount));
    }
    if (result.mismatchedChunks) {
        m_options.metrics->countIncident("dropped-chunk", result.mismatchedChunks);
        m_options.events.write(events::answerDropped, "upstream=" + upstream.name);
    }
    switch (result.outcome) {
    case DispatchOutcome::Unreachable:
        return AttemptResult::NothingSent;
    case DispatchOutcome::Completed:
        answer.finish(result.tokens, result.cachedTokens);
        countResult(context, "completed");
        return AttemptResult::Finished;
    case DispatchOutcome::Cancelled:
        countResult(context, "caller-left");
        return AttemptResult::Finished;
    case DispatchOutcome::Failed:
        break;
    }
    const bool isTimedOut = isPastDeadline(context);
    const Problem problem { isTimedOut ? gatewayTimeout : badGateway, isTimedOut ? "deadline-passed" : "upstream-failed",
        Execution::Unknown, result.message, std::nullopt };
    answer.fail(problem);
    countResult(context, problem.reason);
    return AttemptResult::Finished;
}

RequestHandler::AttemptResult RequestHandler::dispatchService(
    RequestContext& context, const SlotGrant&, const Upstream& upstream, const std::string& claimAttempt)
{
    const auto& request = context.request;
    const auto start = std::chrono::steady_clock::now();
    const auto timeout = std::max(Duration(1), std::chrono::duration_cast<Duration>(context.deadline - start));
    // A call with a claimed key is not cancelled when the caller disconnects, because its outcome is recorded for retries.
    const std::function<bool()> isCancelled = claimAttempt.empty() ? context.isCancelled : [] { return false; };
    const auto result = callService(request.forwarded, upstream.address, request.requestId, timeout, isCancelled);
    const auto elapsed = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start);
    const bool isServerError = result.outcome == DispatchOutcome::Completed && result.response.status >= 500;
    release(context.slotRequest,
        { context.slotRequest.id, isServerError ? DispatchOutcome::Failed : result.outcome, static_cast<int>(elapsed.count()), 0, 0, 0 });
    if (result.isMismatched) {
        m_options.metrics->countIncident("dropped-answer");
        m_options.events.write(events::answerDropped, "upstream=" + upstream.name);
    }
    if (result.outcome == DispatchOutcome::Unreachable) {
        if (!claimAttempt.empty())
            m_options.claims->reportOutcome({ request.idempotencyKey, claimAttempt, notRunStatus, "", "" });
        return AttemptResult::NothingSent;
    }
    finishService(context, result, claimAttempt);
    return AttemptResult::Finished;
}

void RequestHandler::finishService(RequestContext& context, const ServiceResult& result, const std::string& claimAttempt)
{
    const auto& request = context.request;
    const bool isAnswered = result.outcome == DispatchOutcome::Completed;
    const auto contentType = findHeader(result.response.headers, "Content-Type");
    if (!claimAttempt.empty()) {
        const bool isKept = result.response.body.size() <= maxRecordedBodyBytes;
        const ClaimOutcome outcome { request.idempotencyKey, claimAttempt, isAnswered ? result.response.status : unknownOutcomeStatus,
            isKept ? contentType : "too-large", isKept ? result.response.body : "" };
        m_options.claims->reportOutcome(outcome);
    }
    if (isAnswered) {
        auto headers = endToEndHeaders(result.response.headers);
        setHeader(headers, { "X-Request-Id", request.requestId });
        context.responder.send({ result.response.status, headers, result.response.body });
        countResult(context, result.response.status < 500 ? "completed" : "upstream-failed");
        return;
    }
    m_options.events.write(events::outcomeUnclear, "request=" + request.requestId);
    const bool isTimedOut = isPastDeadline(context);
    refuse(context,
        { isTimedOut ? gatewayTimeout : badGateway, isTimedOut ? "deadline-passed" : "upstream-failed", Execution::Unknown, result.message,
            std::nullopt });
}

// Timeouts are rounded down to whole milliseconds, so a call may time out shortly before the deadline.
bool RequestHandler::isPastDeadline(const RequestContext& context)
{
    constexpr Duration tolerance { 5 };
    return std::chrono::steady_clock::now() + tolerance >= context.deadline;
}

void RequestHandler::release(const SlotRequest& slotRequest, const SlotRelease& slotRelease)
{
    std::visit([&](auto* slotProvider) { slotProvider->release(slotRequest, slotRelease); }, m_options.slotProvider);
}

void RequestHandler::refuse(RequestContext& context, const Problem& problem)
{
    ModelResponseWriter(context.request, context.responder).fail(problem);
    countResult(context, problem.reason);
}

void RequestHandler::countResult(const RequestContext& context, const std::string& result) const
{
    m_options.metrics->countRequest(context.request.rank, result);
}

} // namespace bronzeswitch
