#include "RequestTask.h"

#include <algorithm>
#include <array>
#include <base/HttpStatus.h>
#include <boost/beast/core/string.hpp>
#include <cmath>
#include <cstdio>

namespace bronzeswitch {

namespace {

constexpr std::size_t maxAnswerBytes = 4UL * 1024 * 1024;
constexpr std::size_t maxBufferedBytes = 24UL * 1024 * 1024; // Of all requests of a node.
constexpr std::size_t maxUnusedBytes = 64UL * 1024; // Of an answer that is not passed on.
constexpr Duration unusedAnswerTime { 250 };
constexpr std::size_t maxExcluded = 4; // Upstreams that could not be reached, for one request.
constexpr int maxStrayAnswers = 2; // Answers to earlier requests that are skipped on a connection.
constexpr Duration leastRetryAfter { 100 };

double toMs(TimePoint::duration duration) { return toSeconds(duration) * millisecondsPerSecond; }

bool isSuccess(int status) { return status >= 200 && status < 300; }
bool isServerFailure(int status) { return status >= 500; }

// Statuses that promise a caller that its request has not run.
bool isNotRunPromise(int status)
{
    return status == httpstatus::requestTimeout || status == httpstatus::misdirectedRequest || status == httpstatus::tooManyRequests
        || status == httpstatus::serviceUnavailable;
}

std::string secondsText(Duration duration)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", toSeconds(duration));
    return text.data();
}

} // namespace

RequestTask::RequestTask(GatewayContext& context, CallerConnection& caller, WholeRequest request)
    : m_context(context)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_admission(admit(context, m_request))
    , m_arrived(monotonicNow())
    , m_deadline(m_arrived)
{
    ++m_context.activeRequests;
}

RequestTask::~RequestTask()
{
    m_caller.stopWatching();
    --m_context.activeRequests;
}

Task<bool> RequestTask::run()
{
    auto problem = m_admission.problem;
    if (!problem)
        setDeadlines();
    m_caller.watch([this] { onCallerLeft(); });
    if (!problem)
        problem = co_await takeQuota();
    if (m_hasLeft) {
        m_context.metrics.countRequest(m_admission.route->rank, "caller-left");
        m_context.log.write(events::callerLeft, describe());
        co_return false;
    }
    if (problem) {
        m_caller.stopWatching();
        const bool isRejected = problem->status != httpstatus::serviceUnavailable && problem->status != httpstatus::tooManyRequests;
        auto fields = describe();
        fields["reason"] = problem->reason;
        fields["status"] = problem->status;
        m_context.log.write(isRejected ? events::requestRejected : events::requestRefused, std::move(fields));
        m_context.metrics.countRequest(m_admission.route ? m_admission.route->rank : 0, problem->reason);
        co_return co_await sendProblem(*problem);
    }
    const bool isKept = co_await serve();
    m_caller.stopWatching();
    co_return isKept && !m_hasLeft;
}

void RequestTask::onCallerLeft()
{
    m_hasLeft = true;
    if (m_active)
        m_active->abort();
    else
        m_context.places.cancel(m_askId);
}

Task<std::optional<Problem>> RequestTask::takeQuota()
{
    if (!m_admission.organisation || !m_admission.organisation->quota.isLimited())
        co_return std::nullopt;
    const int tokens = m_admission.head.promptTokens ? *m_admission.head.promptTokens + m_admission.head.outputTokens
                                                     : m_admission.organisation->quota.plainRequestTokens;
    m_quota = co_await m_context.quotas.acquire(m_admission.organisation->name, tokens, m_deadline);
    m_quotaDecided = monotonicNow();
    if (m_quota->decision.isGranted)
        co_return std::nullopt;
    auto problem = notRun(
        httpstatus::tooManyRequests, "quota", "the organisation's quota is used up", std::max(m_quota->decision.wait, leastRetryAfter));
    co_return problem;
}

