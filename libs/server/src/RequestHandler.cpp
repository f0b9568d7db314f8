#include "RequestHandler.h"

#include <base/HttpStatus.h>

#include <base/Hash.h>

namespace bronzeswitch {

namespace {

using namespace httpstatus;

constexpr int maxUnreachable = 3;
constexpr int notRunStatus = 0;
constexpr int unclearStatus = -1; // Recorded for an attempt that may or may not have run.
constexpr size_t maxRecordedBody = 32U << 10U;
constexpr Duration shortRetry { 1000 };

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
    responder.send(
        toResponse({ serviceUnavailable, "node-full", Execution::NotRun, "this node serves as many requests as it can", shortRetry }));
}

void RequestHandler::handle(const HttpRequest& request, HttpResponder& responder)
{
    if (!m_options.isReady() || m_options.isDraining()) {
        const auto* reason = m_options.isDraining() ? "draining" : "not-ready";
        responder.send(toResponse({ serviceUnavailable, reason, Execution::NotRun, "this node takes no requests now", shortRetry }));
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
    Passage passage { request, responder, m_options.view(), std::chrono::steady_clock::now() + request.deadline, {},
        [&] { return responder.isClientGone(); } };
    passage.ask.pool = request.route.pool;
    passage.ask.route = request.route.name;
    passage.ask.organisation = request.organisation;
    passage.ask.rank = request.rank;
    passage.ask.promptTokens = request.promptTokens;
    passage.ask.outputTokens = request.maxTokens;
    passage.ask.prefixes = request.prefixes;
    if (needsClaim(request)) {
        // A known key is answered without a place, so that a full queue does not hide an outcome.
        const auto known = m_options.claims->ask(request.idempotencyKey, "", ClaimMode::LookUp, passage.deadline, passage.isCancelled);
        if (answerFromClaim(passage, known))
            return;
    }
    for (int attempt = 0; attempt < maxUnreachable; ++attempt) {
        if (attemptOnce(passage) == Attempt::Over)
            return;
    }
    refuse(passage,
        { serviceUnavailable, "upstream-unreachable", Execution::NotRun, "no connection to an upstream could be made", shortRetry });
}

// @return true when the claim's state settles the request.
bool RequestHandler::answerFromClaim(Passage& passage, const ClaimResponse& answer)
{
    switch (answer.state) {
    case ClaimState::Free:
    case ClaimState::Granted:
        return false;
    case ClaimState::Recorded:
        if (answer.status == unclearStatus)
            break;
        if (answer.status > 0 && answer.contentType == "too-large") {
            refuse(passage,
                { conflict, "answer-not-kept", Execution::Unknown, "the request was run before; its answer was too large to keep",
                    std::nullopt });
            return true;
        }
        passage.responder.send({ answer.status,
            { { "Content-Type", answer.contentType }, { "X-Request-Id", passage.request.requestId }, { "Idempotent-Replay", "true" } },
            answer.body });
        count(passage, "replayed");
        return true;
    case ClaimState::Running:
        refuse(passage, { conflict, "still-running", Execution::Unknown, "an earlier attempt is still running", shortRetry });
        return true;
    case ClaimState::Unavailable:
        refuse(passage,
            { serviceUnavailable, "claims-unavailable", Execution::NotRun, "the key can't be claimed now; this attempt was not run",
                shortRetry });
        return true;
    case ClaimState::Unknown:
        break;
    }
    refuse(passage,
        { conflict, "outcome-unknown", Execution::Unknown, "an earlier attempt may have run; its outcome is not known", std::nullopt });
    return true;
}

RequestHandler::Attempt RequestHandler::attemptOnce(Passage& passage)
{
    const auto grant
        = std::visit([&](auto* placer) { return placer->acquire(passage.ask, passage.deadline, passage.isCancelled); }, m_options.placer);
    if (!grant) {
        if (passage.isCancelled())
            count(passage, "caller-left");
        else
            refuse(passage, problemOf(grant.error()));
        return Attempt::Over;
    }
    const auto* upstream = passage.view->configuration->findUpstream(grant->upstream);
    if (!upstream) {
        passage.view = m_options.view();
        upstream = passage.view->configuration->findUpstream(grant->upstream);
    }
    if (!upstream) {
        release(passage.ask, { passage.ask.id, DispatchOutcome::Cancelled, 0, 0, 0, 0 });
        return Attempt::NothingSent;
    }
    const auto claimAttempt = needsClaim(passage.request) ? randomId() : std::string();
    if (!claimAttempt.empty() && !claim(passage, claimAttempt)) {
        release(passage.ask, { passage.ask.id, DispatchOutcome::Cancelled, 0, 0, 0, 0 });
        return Attempt::Over;
    }
    const auto result = passage.request.route.kind == UpstreamKind::Engine ? dispatchModel(passage, *grant, *upstream)
                                                                           : dispatchService(passage, *grant, *upstream, claimAttempt);
    if (result == Attempt::NothingSent) {
        m_options.log.write(events::upstreamUnreachable, "upstream=" + upstream->name);
        passage.ask.excluded.push_back(upstream->name);
    }
    return result;
}

// @return true when this attempt won the key. A lost ask is released, since its record may still reach the log.
bool RequestHandler::claim(Passage& passage, const std::string& attempt)
{
    const auto& key = passage.request.idempotencyKey;
    const auto answer = m_options.claims->ask(key, attempt, ClaimMode::Claim, passage.deadline, passage.isCancelled);
    const bool isGranted = answer.state == ClaimState::Granted;
    const bool isInTime = std::chrono::steady_clock::now() < passage.deadline;
    if (isGranted && isInTime)
        return true;
    m_options.claims->record({ key, attempt, notRunStatus, "", "" });
    if (isGranted)
        refuse(passage, problemOf({ 0, RefusalReason::DeadlineTooShort, 0 }));
    else
        answerFromClaim(passage, answer);
    return false;
}

RequestHandler::Attempt RequestHandler::dispatchModel(Passage& passage, const SlotGrant& grant, const Upstream& upstream)
{
    const auto& request = passage.request;
    const auto dispatchId = request.requestId + "." + std::to_string(passage.ask.id);
    EngineCall call { upstream.address, request.requestId, dispatchId, request.route.name, request.route.model, grant.version,
        request.prompt, request.maxTokens, std::chrono::duration_cast<Duration>(passage.deadline - std::chrono::steady_clock::now()) };
    ModelResponseWriter answer(request, passage.responder);
    const auto result = m_engines.run(
        call, [&](std::string_view text) { return answer.write(text); }, passage.isCancelled);
    release(passage.ask,
        { passage.ask.id, result.outcome, static_cast<int>(result.firstToken.count()), static_cast<int>(result.betweenTokens.count()),
            result.tokens, result.cachedTokens });
    if (result.resumeCount) {
        m_options.metrics->countIncident("resumed", result.resumeCount);
        m_options.log.write(events::streamResumed, "upstream=" + upstream.name + " times=" + std::to_string(result.resumeCount));
    }
    if (result.mismatchedChunks) {
        m_options.metrics->countIncident("dropped-chunk", result.mismatchedChunks);
        m_options.log.write(events::answerDropped, "upstream=" + upstream.name);
    }
    switch (result.outcome) {
    case DispatchOutcome::Unreachable:
        return Attempt::NothingSent;
    case DispatchOutcome::Completed:
        answer.finish(result.tokens, result.cachedTokens);
        count(passage, "completed");
        return Attempt::Over;
    case DispatchOutcome::Cancelled:
        count(passage, "caller-left");
        return Attempt::Over;
    case DispatchOutcome::Failed:
        break;
    }
    const bool hasPassed = isLate(passage);
    const Problem problem { hasPassed ? gatewayTimeout : badGateway, hasPassed ? "deadline-passed" : "upstream-failed", Execution::Unknown,
        result.message, std::nullopt };
    answer.fail(problem);
    count(passage, problem.reason);
    return Attempt::Over;
}

RequestHandler::Attempt RequestHandler::dispatchService(
    Passage& passage, const SlotGrant&, const Upstream& upstream, const std::string& claimAttempt)
{
    const auto& request = passage.request;
    const auto start = std::chrono::steady_clock::now();
    const auto timeout = std::max(Duration(1), std::chrono::duration_cast<Duration>(passage.deadline - start));
    // A non-idempotent call is not cut when its caller leaves: its outcome is still wanted under its key.
    const std::function<bool()> isCancelled = claimAttempt.empty() ? passage.isCancelled : [] { return false; };
    const auto result = callService(request.forwarded, upstream.address, request.requestId, timeout, isCancelled);
    const auto elapsed = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start);
    const bool isServerError = result.outcome == DispatchOutcome::Completed && result.response.status >= 500;
    release(passage.ask,
        { passage.ask.id, isServerError ? DispatchOutcome::Failed : result.outcome, static_cast<int>(elapsed.count()), 0, 0, 0 });
    if (result.isMismatched) {
        m_options.metrics->countIncident("dropped-answer");
        m_options.log.write(events::answerDropped, "upstream=" + upstream.name);
    }
    if (result.outcome == DispatchOutcome::Unreachable) {
        if (!claimAttempt.empty())
            m_options.claims->record({ request.idempotencyKey, claimAttempt, notRunStatus, "", "" });
        return Attempt::NothingSent;
    }
    finishService(passage, result, claimAttempt);
    return Attempt::Over;
}

void RequestHandler::finishService(Passage& passage, const ServiceResult& result, const std::string& claimAttempt)
{
    const auto& request = passage.request;
    const bool isAnswered = result.outcome == DispatchOutcome::Completed;
    const auto contentType = findHeader(result.response.headers, "Content-Type");
    if (!claimAttempt.empty()) {
        const bool isKept = result.response.body.size() <= maxRecordedBody;
        const ClaimOutcome outcome { request.idempotencyKey, claimAttempt, isAnswered ? result.response.status : unclearStatus,
            isKept ? contentType : "too-large", isKept ? result.response.body : "" };
        m_options.claims->record(outcome);
    }
    if (isAnswered) {
        auto headers = endToEndHeaders(result.response.headers);
        setHeader(headers, { "X-Request-Id", request.requestId });
        passage.responder.send({ result.response.status, headers, result.response.body });
        count(passage, result.response.status < 500 ? "completed" : "upstream-failed");
        return;
    }
    m_options.log.write(events::outcomeUnclear, "request=" + request.requestId);
    const bool hasPassed = isLate(passage);
    refuse(passage,
        { hasPassed ? gatewayTimeout : badGateway, hasPassed ? "deadline-passed" : "upstream-failed", Execution::Unknown, result.message,
            std::nullopt });
}

// Calls are bounded in whole milliseconds, so they may end just before the deadline.
bool RequestHandler::isLate(const Passage& passage)
{
    constexpr Duration rounding { 5 };
    return std::chrono::steady_clock::now() + rounding >= passage.deadline;
}

void RequestHandler::release(const SlotRequest& ask, const SlotRelease& done)
{
    std::visit([&](auto* placer) { placer->release(ask, done); }, m_options.placer);
}

void RequestHandler::refuse(Passage& passage, const Problem& problem)
{
    ModelResponseWriter(passage.request, passage.responder).fail(problem);
    count(passage, problem.reason);
}

void RequestHandler::count(const Passage& passage, const std::string& result) const
{
    m_options.metrics->countRequest(passage.request.rank, result);
}

} // namespace bronzeswitch
