#include <cstdlib>
#include <operator/Publisher.h>
#include <stdexcept>
#include <testkit/TestSite.h>
#include <thread>
#include <upstream/EventStreamParser.h>

namespace bronzeswitch {

using nlohmann::json;

namespace {

constexpr Duration pollInterval { 10 };
constexpr Duration responseGracePeriod { 5000 };
constexpr int firstErrorStatus = 400;

template <typename T> T valueOrThrow(Result<T> result)
{
    if (!result)
        throw std::runtime_error(result.error().message);
    return std::move(*result);
}

json defaultEntries()
{
    return { { "tier/urgent", { { "rank", 0 } } }, { "tier/normal", { { "rank", 1 } } }, { "tier/batch", { { "rank", 2 } } },
        { "organisation/north", json::object() }, { "organisation/south", json::object() },
        { "limits/global", { { "queue_per_pool", 200 } } } };
}

std::shared_ptr<MemoryLog> nonOwningPointer(MemoryLog& log)
{
    return { &log, [](MemoryLog*) {} };
}

void readProblem(CallerResponse& response, std::string_view text)
{
    const auto problem = json::parse(text, nullptr, false);
    if (!problem.is_object())
        return;
    response.reason = problem.value("title", "");
    response.execution = problem.value("execution", "");
}

// Parses a streamed completion and collects its text in a CallerResponse.
class StreamReader {
public:
    explicit StreamReader(CallerResponse& response)
        : m_response(response)
        , m_start(std::chrono::steady_clock::now())
    {
    }

    bool feed(std::string_view bytes)
    {
        m_response.body += bytes;
        return m_parser.feed(bytes, [this](std::string_view data) { return handleEvent(data); });
    }

private:
    bool handleEvent(std::string_view data)
    {
        if (data == "[DONE]") {
            m_response.isComplete = true;
            return true;
        }
        const auto chunk = json::parse(data, nullptr, false);
        const auto text = chunk["choices"][0].value("text", "");
        if (!text.empty() && !m_response.textChunks++)
            m_response.firstTokenSeconds = toSeconds(std::chrono::steady_clock::now() - m_start);
        m_response.text += text;
        return true;
    }

    CallerResponse& m_response;
    EventStreamParser m_parser;
    std::chrono::steady_clock::time_point m_start;
};

void finishResponse(CallerResponse& response, const tl::expected<HttpResponse, CallError>& httpResponse, TimePoint start)
{
    response.seconds = toSeconds(std::chrono::steady_clock::now() - start);
    if (!httpResponse) {
        response.reason = httpResponse.error().message;
        response.isConnectionRefused = httpResponse.error().stage == CallStage::NotSent;
        return;
    }
    response.status = httpResponse->status;
    if (!httpResponse->body.empty())
        response.body = httpResponse->body;
    if (httpResponse->status >= firstErrorStatus)
        readProblem(response, response.body);
    constexpr std::string_view errorEventPrefix = "event: error\ndata: ";
    if (const auto error = response.body.find(errorEventPrefix); error != std::string::npos)
        readProblem(response, std::string_view(response.body).substr(error + errorEventPrefix.size()));
}

} // namespace

bool waitUntil(const std::function<bool()>& condition, Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return condition();
}

CallerResponse sendCompletion(const std::string& authority, const CompletionRequest& request, const std::function<bool()>& isCancelled)
{
    CallerResponse response;
    const auto start = std::chrono::steady_clock::now();
    StreamReader reader(response);
    CallOptions options;
    options.totalTimeout = Duration(request.deadlineMs) + responseGracePeriod;
    options.idleTimeout = options.totalTimeout;
    options.isCancelled = isCancelled;
    if (request.isStreaming)
        options.onData = [&](std::string_view bytes) { return reader.feed(bytes); };
    HttpHeaders headers { { "X-Organisation", request.organisation }, { "X-Deadline-Ms", std::to_string(request.deadlineMs) } };
    if (!request.requestId.empty())
        headers.push_back({ "X-Request-Id", request.requestId });
    const json body { { "model", request.route }, { "prompt", request.prompt }, { "max_tokens", request.maxTokens },
        { "stream", request.isStreaming } };
    const auto httpResponse = httpCall({ "POST", "/v1/completions", headers, body.dump(), "" }, authority, options);
    finishResponse(response, httpResponse, start);
    if (request.isStreaming || response.status != 200)
        return response;
    response.text = json::parse(response.body)["choices"][0].value("text", "");
    response.isComplete = true;
    return response;
}

CallerResponse sendServiceRequest(
    const std::string& authority, const std::string& path, const std::string& key, int64_t deadlineMs, const std::string& organisation)
{
    CallerResponse response;
    const auto start = std::chrono::steady_clock::now();
    CallOptions options;
    options.totalTimeout = Duration(deadlineMs) + responseGracePeriod;
    options.idleTimeout = options.totalTimeout;
    HttpHeaders headers { { "X-Organisation", organisation }, { "X-Deadline-Ms", std::to_string(deadlineMs) },
        { "Content-Type", "application/json" } };
    if (!key.empty())
        headers.push_back({ "Idempotency-Key", key });
    const auto httpResponse = httpCall({ "POST", path, headers, R"({"hinge":7})", "" }, authority, options);
    finishResponse(response, httpResponse, start);
    response.isComplete = response.status == 200;
    return response;
}

std::string expectedText(int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i)
        text += " w" + std::to_string(i);
    return text;
}