void RequestTask::setDeadlines()
{
    const auto& route = *m_admission.route;
    m_deadline = m_arrived + std::min(route.timeout, m_admission.head.patience.value_or(route.timeout));
    m_silenceDeadline = m_arrived + m_context.bounds.callerPatience.of(route);
    m_stream = EventStream(m_admission.head.lastEventId);
}

SlotRequest RequestTask::makeAsk()
{
    SlotRequest ask;
    m_askId = m_context.places.nextRequestId();
    ask.id = m_askId;
    ask.pool = m_service;
    ask.route = m_admission.route->name;
    ask.organisation = m_admission.organisation ? m_admission.organisation->name : "";
    ask.rank = m_admission.rank();
    ask.promptTokens = m_admission.head.promptTokens.value_or(0);
    ask.outputTokens = m_admission.head.expectedTokens.value_or(m_admission.head.outputTokens);
    ask.firstTokenTargetMs = m_admission.route->kind == RequestKind::Stream
        ? std::max(Duration(1), m_admission.route->targetLatency - callerAge()).count()
        : 0;
    ask.startTimeoutMs = m_admission.route->kind == RequestKind::Stream ? left(m_silenceDeadline).count() : 0;
    ask.prefixes = m_admission.head.prefixes;
    ask.excluded = m_excluded;
    return ask;
}

Task<bool> RequestTask::serve()
{
    m_service = chooseService(*m_admission.route);
    m_body = std::make_shared<const std::string>(std::move(m_request.body()));
    auto& budget = m_context.retryBudgetOf(m_service);
    budget.onRequest(m_arrived);
    Outcome worst = Outcome::NotRun;
    for (;;) {
        const auto grant = co_await m_context.places.acquire(makeAsk(), m_deadline);
        if (m_hasLeft) {
            m_context.log.write(events::callerLeft, describe());
            co_return false;
        }
        if (!grant) {
            m_refusal = grant.error();
            co_return co_await answerAfterFailure(worst);
        }
        Dispatch current;
        current.grant = *grant;
        const auto outcome = co_await dispatch(current);
        finishPlace(current, outcome);
        logDispatch(current, outcome);
        if (outcome == Outcome::Answered)
            co_return isKeepAlive();
        if (outcome == Outcome::CallerGone)
            co_return false;
        if (outcome != Outcome::NotRun)
            worst = outcome;
        m_excluded.push_back(current.grant.upstream);
        if (!mayRepeat(outcome, current))
            co_return co_await answerAfterFailure(worst);
    }
}

bool RequestTask::mayRunAgain() const
{
    return m_admission.route->kind == RequestKind::Idempotent
        || (m_admission.route->kind == RequestKind::Stream && m_admission.route->isResumable);
}

bool RequestTask::mayRepeat(Outcome outcome, const Dispatch& dispatch)
{
    if (outcome == Outcome::Broken || monotonicNow() >= m_deadline)
        return false;
    if (!dispatch.wasSent)
        return m_excluded.size() <= maxExcluded;
    if (m_attempts >= m_admission.route->maxAttempts)
        return false;
    if (outcome != Outcome::NotRun && !mayRunAgain())
        return false;
    return m_context.retryBudgetOf(m_service).take(m_context.nodes(), monotonicNow());
}

Task<RequestTask::Outcome> RequestTask::dispatch(Dispatch& current)
{
    const auto* upstream = m_context.directory.find(current.grant.upstream);
    if (!upstream) {
        current.problem = "gone from the directory";
        co_return Outcome::NotRun;
    }
    current.upstream = *upstream;
    const auto endpoint = parseEndpoint(upstream->address);
    if (!endpoint) {
        current.problem = endpoint.error().message;
        co_return Outcome::NotRun;
    }
    auto ready = co_await m_context.upstreams.acquire(*endpoint, m_deadline);
    if (m_hasLeft)
        co_return Outcome::CallerGone;
    if (!ready) {
        current.problem = "connect: " + ready.error().message;
        co_return Outcome::NotRun;
    }
    m_active = ready->connection.get();
    const auto outcome = co_await exchange(current, *ready);
    m_active = nullptr;
    if (outcome != Outcome::CallerGone && outcome != Outcome::Broken)
        m_context.upstreams.release(std::move(ready->connection));
    co_return outcome;
}

