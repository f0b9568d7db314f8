#include <base/HttpStatus.h>
#include <http/HttpClient.h>
#include <nlohmann/json.hpp>
#include <thread>
#include <upstream/EngineClient.h>
#include <upstream/EventStreamParser.h>

namespace bronzeswitch {

using nlohmann::json;

namespace {

using namespace httpstatus;

constexpr int maxResumeAttempts = 5;
constexpr Duration controlTimeout { 2000 };
constexpr Duration resumeDelay { 100 };
constexpr std::string_view endMarker = "[DONE]";

// Receives a completion over one or more streams and checks that every chunk is the expected one.
class Completion {
public:
    Completion(
        const EngineCall& call, const EngineClient::OnText& onText, const EngineClient::IsCancelled& isCancelled, Duration idleTimeout)
        : m_call(call)
        , m_onText(onText)
        , m_isCancelled(isCancelled)
        , m_idleTimeout(idleTimeout)
        , m_start(std::chrono::steady_clock::now())
    {
    }

    EngineResult run()
    {
        dispatch();
        while (!m_isFinished && m_result.resumeCount < maxResumeAttempts && remainingTime().count() > 0) {
            std::this_thread::sleep_for(resumeDelay);
            resume();
        }
        if (!m_isFinished)
            end(DispatchOutcome::Failed, "the stream could not be completed");
        if (m_result.outcome != DispatchOutcome::Completed && m_isDispatched)
            cancelAtEngine();
        computeLatencies();
        return m_result;
    }

private:
    Duration remainingTime() const
    {
        return m_call.timeout - std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - m_start);
    }

    void dispatch()
    {
        const json body { { "id", m_call.dispatchId }, { "model", m_call.model }, { "version", m_call.version },
            { "prompt", m_call.prompt }, { "max_tokens", m_call.maxTokens }, { "stream", true } };
        const auto response = post("/v1/completions", body);
        m_isDispatched = response.has_value() || response.error().stage != CallStage::NotSent;
        if (!m_isDispatched)
            return end(DispatchOutcome::Unreachable, response.error().message);
        if (response && !response->isSuccess()) {
            m_result.status = response->status;
            return end(DispatchOutcome::Failed, "engine answered with status " + std::to_string(response->status));
        }
        handleStreamEnd(response);
    }

    void resume()
    {
        ++m_result.resumeCount;
        m_parser = {};
        const auto response = post("/v1/resume", { { "id", m_call.dispatchId }, { "position", m_result.tokens } });
        if (response && !response->isSuccess())
            return end(DispatchOutcome::Failed, "engine can't resume, status " + std::to_string(response->status));
        handleStreamEnd(response);
    }

    tl::expected<HttpResponse, CallError> post(const std::string& path, const json& body)
    {
        CallOptions options;
        options.totalTimeout = std::max(remainingTime(), Duration(1));
        options.idleTimeout = m_idleTimeout;
        options.isCancelled = m_isCancelled;
        options.onData
            = [this](std::string_view bytes) { return m_parser.feed(bytes, [this](std::string_view data) { return handleEvent(data); }); };
        const HttpHeaders headers { { "Content-Type", "application/json" }, { "X-Request-Id", m_call.requestId },
            { "X-Route", m_call.route } };
        return httpCall({ "POST", path, headers, body.dump(), "" }, m_call.authority, options);
    }

    void handleStreamEnd(const tl::expected<HttpResponse, CallError>& response)
    {
        if (m_isFinished)
            return;
        if (m_isCancelled())
            return end(DispatchOutcome::Cancelled, "the caller has left");
        if (remainingTime().count() <= 0)
            return end(DispatchOutcome::Failed, "deadline passed");
        if (!response)
            m_result.message = response.error().message;
    }

    // Handles the data of an event. Returns false to end the stream.
    bool handleEvent(std::string_view data)
    {
        if (data == endMarker)
            return true;
        const auto chunk = json::parse(data, nullptr, false);
        const bool isChunk
            = chunk.is_object() && chunk.contains("id") && chunk.contains("position") && chunk["position"].is_number_integer();
        if (!isChunk)
            return false;
        if (chunk["id"] != m_call.dispatchId) {
            ++m_result.mismatchedChunks;
            return false;
        }
        if (chunk.contains("finish_reason"))
            return handleFinish(chunk);
        return handleToken(chunk);
    }

    bool handleToken(const json& chunk)
    {
        const auto position = chunk["position"].get<int>();
        if (position < m_result.tokens)
            return true; // This token has already been passed on.
        const bool isNext = position == m_result.tokens && chunk.contains("text") && chunk["text"].is_string();
        if (!isNext)
            return false;
        if (!m_result.tokens)
            m_firstToken = std::chrono::steady_clock::now();
        m_lastToken = std::chrono::steady_clock::now();
        ++m_result.tokens;
        if (m_onText(chunk["text"].get_ref<const std::string&>()))
            return true;
        end(DispatchOutcome::Cancelled, "the caller has left");
        return false;
    }

