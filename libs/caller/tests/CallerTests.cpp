#include <caller/CallerRequest.h>
#include <caller/ModelResponseWriter.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bronzeswitch;
using nlohmann::json;

namespace {

Configuration configuration()
{
    const json entries { { "tier/urgent", { { "rank", 0 } } }, { "tier/normal", { { "rank", 1 } } },
        { "organisation/north", json::object() }, { "organisation/south", { { "best_tier", "normal" } } },
        { "upstream/e1",
            { { "kind", "engine" }, { "address", "127.0.0.1:9" }, { "data_centre", "honda" }, { "model", "reader" },
                { "version", "v1" } } },
        { "upstream/s1", { { "kind", "service" }, { "address", "127.0.0.1:9" }, { "data_centre", "honda" }, { "version", "v1" } } },
        { "route/check",
            { { "kind", "engine" }, { "model", "reader" }, { "tier", "urgent" }, { "version", "v1" }, { "deadline_ms", 5000 } } },
        { "route/sign", { { "kind", "service" }, { "path", "/sign" }, { "tier", "urgent" }, { "version", "v1" } } },
        { "limits/global", { { "max_body_bytes", 2000 } } } };
    return Configuration::create(*ConfigDocument::fromJson(entries), 1).value();
}

HttpRequest completionRequest(
    const std::string& body, HttpHeaders headers = { { "X-Organisation", "north" } }, const std::string& path = "/v1/completions")
{
    return { "POST", path, std::move(headers), body, "" };
}

const std::string validBody = R"({"model":"check","prompt":"hello","max_tokens":8,"stream":true})";

// Records the response that is sent to a caller.
class RecordingResponder final : public HttpResponder {
public:
    void send(const HttpResponse& response) override
    {
        status = response.status;
        body = response.body;
        started = true;
    }
    void startStream(int code, const HttpHeaders&) override
    {
        status = code;
        started = true;
    }
    bool write(std::string_view chunk) override
    {
        body += chunk;
        return true;
    }
    void finishStream() override { finished = true; }
    bool isClientDisconnected() const override { return false; }
    bool isStarted() const override { return started; }

    int status = 0;
    std::string body;
    bool started = false;
    bool finished = false;
};

} // namespace

TEST_CASE("a completion request is parsed with its route, rank, deadline and options")
{
    const auto request = parseCallerRequest(
        completionRequest(validBody, { { "X-Organisation", "south" }, { "X-Deadline-Ms", "700" }, { "X-Request-Id", "r1" } }),
        configuration());
    REQUIRE(request);
    CHECK(request->route.name == "check");
    CHECK(request->rank == 1);
    CHECK(request->deadline == Duration(700));
    CHECK(request->requestId == "r1");
    CHECK(request->isStreamed);
    CHECK(request->maxTokens == 8);
}

TEST_CASE("a service request is forwarded with its end-to-end headers, and its idempotency key is scoped to organisation and route")
{
    const HttpHeaders headers { { "X-Organisation", "north" }, { "Idempotency-Key", "k" }, { "Connection", "close" },
        { "Accept-Language", "pl" } };
    const HttpRequest httpRequest { "PUT", "/sign/7", headers, "any bytes", "a=1" };
    const auto request = parseCallerRequest(httpRequest, configuration());
    REQUIRE(request);
    CHECK(request->forwarded.method == "PUT");
    CHECK(request->forwarded.path == "/sign/7?a=1");
    CHECK(request->forwarded.body == "any bytes");
    CHECK(request->idempotencyKey == "north/sign/k");
    CHECK(findHeader(request->forwarded.headers, "Idempotency-Key") == "k");
    CHECK(findHeader(request->forwarded.headers, "Accept-Language") == "pl");
    CHECK(findHeader(request->forwarded.headers, "X-Route") == "sign");
    CHECK(findHeader(request->forwarded.headers, "Connection").empty());
    CHECK(request->deadline == Route().deadline);
}

TEST_CASE("a request identifier serves as the idempotency key on a non-idempotent route if the key is missing")
{
    const HttpRequest httpRequest { "POST", "/sign", { { "X-Organisation", "north" }, { "X-Request-Id", "r9" } }, "", "" };
    CHECK(parseCallerRequest(httpRequest, configuration())->idempotencyKey == "north/sign/r9");
}