// A caller that comes back after a refusal has less patience left than the route's callers have at first.
Duration RequestTask::callerAge()
{
    if (!m_admission.head.patience)
        return Duration(0);
    auto& longest = m_context.longestPatience[m_admission.route->name];
    longest = std::max(longest, *m_admission.head.patience);
    return longest - *m_admission.head.patience;
}

OutgoingRequest RequestTask::makeRequest(const Dispatch& current) const
{
    const DispatchHead head { current.upstream.id, left(m_deadline), m_admission.organisation ? m_admission.organisation->name : "",
        m_stream.lastEventId() };
    const auto fields = m_context.dialect.makeDispatch(messageFields(m_request.base()), head);
    const auto method = m_request.method_string();
    const auto target = m_request.target();
    OutgoingRequest request;
    request.head = formatRequestHead({ method.data(), method.size() }, { target.data(), target.size() }, fields, m_body->size());
    request.body = m_body;
    request.isHeadMethod = m_request.method() == boost::beast::http::verb::head;
    return request;
}

Task<RequestTask::Outcome> RequestTask::exchange(Dispatch& current, ReadyConnection& ready)
{
    ++m_attempts;
    current.sent = monotonicNow();
    current.wasSent = true;
    m_context.rollouts.onDispatched(m_service, m_admission.route->name, current.upstream.version);
    auto head = co_await readOwnHead(current, *ready.connection, makeRequest(current));
    if (!head)
        co_return failureOutcome(current, head.error());
    co_return co_await takeAnswer(current, *ready.connection, *head);
}

// Skips answers to earlier requests that arrive late on a reused connection.
Task<Result<AnswerHead>> RequestTask::readOwnHead(Dispatch& current, UpstreamConnection& connection, OutgoingRequest request)
{
    auto head = co_await connection.exchange(std::move(request), m_deadline);
    for (int strays = 0; head && strays < maxStrayAnswers; ++strays) {
        const auto answered = m_context.dialect.readUpstream(*head).requestId;
        if (answered.empty() || answered == m_admission.head.requestId)
            break;
        m_context.log.write(events::answerDropped,
            { { "request", m_admission.head.requestId }, { "upstream", current.upstream.id }, { "answers", answered } });
        const auto skipped = co_await readWhole(connection, maxUnusedBytes, m_deadline);
        if (!skipped)
            co_return tl::unexpected(skipped.error());
        head = co_await connection.readHead(m_deadline);
    }
    co_return head;
}

RequestTask::Outcome RequestTask::failureOutcome(Dispatch& current, const Error& error) const
{
    current.problem = error.message;
    return m_hasLeft ? Outcome::CallerGone : Outcome::MayHaveRun;
}