TestSite::TestSite()
    : m_platform(valueOrThrow(PlatformStandin::create()))
    , m_entries(defaultEntries())
{
}

EngineStandin& TestSite::addEngine(const std::string& name, EngineStandin::Options options, const std::string& dataCentre)
{
    auto engine = valueOrThrow(EngineStandin::create(options));
    m_entries["upstream/" + name]
        = { { "kind", "engine" }, { "address", engine->authority() }, { "data_centre", dataCentre }, { "model", "reader" },
              { "version", options.version }, { "slots", options.engine.slots }, { "checks_fencing", options.checksFencing } };
    return *(m_engines[name] = std::move(engine));
}

ServiceStandin& TestSite::addService(const std::string& name, int slots)
{
    auto service = valueOrThrow(ServiceStandin::create());
    m_entries["upstream/" + name] = { { "kind", "service" }, { "address", service->authority() }, { "data_centre", "honda" },
        { "version", "v1" }, { "slots", slots } };
    return *(m_services[name] = std::move(service));
}

void TestSite::startNodes(int count, const std::vector<std::string>& arguments)
{
    for (int i = 1; i <= count; ++i)
        startNode("n" + std::to_string(i), arguments);
}

NodeProcess& TestSite::startNode(const std::string& name, const std::vector<std::string>& arguments)
{
    const auto platform = m_platform->authority();
    std::vector<std::string> all { "--data-centre", "honda", "--log-address", platform, "--vm-list-address", platform,
        "--weight-store-address", platform };
    all.insert(all.end(), arguments.begin(), arguments.end());
    const char* logDirectory = std::getenv("BRONZESWITCH_TEST_LOGS");
    m_nodes[name]
        = valueOrThrow(NodeProcess::start(name, all, logDirectory ? std::string(logDirectory) + "/" + name + ".log" : std::string()));
    updateVmList();
    return *m_nodes[name];
}

void TestSite::updateVmList()
{
    std::vector<Vm> vms;
    for (const auto& [name, node] : m_nodes) {
        if (node->isRunning())
            vms.push_back({ name, "honda", node->nodeAuthority(), false });
    }
    m_platform->setVms(vms);
}

NodeProcess& TestSite::node(const std::string& name) { return *m_nodes.at(name); }

std::vector<NodeProcess*> TestSite::nodes()
{
    std::vector<NodeProcess*> result;
    for (const auto& [name, node] : m_nodes) {
        if (node->isRunning())
            result.push_back(node.get());
    }
    return result;
}

int64_t TestSite::publish()
{
    const auto document = valueOrThrow(ConfigDocument::fromJson(m_entries));
    Publisher<MemoryLog> publisher(nonOwningPointer(m_platform->log()));
    const auto plan = valueOrThrow(publisher.plan(document));
    m_revision = valueOrThrow(publisher.publish(plan, "test")).revision;
    return m_revision;
}

bool TestSite::waitForNodes()
{
    return waitUntil([this] {
        const auto running = nodes();
        return std::all_of(running.begin(), running.end(), [&](const NodeProcess* node) {
            const auto status = queryOperator(node->name(), "/v1/status");
            return status.is_object() && status.value("revision", int64_t(0)) >= m_revision && status["members"].size() == running.size();
        });
    });
}

bool TestSite::waitForClaimOwners()
{
    constexpr int claimPartitions = 4;
    return waitUntil([this] {
        int owned = 0;
        for (const auto* node : nodes()) {
            const auto status = queryOperator(node->name(), "/v1/status");
            owned += status.is_object() ? status.value("claim_partitions", 0) : 0;
        }
        return owned == claimPartitions;
    });
}

json TestSite::queryOperator(const std::string& name, const std::string& path)
{
    const auto httpResponse = httpCall({ "GET", path, {}, "", "" }, node(name).operatorAuthority(), {});
    return httpResponse ? json::parse(httpResponse->body, nullptr, false) : json(nullptr);
}

std::string TestSite::poolHome(const std::string& route)
{
    return queryOperator(nodes().front()->name(), "/v1/explain?route=" + route).value("home", "");
}

} // namespace bronzeswitch