    bool handleFinish(const json& chunk)
    {
        if (chunk["position"] != m_result.tokens)
            return false;
        if (chunk.contains("usage") && chunk["usage"].is_object())
            m_result.cachedTokens = chunk["usage"].value("cached_tokens", 0);
        end(DispatchOutcome::Completed, "");
        return true;
    }

    void end(DispatchOutcome outcome, const std::string& message)
    {
        m_isFinished = true;
        m_result.outcome = outcome;
        m_result.message = message;
    }

    void cancelAtEngine() const
    {
        CallOptions options;
        options.totalTimeout = controlTimeout;
        httpCall({ "POST", "/v1/cancel", {}, json { { "id", m_call.dispatchId } }.dump(), "" }, m_call.authority, options);
    }

    void computeLatencies()
    {
        if (!m_result.tokens)
            return;
        m_result.firstToken = std::chrono::duration_cast<Duration>(m_firstToken - m_start);
        if (m_result.tokens > 1)
            m_result.betweenTokens
                = std::chrono::duration_cast<std::chrono::microseconds>(m_lastToken - m_firstToken) / (m_result.tokens - 1);
    }

    const EngineCall& m_call;
    const EngineClient::OnText& m_onText;
    const EngineClient::IsCancelled& m_isCancelled;
    const Duration m_idleTimeout;
    const std::chrono::steady_clock::time_point m_start;
    std::chrono::steady_clock::time_point m_firstToken {};
    std::chrono::steady_clock::time_point m_lastToken {};
    EventStreamParser m_parser;
    EngineResult m_result;
    bool m_isDispatched = false;
    bool m_isFinished = false;
};

Result<json> sendControlRequest(const std::string& authority, const HttpRequest& request)
{
    CallOptions options;
    options.totalTimeout = controlTimeout;
    options.idleTimeout = controlTimeout;
    const auto response = httpCall(request, authority, options);
    if (!response)
        return fail(response.error().code, request.path + ": " + response.error().message);
    if (response->status == conflict)
        return fail(ErrorCode::Stale, request.path + ": " + response->body);
    if (!response->isSuccess())
        return fail(ErrorCode::Unavailable, request.path + ": status " + std::to_string(response->status));
    auto value = json::parse(response->body, nullptr, false);
    if (!value.is_object())
        return fail(ErrorCode::Protocol, request.path + ": response is not a JSON object");
    return value;
}

Result<EngineState> parseState(const Result<json>& value)
{
    if (!value)
        return tl::unexpected(value.error());
    try {
        return EngineState { value->at("version"), value->at("fence") };
    } catch (const json::exception& error) {
        return fail(ErrorCode::Protocol, error.what());
    }
}

} // namespace

EngineClient::EngineClient(Duration idleTimeout)
    : m_idleTimeout(idleTimeout)
{
}

EngineResult EngineClient::run(const EngineCall& call, const OnText& onText, const IsCancelled& isCancelled) const
{
    return Completion(call, onText, isCancelled, m_idleTimeout).run();
}

Result<EngineLoadReport> EngineClient::fetchLoadReport(const std::string& authority) const
{
    const auto value = sendControlRequest(authority, { "GET", "/load", {}, "", "" });
    if (!value)
        return tl::unexpected(value.error());
    try {
        return EngineLoadReport { value->at("running"), value->at("waiting"), Duration(value->at("age_ms").get<int64_t>()),
            value->value("version", "") };
    } catch (const json::exception& error) {
        return fail(ErrorCode::Protocol, error.what());
    }
}

Result<std::vector<EngineCacheEvent>> EngineClient::fetchCacheEvents(const std::string& authority, int64_t from) const
{
    const auto value = sendControlRequest(authority, { "GET", "/cache/events?from=" + std::to_string(from), {}, "", "" });
    if (!value)
        return tl::unexpected(value.error());
    try {
        std::vector<EngineCacheEvent> events;
        for (const auto& event : value->at("events"))
            events.push_back({ event.at("sequence"), event.at("stored"), event.at("prefix") });
        return events;
    } catch (const json::exception& error) {
        return fail(ErrorCode::Protocol, error.what());
    }
}

Result<EngineState> EngineClient::loadVersion(const std::string& authority, const std::string& version, int64_t fencingNumber) const
{
    const json body { { "action", "load" }, { "version", version }, { "fence", fencingNumber } };
    return parseState(sendControlRequest(authority, { "POST", "/orders", {}, body.dump(), "" }));
}

Result<EngineState> EngineClient::fetchState(const std::string& authority) const
{
    return parseState(sendControlRequest(authority, { "GET", "/state", {}, "", "" }));
}

} // namespace bronzeswitch