Task<RequestTask::Outcome> RequestTask::takeAnswer(Dispatch& current, UpstreamConnection& connection, const AnswerHead& head)
{
    const auto says = m_context.dialect.readUpstream(head);
    current.firstByte = monotonicNow();
    if (says.load)
        m_context.places.reportLoad(m_service, current.upstream.id, *says.load);
    const bool isOwn = says.requestId.empty() || says.requestId == m_admission.head.requestId;
    if (isSuccess(head.status)) {
        const bool isUsable = isOwn && says.isSigned && fieldValue(head.fields, "Content-Encoding").empty();
        if (!isUsable) {
            current.problem = "answer without signature, of another request or encoded";
            connection.abort();
            co_return Outcome::MayHaveRun;
        }
        const bool isStream = m_admission.route->kind == RequestKind::Stream
            && boost::beast::iequals(fieldValue(head.fields, "Content-Type").substr(0, 17), "text/event-stream");
        if (isStream)
            co_return co_await passStream(current, connection, head);
        if (m_hasBegun) {
            current.problem = "no stream";
            co_return Outcome::MayHaveRun;
        }
        co_return co_await passWhole(current, connection, head);
    }
    current.problem = "status " + std::to_string(head.status);
    if (isOwn && (says.isNotRun || says.isOtherUpstream)) {
        // Only so that the connection can be used again.
        co_await readWhole(connection, maxUnusedBytes, std::min(m_deadline, monotonicNow() + unusedAnswerTime));
        co_return Outcome::NotRun;
    }
    auto body = co_await readWhole(connection, maxAnswerBytes, m_deadline);
    if (!body)
        co_return failureOutcome(current, body.error());
    if (!isOwn || !says.isSigned || isNotRunPromise(head.status))
        co_return Outcome::MayHaveRun;
    m_failedAnswer = WholeAnswer { head, std::move(*body) };
    if (isServerFailure(head.status) || m_hasBegun)
        co_return Outcome::Failed;
    co_return co_await sendWhole(m_failedAnswer->head, m_failedAnswer->body) ? Outcome::Answered : Outcome::CallerGone;
}

Task<Result<std::string>> RequestTask::readWhole(UpstreamConnection& connection, std::size_t limit, TimePoint deadline)
{
    std::string body;
    std::size_t counted = 0;
    Result<bool> more = true;
    while (more && *more && body.size() <= limit && m_context.bufferedBytes <= maxBufferedBytes) {
        more = co_await connection.readSome(body, deadline);
        m_context.bufferedBytes += body.size() - counted;
        counted = body.size();
    }
    m_context.bufferedBytes -= counted;
    if (!more)
        co_return tl::unexpected(more.error());
    if (*more)
        co_return fail(ErrorCode::Protocol, "answer too large");
    co_return body;
}

Task<RequestTask::Outcome> RequestTask::passWhole(Dispatch& current, UpstreamConnection& connection, AnswerHead head)
{
    auto body = co_await readWhole(connection, maxAnswerBytes, m_deadline);
    if (!body)
        co_return failureOutcome(current, body.error());
    co_return co_await sendWhole(head, *body) ? Outcome::Answered : Outcome::CallerGone;
}

Task<bool> RequestTask::sendWhole(const AnswerHead& head, const std::string& body)
{
    m_hasBegun = true;
    AnswerHead own { head.status, head.reason, messageFields(head.fields) };
    AnswerFraming framing;
    framing.length = body.size();
    framing.isClosing = !isKeepAlive();
    framing.idleTimeout = idleTimeout();
    co_return co_await m_caller.write(formatAnswerHead(own, framing) + body, std::max(m_deadline, monotonicNow() + Duration(1000)));
}

Task<RequestTask::Outcome> RequestTask::passStream(Dispatch& current, UpstreamConnection& connection, const AnswerHead& head)
{
    m_stream.restart();
    for (;;) {
        std::string bytes;
        const auto more = co_await connection.readSome(bytes, m_deadline);
        if (!more)
            co_return failureOutcome(current, more.error());
        const auto before = m_stream.events();
        const auto ready = m_stream.push(bytes);
        if (!ready) {
            connection.abort();
            co_return failureOutcome(current, ready.error());
        }
        if (!current.events && m_stream.events() > before)
            current.firstByte = monotonicNow();
        current.events += m_stream.events() - before;
        if (!*more && !m_stream.isWhole()) {
            current.problem = "stream ended inside an event";
            co_return Outcome::MayHaveRun;
        }
        std::string text;
        if (!m_hasBegun && (!ready->empty() || !*more)) {
            m_hasBegun = true;
            AnswerFraming framing;
            framing.framing = BodyFraming::Chunked;
            framing.isClosing = !isKeepAlive();
            framing.idleTimeout = idleTimeout();
            text = formatAnswerHead({ head.status, head.reason, messageFields(head.fields) }, framing);
        }
        if (!ready->empty())
            text += formatChunk(*ready);
        if (!*more)
            text += lastChunk;
        if (!text.empty() && !co_await m_caller.write(text, m_deadline))
            co_return Outcome::CallerGone;
        if (!*more)
            co_return Outcome::Answered;
    }
}

