#include <algorithm>
#include <base/Hash.h>
#include <base/HttpStatus.h>
#include <caller/CallerRequest.h>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sched/PrefixCacheEstimate.h>

namespace bronzeswitch {

using nlohmann::json;

namespace {

using namespace httpstatus;

constexpr int defaultMaxTokens = 256;
constexpr int maxTokensLimit = 131072;
constexpr int charactersPerToken = 4; // Assumed average, to estimate the length of a prompt.
constexpr size_t maxHeaderLength = 200;
constexpr int64_t maxDeadlineMs = 3600000;

tl::unexpected<Problem> refuse(int status, const char* reason, std::string detail)
{
    return tl::unexpected(notRunProblem(status, reason, std::move(detail)));
}

bool isVisibleAscii(const std::string& text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 127; });
}

// Parses a request part by part and stops at the first invalid part.
class CallerRequestParser {
public:
    CallerRequestParser(const HttpRequest& request, const Configuration& configuration)
        : m_request(request)
        , m_configuration(configuration)
    {
    }

    tl::expected<CallerRequest, Problem> parse()
    {
        if (m_request.body.size() > m_configuration.limits().maxBodyBytes)
            return refuse(payloadTooLarge, "body-too-large",
                "the body is larger than " + std::to_string(m_configuration.limits().maxBodyBytes) + " bytes");
        auto result = isModelPath(m_request.path) ? parseModel() : parseService();
        if (result)
            result = parseHeaders();
        if (!result)
            return tl::unexpected(result.error());
        return m_result;
    }

private:
    using ParseResult = tl::expected<void, Problem>;

    ParseResult parseModel()
    {
        if (m_request.method != "POST")
            return refuse(methodNotAllowed, "method-not-allowed", "this path takes POST");
        const auto body = json::parse(m_request.body, nullptr, false);
        if (!body.is_object())
            return refuse(badRequest, "malformed-json", "the body is not a JSON object");
        if (!body.contains("model") || !body["model"].is_string())
            return refuse(badRequest, "missing-model", "'model' must be text");
        const auto* route = m_configuration.findRoute(body["model"].get<std::string>());
        if (!route || route->kind != UpstreamKind::Engine)
            return refuse(notFound, "unknown-model", "there is no model '" + body["model"].get<std::string>() + "'");
        m_result.route = *route;
        return parseCompletion(body);
    }

    ParseResult parseCompletion(const json& body)
    {
        m_result.isChat = m_request.path.ends_with("/chat/completions");
        if (body.contains("stream") && !body["stream"].is_boolean())
            return refuse(badRequest, "bad-field", "'stream' must be true or false");
        m_result.isStreamed = body.value("stream", false);
        m_result.maxTokens = defaultMaxTokens;
        if (body.contains("max_tokens")) {
            const auto& field = body["max_tokens"];
            if (!field.is_number_integer() || field < 1 || field > maxTokensLimit)
                return refuse(badRequest, "bad-field", "'max_tokens' must be a whole number from 1 to " + std::to_string(maxTokensLimit));
            m_result.maxTokens = field.get<int>();
        }
        auto prompt = m_result.isChat ? parseMessages(body) : parsePrompt(body);
        if (!prompt)
            return prompt;
        m_result.promptTokens = static_cast<int>(m_result.prompt.size()) / charactersPerToken + 1;
        m_result.prefixes = promptPrefixes(m_result.prompt);
        return {};
    }

    ParseResult parsePrompt(const json& body)
    {
        if (!body.contains("prompt") || !body["prompt"].is_string())
            return refuse(badRequest, "bad-field", "'prompt' must be text");
        m_result.prompt = body["prompt"].get<std::string>();
        return {};
    }