TEST_CASE("each kind of invalid request is refused with its own reason and reported as not run")
{
    struct Case {
        HttpRequest request;
        int status;
        const char* reason;
    };
    const Case cases[] = {
        { completionRequest("{"), 400, "malformed-json" },
        { completionRequest("[]"), 400, "malformed-json" },
        { completionRequest("{}"), 400, "missing-model" },
        { completionRequest(R"({"model":"none","prompt":"x"})"), 404, "unknown-model" },
        { completionRequest(R"({"model":"sign","prompt":"x"})"), 404, "unknown-model" },
        { completionRequest(R"({"model":"check"})"), 400, "bad-field" },
        { completionRequest(R"({"model":"check","prompt":"x","max_tokens":0})"), 400, "bad-field" },
        { completionRequest(R"({"model":"check","prompt":"x","max_tokens":"9"})"), 400, "bad-field" },
        { completionRequest(R"({"model":"check","prompt":"x","stream":1})"), 400, "bad-field" },
        { completionRequest(R"({"model":"check","messages":[]})", { { "X-Organisation", "north" } }, "/v1/chat/completions"), 400,
            "bad-field" },
        { completionRequest(validBody, {}), 403, "unknown-organisation" },
        { completionRequest(validBody, { { "X-Organisation", "west" } }), 403, "unknown-organisation" },
        { completionRequest(validBody, { { "X-Organisation", "north" }, { "X-Deadline-Ms", "soon" } }), 400, "bad-header" },
        { completionRequest(validBody, { { "X-Organisation", "north" }, { "X-Deadline-Ms", "0" } }), 400, "bad-header" },
        { completionRequest(validBody, { { "X-Organisation", "north" }, { "X-Request-Id", std::string(300, 'r') } }), 400, "bad-header" },
        { completionRequest(std::string(3000, 'x')), 413, "body-too-large" },
        { { "GET", "/v1/completions", {}, "", "" }, 405, "method-not-allowed" },
        { { "GET", "/nowhere", {}, "", "" }, 404, "unknown-route" },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.request.path, entry.request.body, entry.reason);
        const auto result = parseCallerRequest(entry.request, configuration());
        REQUIRE_FALSE(result);
        CHECK(result.error().status == entry.status);
        CHECK(result.error().reason == entry.reason);
        CHECK(result.error().execution == Execution::NotRun);
    }
}

TEST_CASE("a problem document states its reason, execution state and retry time")
{
    const auto response = toResponse({ 503, "queue-full", Execution::NotRun, "try later", Duration(1500) });
    const auto body = json::parse(response.body);
    CHECK(findHeader(response.headers, "content-type") == "application/problem+json");
    CHECK(findHeader(response.headers, "retry-after") == "2");
    CHECK(body["execution"] == "not-run");
    CHECK(body["title"] == "queue-full");
    CHECK(body["status"] == 503);
}

TEST_CASE("a stream that fails after its first byte ends with an error event and without the end marker")
{
    const auto request = *parseCallerRequest(completionRequest(validBody), configuration());
    RecordingResponder responder;
    ModelResponseWriter writer(request, responder);
    writer.write("one");
    writer.fail({ 502, "upstream-failed", Execution::Unknown, "cut", std::nullopt });
    CHECK(responder.status == 200);
    CHECK(responder.finished);
    CHECK_THAT(responder.body,
        Catch::Contains("event: error\ndata: {") && Catch::Contains("\"execution\":\"unknown\"") && !Catch::Contains("[DONE]"));
}

TEST_CASE("a failure before the first byte is sent as a problem document")
{
    const auto request = *parseCallerRequest(completionRequest(validBody), configuration());
    RecordingResponder responder;
    ModelResponseWriter(request, responder).fail({ 503, "queue-full", Execution::NotRun, "full", std::nullopt });
    CHECK(responder.status == 503);
    CHECK(json::parse(responder.body)["execution"] == "not-run");
}

TEST_CASE("a response that is not streamed holds the whole text in the text or the chat format")
{
    auto request = *parseCallerRequest(completionRequest(validBody), configuration());
    request.isStreamed = false;
    for (const bool isChat : { false, true }) {
        request.isChat = isChat;
        RecordingResponder responder;
        ModelResponseWriter writer(request, responder);
        writer.write("one ");
        writer.write("two");
        writer.finish(2, 0);
        const auto choice = json::parse(responder.body)["choices"][0];
        CHECK((isChat ? choice["message"]["content"] : choice["text"]) == "one two");
    }
}