void RequestTask::finishPlace(const Dispatch& current, Outcome outcome)
{
    SlotRelease done;
    done.id = m_askId;
    done.outputTokens = m_admission.head.outputTokens;
    switch (outcome) {
    case Outcome::Answered:
        done.outcome = DispatchOutcome::Completed;
        break;
    case Outcome::CallerGone:
        done.outcome = DispatchOutcome::Cancelled;
        break;
    case Outcome::NotRun:
        done.outcome = current.wasSent ? DispatchOutcome::Cancelled : DispatchOutcome::Unreachable;
        break;
    default:
        done.outcome = DispatchOutcome::Failed;
    }
    if (current.firstByte > current.sent)
        done.firstTokenMs = static_cast<int>(toMs(current.firstByte - current.sent));
    if (const auto* service = m_admission.routing->findService(m_service); service && current.events > 1) {
        const double perToken
            = toSeconds(monotonicNow() - current.firstByte) / static_cast<double>((current.events - 1) * service->tokensPerEvent);
        constexpr double microsecondsPerSecond = 1e6;
        done.betweenTokensUs = static_cast<int>(perToken * microsecondsPerSecond);
    }
    m_context.places.release(current.grant.upstream, done);
    tellVersion(current, outcome, done.betweenTokensUs / millisecondsPerSecond);
}

// Broken connections say nothing of a version, and neither does the time of an upstream that warms up.
void RequestTask::tellVersion(const Dispatch& current, Outcome outcome, double betweenTokensMs)
{
    const bool isOwnAnswer = outcome == Outcome::Answered || outcome == Outcome::Failed;
    const bool wasWaitedFor = current.wasSent && (outcome == Outcome::CallerGone || monotonicNow() >= m_deadline);
    if (!isOwnAnswer && !wasWaitedFor)
        return;
    VersionObservation answer;
    answer.isFailed = outcome == Outcome::Failed;
    if (!current.upstream.isWarmingUp) {
        const auto until = current.firstByte > current.sent ? current.firstByte : monotonicNow();
        answer.firstByteMs = toMs(until - current.sent);
        answer.betweenTokensMs = betweenTokensMs;
    }
    m_context.rollouts.onResponse(m_service, m_admission.route->name, current.upstream.version, answer);
}

Task<bool> RequestTask::answerAfterFailure(Outcome worst)
{
    if (m_hasBegun) {
        m_context.log.write(events::requestFailed, describe());
        m_context.metrics.countRequest(m_admission.route->rank, "broken");
        m_caller.reset();
        co_return false;
    }
    if (m_failedAnswer) {
        m_context.metrics.countRequest(m_admission.route->rank, "failed");
        co_return co_await sendWhole(m_failedAnswer->head, m_failedAnswer->body) && isKeepAlive();
    }
    const bool isLate = monotonicNow() >= m_deadline;
    Problem problem;
    if (worst == Outcome::NotRun) {
        const Duration wait(m_refusal ? m_refusal->retryAfterMs : 0);
        problem = notRun(httpstatus::serviceUnavailable, m_refusal ? toString(m_refusal->reason) : "upstreams-unavailable",
            "no upstream could take the request", std::max(wait, leastRetryAfter));
    } else
        problem = { isLate ? httpstatus::gatewayTimeout : httpstatus::badGateway, isLate ? "timeout" : "upstream-failed",
            Execution::Unknown, "the upstream's answer is missing or incomplete", std::nullopt };
    auto fields = describe();
    fields["reason"] = problem.reason;
    fields["status"] = problem.status;
    m_context.log.write(worst == Outcome::NotRun ? events::requestRefused : events::requestFailed, std::move(fields));
    m_context.metrics.countRequest(m_admission.route->rank, problem.reason);
    co_return co_await sendProblem(problem);
}

