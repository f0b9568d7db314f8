#include "RequestTask.h"

#include "DispatchCheck.h"
#include "SlotRefusalProblem.h"

#include <algorithm>
#include <base/Hash.h>
#include <base/HttpStatus.h>
#include <boost/beast/core/string.hpp>
#include <cmath>
#include <gateway/BrokenResponses.h>
#include <gateway/CallerFingerprint.h>
#include <gateway/UpstreamPaths.h>

namespace bronzeswitch {

namespace {

constexpr std::size_t maxResponseBytes = 4UL * 1024 * 1024;
constexpr std::size_t maxDiscardedBytes = 64UL * 1024; // Of a response that is read only so that its connection can be reused.
constexpr Duration discardTimeout { 250 };
constexpr std::size_t maxUnreachableUpstreams = 4; // Per request.
constexpr int maxStaleResponses = 2; // Responses to earlier requests that are skipped on a connection.
constexpr std::size_t maxUnreachableWithoutPath = 1; // Per request, while this node has lost the path to the upstreams.
constexpr Duration silenceOnLostPath { 500 };
constexpr Duration minRetryAfter { 100 };
constexpr int quotaWaitDivisor = 2; // A request waits for tokens for half of its target latency, so that it can still be in time.
constexpr Duration maxQuotaWaitAfterTakeover { 1500 };
constexpr Duration routingRetryAfter { 500 };
constexpr int plainStartTimeoutFactor = 2; // Of the target latency; a plain request that waits longer for a slot is refused.

} // namespace

RequestTask::RequestTask(GatewayContext& context, CallerConnection& caller, FullHttpRequest request)
    : m_context(context)
    , m_activeRequests(context.activeRequests)
    , m_caller(caller)
    , m_callerResponse(context, caller, request.keep_alive())
    , m_request(std::move(request))
    , m_resolved(resolveRequest(context, m_request))
    , m_bodies(context, m_resolved.metadata.requestId)
    , m_arrivedAt(monotonicNow())
    , m_deadline(m_arrivedAt)
{
    m_activeRequests->insert(this);
}

RequestTask::~RequestTask()
{
    m_caller.stopWatching();
    m_activeRequests->erase(this);
}

Task<bool> RequestTask::run()
{
    co_await confirmRejection();
    m_callerResponse.setIdleTimeout(idleTimeout());
    auto problem = m_resolved.problem;
    if (!problem)
        setDeadlines();
    m_caller.watchDisconnect([this] { onCallerDisconnect(); });
    if (!problem)
        problem = checkPrompt();
    if (!problem)
        problem = co_await acquireQuota();
    if (m_hasCallerDisconnected) {
        m_context.metrics.countRequest(m_resolved.route->rank, "caller-left");
        m_context.log.write(events::callerLeft, describe());
        co_return false;
    }
    if (problem) {
        m_caller.stopWatching();
        co_return co_await refuse(*problem);
    }
    const bool canReuseConnection = co_await dispatchWithRetries();
    m_caller.stopWatching();
    co_return canReuseConnection && !m_hasCallerDisconnected;
}

Task<bool> RequestTask::refuse(const Problem& problem)
{
    const bool isRejected = problem.status != httpstatus::serviceUnavailable && problem.status != httpstatus::tooManyRequests;
    auto fields = describe();
    bronzeswitch::describe(fields, problem);
    m_context.log.write(isRejected ? events::requestRejected : events::requestRefused, std::move(fields));
    m_context.metrics.countRequest(m_resolved.route ? m_resolved.route->rank : 0, problem.reason);
    co_return co_await m_callerResponse.sendProblem(problem, m_deadline);
}

// A caller takes the rejection of an unknown route or key as final, so it needs the newest routing.
Task<void> RequestTask::confirmRejection()
{
    if (!m_resolved.dependsOnNewestRouting() || !m_context.confirmRouting)
        co_return;
    const bool isConfirmed = co_await m_context.confirmRouting();
    m_resolved = resolveRequest(m_context, m_request);
    if (isConfirmed || !m_resolved.dependsOnNewestRouting())
        co_return;
    m_resolved.problem = notRunProblem(
        httpstatus::serviceUnavailable, "routing-unconfirmed", "this node can't confirm that its routing is the newest", routingRetryAfter);
}

void RequestTask::onCallerDisconnect()
{
    m_hasCallerDisconnected = true;
    if (m_activeConnection)
        m_activeConnection->abort();
    else
        m_context.slots.cancel(m_slotRequestId);
}

void RequestTask::stopWaiting()
{
    if (!m_activeConnection)
        m_context.slots.cancel(m_slotRequestId);
}

void RequestTask::endSilentDispatch()
{
    if (m_activeConnection && !m_activeConnection->isPassedOn() && monotonicNow() - m_activeConnection->lastProgress() >= silenceOnLostPath)
        m_activeConnection->abort();
}

TimePoint RequestTask::lastReceivedDirectly() const
{
    const bool isDirect = m_activeConnection && !m_activeConnection->isPassedOn();
    return isDirect ? m_activeConnection->lastReceived() : TimePoint {};
}

void RequestTask::abandon()
{
    m_isAbandoned = true;
    if (m_activeConnection)
        m_activeConnection->abort();
}

std::optional<Problem> RequestTask::checkPrompt() const
{
    const auto remaining = m_context.prompts.remaining(m_resolved.metadata.sharedParts);
    if (!remaining)
        return std::nullopt;
    return notRunProblem(
        httpstatus::serviceUnavailable, "prompt-quarantined", "requests with a part of this prompt crash their upstreams", *remaining);
}

Task<std::optional<Problem>> RequestTask::acquireQuota()
{
    if (!m_resolved.organisation || !m_resolved.organisation->quota.isLimited())
        co_return std::nullopt;
    const int tokens = m_resolved.metadata.promptTokens ? *m_resolved.metadata.promptTokens + m_resolved.metadata.outputTokens
                                                        : m_resolved.organisation->quota.defaultRequestTokens;
    m_quotaResult = co_await m_context.quotas.acquire(m_resolved.organisation->name, tokens, quotaWaits(), m_deadline);
    m_quotaDecidedAt = monotonicNow();
    if (m_quotaResult->decision.isGranted)
        co_return std::nullopt;
    auto problem = notRunProblem(
        httpstatus::tooManyRequests, "quota", "the organisation's quota is used up", std::max(m_quotaResult->decision.wait, minRetryAfter));
    co_return problem;
}

QuotaWaits RequestTask::quotaWaits() const
{
    const auto& route = *m_resolved.route;
    return { route.targetLatency / quotaWaitDivisor, std::min(maxQuotaWaitAfterTakeover, timeLeft(m_deadline) / quotaWaitDivisor) };
}

void RequestTask::setDeadlines()
{
    const auto& route = *m_resolved.route;
    m_deadline = m_arrivedAt + std::min(route.timeout, m_resolved.metadata.timeout.value_or(route.timeout));
    m_firstEventDeadline = m_arrivedAt + m_context.bounds.streamEventTimeout.forRoute(route);
    m_stream = EventStream(m_resolved.metadata.lastEventId);
}

SlotRequest RequestTask::makeSlotRequest()
{
    SlotRequest request;
    m_slotRequestId = m_context.slots.nextRequestId();
    request.id = m_slotRequestId;
    request.pool = m_service;
    request.route = m_resolved.route->name;
    request.organisation = m_resolved.organisation ? m_resolved.organisation->name : "";
    request.rank = m_resolved.rank();
    request.promptTokens = m_resolved.metadata.promptTokens.value_or(0);
    request.outputTokens = m_resolved.metadata.expectedTokens.value_or(m_resolved.metadata.outputTokens);
    const auto& route = *m_resolved.route;
    if (route.kind == RequestKind::Stream) {
        request.firstTokenTargetMs = std::max(Duration(1), route.targetLatency - elapsedBeforeArrival()).count();
        request.startTimeoutMs = timeLeft(m_firstEventDeadline).count();
    } else {
        request.firstTokenTargetMs = route.targetLatency.count();
        request.startTimeoutMs = std::min(timeLeft(m_deadline), plainStartTimeoutFactor * route.targetLatency).count();
    }
    request.prefixes = m_resolved.metadata.prefixes;
    request.caller = callerFingerprint(request, { m_request.target().data(), m_request.target().size() }, *m_body);
    request.excluded = m_context.pauses.upstreams(m_context.directory, m_service, monotonicNow());
    request.excluded.insert(request.excluded.end(), m_excludedUpstreams.begin(), m_excludedUpstreams.end());
    return request;
}

Task<tl::expected<SlotGrant, SlotRefusal>> RequestTask::acquireSlot()
{
    const auto refusal = tl::unexpected(SlotRefusal { m_slotRequestId, RefusalReason::Draining, 0 });
    if (!m_context.mayDispatch)
        co_return refusal;
    m_slotRequestedAt = monotonicNow();
    auto grant = co_await m_context.slots.acquire(makeSlotRequest(), m_deadline);
    if (!grant && !m_context.mayDispatch)
        co_return refusal;
    co_return grant;
}

Task<bool> RequestTask::dispatchWithRetries()
{
    m_service = chooseService(*m_resolved.route);
    m_body = std::make_shared<const std::string>(std::move(m_request.body()));
    auto& budget = m_context.retryBudgetFor(m_service);
    budget.onRequest(m_arrivedAt);
    Outcome worstOutcome = Outcome::NotRun;
    for (;;) {
        const auto grant = co_await acquireSlot();
        if (m_hasCallerDisconnected) {
            m_context.log.write(events::callerLeft, describe());
            co_return false;
        }
        if (!grant) {
            m_refusal = grant.error();
            co_return co_await respondToFailure(worstOutcome);
        }
        Dispatch current;
        current.grant = *grant;
        current.grantedAt = m_slotRequestedAt + Duration(grant->waitedMs);
        if (checkPrompt()) {
            releaseSlot(current, Outcome::CallerDisconnected); // Unused: shows nothing about the upstream.
            co_return co_await respondToFailure(worstOutcome);
        }
        const auto outcome = co_await dispatch(current);
        current.isEvacuated = m_context.evacuations.isEvacuated(current.upstream.dataCentre);
        releaseSlot(current, outcome);
        reportPromptResult(m_context.prompts, current, outcome, m_resolved.metadata.sharedParts);
        logDispatch(current, outcome);
        if (outcome == Outcome::Completed)
            co_return m_callerResponse.isKeepAlive();
        if (outcome == Outcome::CallerDisconnected)
            co_return false;
        if (outcome != Outcome::NotRun)
            worstOutcome = outcome;
        m_excludedUpstreams.push_back(current.grant.upstream);
        if (!mayRetry(outcome, current))
            co_return co_await respondToFailure(worstOutcome);
    }
}

bool RequestTask::isSafeToRunAgain() const
{
    return m_resolved.route->kind == RequestKind::Idempotent
        || (m_resolved.route->kind == RequestKind::Stream && m_resolved.route->isResumable);
}

bool RequestTask::mayRetry(Outcome outcome, const Dispatch& current)
{
    if (outcome == Outcome::Truncated || m_isAbandoned || monotonicNow() >= m_deadline)
        return false;
    if (!current.wasSent)
        return m_excludedUpstreams.size() <= (m_context.paths->isCutOff() ? maxUnreachableWithoutPath : maxUnreachableUpstreams);
    if (m_attempts >= m_resolved.route->maxAttempts)
        return false;
    if (outcome != Outcome::NotRun && !isSafeToRunAgain())
        return false;
    if (current.isLost && m_context.prompts.isSuspect(m_resolved.metadata.sharedParts))
        return false;
    return m_context.retryBudgetFor(m_service).take(m_context.nodeCount(), monotonicNow());
}

Task<RequestTask::Outcome> RequestTask::dispatch(Dispatch& current)
{
    const auto* upstream = m_context.directory.find(current.grant.upstream);
    if (!upstream) {
        current.failure = "the upstream is no longer in the directory";
        co_return Outcome::NotRun;
    }
    current.upstream = *upstream;
    if (withhold(current))
        co_return Outcome::NotRun;
    auto path = co_await m_context.paths->acquire(current.upstream, m_deadline);
    if (m_hasCallerDisconnected)
        co_return Outcome::CallerDisconnected;
    if (!path) {
        current.failure = "connect: " + path.error().message;
        current.isPathLost = path.error().code != ErrorCode::NotFound && m_context.paths->isLost(current.upstream.id);
        if (!current.isPathLost)
            m_context.coldUpstreams.onConnectionLost(current.upstream, monotonicNow());
        co_return Outcome::NotRun;
    }
    current.passedOnBy = path->node;
    auto* ready = &path->connection;
    if (withhold(current)) {
        m_context.connectionPool.release(std::move(ready->connection));
        co_return Outcome::NotRun;
    }
    m_activeConnection = ready->connection.get();
    const auto outcome = co_await exchange(current, *ready);
    m_activeConnection = nullptr;
    if (outcome != Outcome::CallerDisconnected && outcome != Outcome::Truncated)
        m_context.connectionPool.release(std::move(ready->connection));
    co_return outcome;
}

bool RequestTask::withhold(Dispatch& current)
{
    const auto* reason = reasonToWithhold(m_context, m_service, current.upstream.id, current.grantedAt, monotonicNow());
    current.isWithheld = reason != nullptr;
    if (reason)
        current.failure = reason;
    return current.isWithheld;
}

// Estimates how long the caller has been trying before this attempt. A caller that retries after a refusal sends the rest of its
// timeout, so its shortfall against the longest timeout on the route is the time that earlier attempts took.
Duration RequestTask::elapsedBeforeArrival()
{
    if (!m_resolved.metadata.timeout)
        return Duration(0);
    auto& longest = m_context.longestTimeouts[m_resolved.route->name];
    longest = std::max(longest, *m_resolved.metadata.timeout);
    return longest - *m_resolved.metadata.timeout;
}

OutgoingRequest RequestTask::makeUpstreamRequest(const Dispatch& current) const
{
    const DispatchMetadata metadata { current.upstream.id, timeLeft(m_deadline),
        m_resolved.organisation ? m_resolved.organisation->name : "", m_stream.lastEventId() };
    auto fields = m_context.headerCodec.encodeDispatch(endToEndFields(m_request.base()), metadata);
    if (!current.passedOnBy.empty())
        fields.set("Connection", "close"); // It carries one request, and the mark of its end completes the response.
    const auto method = m_request.method_string();
    const auto target = m_request.target();
    OutgoingRequest request;
    request.head = formatRequestHead({ method.data(), method.size() }, { target.data(), target.size() }, fields, m_body->size());
    request.body = m_body;
    request.isHeadMethod = m_request.method() == boost::beast::http::verb::head;
    return request;
}

Task<RequestTask::Outcome> RequestTask::exchange(Dispatch& current, AcquiredConnection& ready)
{
    ++m_attempts;
    current.sentAt = monotonicNow();
    current.wasSent = true;
    current.isConnectionUsed = !ready.isNew;
    m_context.rollouts.onDispatched(m_service, m_resolved.route->name, current.upstream.version);
    auto head = co_await readResponseHead(current, *ready.connection, makeUpstreamRequest(current));
    if (!head)
        co_return recordFailure(current, head.error());
    co_return co_await handleResponse(current, *ready.connection, *head);
}

bool RequestTask::isOwnResponse(const Dispatch& current, const ResponseMetadata& metadata) const
{
    if (metadata.requestId.empty())
        return !current.isConnectionUsed;
    return metadata.requestId == m_resolved.metadata.requestId;
}

// Reads the head of the response to this request; skips responses to earlier requests that arrive late on a reused connection.
Task<Result<ResponseHead>> RequestTask::readResponseHead(Dispatch& current, UpstreamConnection& connection, OutgoingRequest request)
{
    auto head = co_await connection.exchange(std::move(request), m_deadline);
    for (int skippedResponses = 0; head && skippedResponses < maxStaleResponses; ++skippedResponses) {
        const auto metadata = m_context.headerCodec.decodeResponse(*head);
        if (isOwnResponse(current, metadata))
            break;
        current.isConnectionUsed = true;
        m_context.log.write(events::answerDropped,
            { { "request", m_resolved.metadata.requestId }, { "upstream", current.upstream.id }, { "answers", metadata.requestId } });
        const auto skipped = co_await m_bodies.read(current.upstream.id, connection, maxDiscardedBytes, m_deadline);
        if (!skipped)
            co_return tl::unexpected(skipped.error());
        head = co_await connection.readHead(m_deadline);
    }
    co_return head;
}

RequestTask::Outcome RequestTask::recordFailure(Dispatch& current, const Error& error)
{
    current.failure = error.message;
    recordBreak(current, error.code == ErrorCode::Unavailable, *m_context.paths);
    current.isEndedByNode = m_isAbandoned || error.code == ErrorCode::Exhausted;
    return m_hasCallerDisconnected ? Outcome::CallerDisconnected : Outcome::MayHaveRun;
}

Task<RequestTask::Outcome> RequestTask::handleResponse(Dispatch& current, UpstreamConnection& connection, const ResponseHead& head)
{
    const auto metadata = m_context.headerCodec.decodeResponse(head);
    current.firstByteAt = monotonicNow();
    if (current.passedOnBy.empty())
        m_context.paths->onResponse();
    current.statesLeaving = metadata.isLeaving;
    if (metadata.load)
        m_context.slots.reportLoad(m_service, current.upstream.id, *metadata.load);
    const bool isForThisRequest = isOwnResponse(current, metadata);
    if (isForThisRequest && !metadata.isMisdirected)
        applyStatements(current, head, metadata);
    if (httpstatus::isSuccess(head.status)) {
        const bool isUsable = isForThisRequest && metadata.isSigned && fieldValue(head.fields, "Content-Encoding").empty();
        if (!isUsable) {
            current.failure = "the response is unsigned, belongs to another request or has a content encoding";
            connection.abort();
            co_return Outcome::MayHaveRun;
        }
        const bool isStream = m_resolved.route->kind == RequestKind::Stream
            && boost::beast::iequals(fieldValue(head.fields, "Content-Type").substr(0, 17), "text/event-stream");
        if (isStream)
            co_return co_await forwardStream(current, connection, head);
        if (m_callerResponse.hasBegun()) {
            current.failure = "the response is not an event stream";
            co_return Outcome::MayHaveRun;
        }
        co_return co_await forwardResponse(current, connection, head);
    }
    current.failure = "status " + std::to_string(head.status);
    if (isForThisRequest && (metadata.isNotRun || metadata.isMisdirected)) {
        // Reads the rest of the response so that the connection can be reused.
        co_await m_bodies.read(current.upstream.id, connection, maxDiscardedBytes, std::min(m_deadline, monotonicNow() + discardTimeout));
        co_return Outcome::NotRun;
    }
    auto body = co_await m_bodies.read(current.upstream.id, connection, maxResponseBytes, m_deadline);
    if (!body)
        co_return recordFailure(current, body.error());
    if (!isForThisRequest || !metadata.isSigned || httpstatus::impliesNotRun(head.status))
        co_return Outcome::MayHaveRun;
    BufferedResponse response { current.upstream.id, head, std::move(*body) };
    if (httpstatus::isServerFailure(head.status) || m_callerResponse.hasBegun()) {
        keepFailureResponse(std::move(response));
        co_return Outcome::Failed;
    }
    co_return co_await complete(current, response);
}

void RequestTask::keepFailureResponse(BufferedResponse response)
{
    m_failureResponse = std::move(response);
    m_failureResponse->body.reservation.setComplete([this] { m_failureResponse.reset(); }, monotonicNow());
}

void RequestTask::applyStatements(const Dispatch& current, const ResponseHead& head, const ResponseMetadata& metadata)
{
    m_context.notices.onResponse(current.upstream, metadata, current.firstByteAt);
    m_context.coldUpstreams.onResponse(current.upstream, metadata, current.sentAt, current.firstByteAt);
    const bool isRefusal = head.status == httpstatus::serviceUnavailable || head.status == httpstatus::tooManyRequests;
    if (!isRefusal || !metadata.retryAfter)
        return;
    m_context.pauses.onRefused(current.upstream, *metadata.retryAfter, current.firstByteAt);
    if (!current.passedOnBy.empty())
        m_context.sendToNode(
            current.passedOnBy, PauseNotice { current.upstream.id, current.upstream.startedAt, metadata.retryAfter->count() });
    m_context.log.write(events::upstreamNotice,
        { { "upstream", current.upstream.id }, { "pauseMs", metadata.retryAfter->count() }, { "source", "response" } });
}

Task<RequestTask::Outcome> RequestTask::forwardResponse(Dispatch& current, UpstreamConnection& connection, ResponseHead head)
{
    auto body = co_await m_bodies.read(current.upstream.id, connection, maxResponseBytes, m_deadline);
    if (!body)
        co_return recordFailure(current, body.error());
    BufferedResponse response { current.upstream.id, std::move(head), std::move(*body) };
    co_return co_await complete(current, response);
}

Task<RequestTask::Outcome> RequestTask::complete(Dispatch& current, BufferedResponse& response)
{
    releaseSlot(current, Outcome::Completed);
    co_return co_await sendUpstreamResponse(response) ? Outcome::Completed : Outcome::CallerDisconnected;
}

Task<bool> RequestTask::sendUpstreamResponse(BufferedResponse& response)
{
    auto& [upstream, head, body] = response;
    body.reservation.setComplete([this] { m_callerResponse.reset(); }, monotonicNow());
    const bool isSent = co_await m_callerResponse.send(head, body.text, m_deadline);
    if (body.reservation.isGivenUp())
        m_bodies.recordGivenUp(upstream, body.text.size(), body.text.size());
    co_return isSent;
}

Task<RequestTask::Outcome> RequestTask::forwardStream(Dispatch& current, UpstreamConnection& connection, const ResponseHead& head)
{
    m_stream.discardPartialEvent();
    BodyReservation reservation(m_context.bodyMemory, current.upstream.id, [&connection] { connection.abort(); });
    for (;;) {
        std::string bytes;
        const auto more = co_await connection.readSome(bytes, m_deadline);
        if (reservation.isGivenUp())
            co_return recordFailure(
                current, m_bodies.recordGivenUp(current.upstream.id, connection.statedLength(), m_stream.pendingSize()));
        const auto before = m_stream.eventCount();
        const auto batch = m_stream.push(bytes);
        reservation.setSize(m_stream.pendingSize(), monotonicNow());
        countEvents(current, m_stream.eventCount() - before);
        const auto error = streamError(current, connection, more, batch);
        const bool isLast = !error && !*more;
        // Also before an error: these events count as passed on when the stream is resumed.
        const bool isSent = co_await m_callerResponse.sendEvents(head, batch.events, isLast, m_deadline);
        if (batch.error)
            connection.abort();
        if (!isSent)
            co_return Outcome::CallerDisconnected;
        if (error)
            co_return recordFailure(current, *error);
        if (isLast)
            co_return Outcome::Completed;
    }
}

std::optional<Error> RequestTask::streamError(
    const Dispatch& current, const UpstreamConnection& connection, const Result<bool>& more, const EventStream::Batch& batch) const
{
    if (!more)
        return more.error();
    if (batch.error || *more)
        return batch.error;
    if (current.eventCount == 0 && connection.endsWithConnection())
        return Error { ErrorCode::Unavailable, "the stream ended before its first event" };
    if (!m_stream.isAtEventBoundary())
        return Error { ErrorCode::Unavailable, "the stream ended inside an event" };
    return std::nullopt;
}

void RequestTask::countEvents(Dispatch& current, int64_t events)
{
    if (!current.eventCount && events > 0)
        current.firstByteAt = monotonicNow();
    const bool hadAnswered = current.hasAnsweredPrompt();
    current.eventCount += events;
    if (!hadAnswered && current.hasAnsweredPrompt())
        m_context.prompts.onAnswered(m_resolved.metadata.sharedParts);
}

void RequestTask::releaseSlot(Dispatch& current, Outcome outcome)
{
    if (std::exchange(current.isReleased, true))
        return;
    const auto now = monotonicNow();
    const auto* service = m_resolved.routing->findService(m_service);
    auto slotRelease = makeSlotRelease(current, outcome, service ? service->tokensPerEvent : 1, now);
    slotRelease.outputTokens = m_resolved.metadata.outputTokens;
    m_context.slots.release(current.grant.upstream, slotRelease);
    if (current.isLost && !current.isEndedByNode && outcome != Outcome::CallerDisconnected)
        m_context.coldUpstreams.onConnectionLost(current.upstream, now);
    const double betweenTokensMs = slotRelease.betweenTokensUs / millisecondsPerSecond;
    if (const auto observation = makeVersionObservation(current, outcome, now >= m_deadline, betweenTokensMs, now))
        m_context.rollouts.onResponse(m_service, m_resolved.route->name, current.upstream.version, *observation);
    else if (isResponseBroken(current))
        m_context.brokenResponses->onBroken(m_service, m_resolved.route->name, current.upstream);
}

Task<bool> RequestTask::respondToFailure(Outcome worstOutcome)
{
    if (m_callerResponse.hasBegun()) {
        m_context.log.write(events::requestFailed, describe());
        m_context.metrics.countRequest(m_resolved.route->rank, "broken");
        m_callerResponse.reset();
        co_return false;
    }
    if (m_failureResponse) {
        m_context.metrics.countRequest(m_resolved.route->rank, "failed");
        co_return co_await sendUpstreamResponse(*m_failureResponse) && m_callerResponse.isKeepAlive();
    }
    const auto problem = problemAfter(worstOutcome);
    auto fields = describe();
    bronzeswitch::describe(fields, problem);
    m_context.log.write(worstOutcome == Outcome::NotRun ? events::requestRefused : events::requestFailed, std::move(fields));
    m_context.metrics.countRequest(m_resolved.route->rank, problem.reason);
    co_return co_await m_callerResponse.sendProblem(problem, m_deadline);
}

Problem RequestTask::problemAfter(Outcome worstOutcome) const
{
    if (worstOutcome != Outcome::NotRun && m_isAbandoned)
        return { httpstatus::badGateway, "node-stopped", Execution::Unknown, "the node stopped before the upstream had answered",
            std::nullopt };
    if (worstOutcome != Outcome::NotRun) {
        const bool isLate = monotonicNow() >= m_deadline;
        return { isLate ? httpstatus::gatewayTimeout : httpstatus::badGateway, isLate ? "timeout" : "upstream-failed", Execution::Unknown,
            "the upstream's answer is missing or incomplete", std::nullopt };
    }
    if (auto problem = checkPrompt())
        return *problem;
    return slotRefusalProblem(
        m_refusal, m_context.pauses.shortest(m_context.directory, m_service, monotonicNow()), stableHash(m_context.node, m_slotRequestId));
}

Duration RequestTask::timeLeft(TimePoint until) const
{
    return std::max(Duration(1), std::chrono::floor<Duration>(until - monotonicNow()));
}

Duration RequestTask::idleTimeout() const
{
    return m_resolved.routing ? m_resolved.routing->document().callerLimits.idleTimeout : CallerLimits {}.idleTimeout;
}

nlohmann::json RequestTask::describe() const
{
    nlohmann::json fields { { "request", m_resolved.metadata.requestId },
        { "ageMs", std::lround(toMilliseconds(monotonicNow() - m_arrivedAt)) }, { "attempts", m_attempts },
        { "routing", m_resolved.routing ? m_resolved.routing->version() : 0 } };
    m_resolved.describe(fields);
    if (m_quotaResult) {
        fields["quotaTokens"] = m_quotaResult->decision.tokens;
        fields["quotaBalance"] = m_quotaResult->decision.balance;
        fields["quotaShare"] = m_quotaResult->decision.share;
        fields["quotaHome"] = m_quotaResult->home;
        fields["quotaAgeMs"] = std::lround(toMilliseconds(monotonicNow() - m_quotaDecidedAt));
    }
    return fields;
}

void RequestTask::logDispatch(const Dispatch& current, Outcome outcome) const
{
    auto fields = describe();
    bronzeswitch::describe(fields, current, m_arrivedAt);
    if (outcome == Outcome::Completed) {
        m_context.metrics.countRequest(m_resolved.route->rank, "completed");
        m_context.metrics.observeLatency("first-byte", m_resolved.route->name, toSeconds(current.firstByteAt - m_arrivedAt));
        m_context.metrics.observeLatency("whole", m_resolved.route->name, toSeconds(monotonicNow() - m_arrivedAt));
        m_context.log.write(events::requestAnswered, std::move(fields));
        return;
    }
    if (outcome == Outcome::CallerDisconnected) {
        m_context.metrics.countRequest(m_resolved.route->rank, "caller-left");
        m_context.log.write(events::callerLeft, std::move(fields));
        return;
    }
    if (!m_resolved.metadata.sharedParts.empty())
        fields["sharedParts"] = m_resolved.metadata.sharedParts;
    fields["problem"] = current.failure;
    fields["mayHaveRun"] = outcome != Outcome::NotRun;
    m_context.metrics.countIncident("dispatch-unsuccessful");
    m_context.log.write(events::dispatchUnsuccessful, std::move(fields));
}

} // namespace bronzeswitch