    ParseResult parseMessages(const json& body)
    {
        if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty())
            return refuse(badRequest, "bad-field", "'messages' must be a list that is not empty");
        for (const auto& message : body["messages"]) {
            const bool isMessage = message.is_object() && message.contains("role") && message["role"].is_string()
                && message.contains("content") && message["content"].is_string();
            if (!isMessage)
                return refuse(badRequest, "bad-field", "each message needs 'role' and 'content' as text");
            m_result.prompt += message["role"].get<std::string>() + ": " + message["content"].get<std::string>() + "\n";
        }
        return {};
    }

    ParseResult parseService()
    {
        const auto* route = m_configuration.findServiceRoute(m_request.path);
        if (!route)
            return refuse(notFound, "unknown-route", "no route serves '" + m_request.path + "'");
        m_result.route = *route;
        m_result.forwarded.method = m_request.method;
        m_result.forwarded.path = m_request.query.empty() ? m_request.path : m_request.path + "?" + m_request.query;
        m_result.forwarded.body = m_request.body;
        m_result.forwarded.headers = endToEndHeaders(m_request.headers);
        return {};
    }

    ParseResult parseHeaders()
    {
        for (const auto* name : { "X-Request-Id", "X-Organisation", "Idempotency-Key" }) {
            const auto value = findHeader(m_request.headers, name);
            if (value.size() > maxHeaderLength || !isVisibleAscii(value))
                return refuse(badRequest, "bad-header", std::string(name) + " must be at most 200 plain characters");
        }
        m_result.requestId = findHeader(m_request.headers, "X-Request-Id");
        m_result.idempotencyKey = findHeader(m_request.headers, "Idempotency-Key");
        // A request identifier that the caller chose serves as the idempotency key, so that its retries are not run again.
        if (m_result.idempotencyKey.empty() && !m_result.route.idempotent)
            m_result.idempotencyKey = m_result.requestId;
        if (m_result.requestId.empty())
            m_result.requestId = randomId();
        setHeader(m_result.forwarded.headers, { "X-Request-Id", m_result.requestId });
        setHeader(m_result.forwarded.headers, { "X-Route", m_result.route.name });
        const auto organisation = parseOrganisation();
        return organisation ? parseDeadline() : organisation;
    }

    ParseResult parseOrganisation()
    {
        m_result.organisation = findHeader(m_request.headers, "X-Organisation");
        const auto* organisation = m_configuration.findOrganisation(m_result.organisation);
        if (!organisation)
            return refuse(forbidden, "unknown-organisation", "X-Organisation must name a known organisation");
        // Keeps equal keys of different organisations and routes distinct.
        if (!m_result.idempotencyKey.empty())
            m_result.idempotencyKey = m_result.organisation + "/" + m_result.route.name + "/" + m_result.idempotencyKey;
        m_result.rank = m_configuration.rankOf(m_result.route, *organisation);
        return {};
    }

    ParseResult parseDeadline()
    {
        m_result.deadline = m_result.route.deadline;
        const auto text = findHeader(m_request.headers, "X-Deadline-Ms");
        if (text.empty())
            return {};
        int64_t milliseconds = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
        if (!isNumber || milliseconds < 1 || milliseconds > maxDeadlineMs)
            return refuse(badRequest, "bad-header",
                "X-Deadline-Ms must be a whole number of milliseconds from 1 to " + std::to_string(maxDeadlineMs));
        m_result.deadline = Duration(milliseconds);
        return {};
    }

    const HttpRequest& m_request;
    const Configuration& m_configuration;
    CallerRequest m_result;
};

} // namespace

bool isModelPath(const std::string& path) { return path == "/v1/completions" || path == "/v1/chat/completions"; }

tl::expected<CallerRequest, Problem> parseCallerRequest(const HttpRequest& request, const Configuration& configuration)
{
    return CallerRequestParser(request, configuration).parse();
}

HttpResponse listModels(const Configuration& configuration)
{
    auto data = json::array();
    for (const auto& route : configuration.routes()) {
        if (route.kind == UpstreamKind::Engine)
            data.push_back({ { "id", route.name }, { "object", "model" }, { "owned_by", "bronzeswitch" } });
    }
    return { ok, { { "Content-Type", "application/json" } }, json { { "object", "list" }, { "data", data } }.dump() };
}

} // namespace bronzeswitch