Task<bool> RequestTask::sendProblem(const Problem& problem)
{
    AnswerHead head { problem.status, "", {} };
    head.fields.set("Content-Type", "application/problem+json");
    if (problem.retryAfter)
        head.fields.set("Retry-After", secondsText(*problem.retryAfter));
    co_return co_await sendWhole(head, toJsonText(problem)) && isKeepAlive();
}

Duration RequestTask::left(TimePoint until) const { return std::max(Duration(1), std::chrono::floor<Duration>(until - monotonicNow())); }

bool RequestTask::isKeepAlive() const { return m_request.keep_alive() && !m_context.isDraining; }

Duration RequestTask::idleTimeout() const
{
    return m_admission.routing ? m_admission.routing->document().callerBounds.idleTimeout : CallerBounds {}.idleTimeout;
}

nlohmann::json RequestTask::describe() const
{
    nlohmann::json fields { { "request", m_admission.head.requestId }, { "ageMs", std::lround(toMs(monotonicNow() - m_arrived)) },
        { "attempts", m_attempts }, { "routing", m_admission.routing ? m_admission.routing->version() : 0 } };
    if (m_admission.head.promptTokens) {
        fields["promptTokens"] = *m_admission.head.promptTokens;
        fields["outputTokens"] = m_admission.head.outputTokens;
        if (m_admission.head.expectedTokens)
            fields["expectedTokens"] = *m_admission.head.expectedTokens;
    }
    if (m_admission.route) {
        fields["route"] = m_admission.route->name;
        fields["kind"] = toString(m_admission.route->kind);
        fields["rank"] = m_admission.rank();
    }
    if (m_admission.organisation)
        fields["organisation"] = m_admission.organisation->name;
    if (m_quota) {
        fields["quotaTokens"] = m_quota->decision.tokens;
        fields["quotaBalance"] = m_quota->decision.balance;
        fields["quotaShare"] = m_quota->decision.share;
        fields["quotaHome"] = m_quota->home;
        fields["quotaAgeMs"] = std::lround(toMs(monotonicNow() - m_quotaDecided));
    }
    return fields;
}

void RequestTask::logDispatch(const Dispatch& current, Outcome outcome) const
{
    auto fields = describe();
    fields["upstream"] = current.grant.upstream;
    fields["address"] = current.upstream.address;
    fields["waitedMs"] = current.wasSent ? std::lround(toMs(current.sent - m_arrived)) : -1;
    if (current.firstByte > current.sent)
        fields["firstByteMs"] = std::lround(toMs(current.firstByte - current.sent));
    if (current.events)
        fields["events"] = current.events;
    if (outcome == Outcome::Answered) {
        m_context.metrics.countRequest(m_admission.route->rank, "completed");
        m_context.metrics.observeLatency("first-byte", m_admission.route->name, toSeconds(current.firstByte - m_arrived));
        m_context.metrics.observeLatency("whole", m_admission.route->name, toSeconds(monotonicNow() - m_arrived));
        m_context.log.write(events::requestAnswered, std::move(fields));
        return;
    }
    if (outcome == Outcome::CallerGone) {
        m_context.metrics.countRequest(m_admission.route->rank, "caller-left");
        m_context.log.write(events::callerLeft, std::move(fields));
        return;
    }
    fields["problem"] = current.problem;
    fields["mayHaveRun"] = outcome != Outcome::NotRun;
    m_context.metrics.countIncident("dispatch-unsuccessful");
    m_context.log.write(events::dispatchUnsuccessful, std::move(fields));
}

} // namespace bronzeswitch
