#include <catch2/catch.hpp>
#include <standin/EngineStandin.h>
#include <standin/ServiceStandin.h>
#include <upstream/EngineClient.h>
#include <upstream/EventStreamParser.h>
#include <upstream/ServiceClient.h>

#include <random>

using namespace bronzeswitch;

namespace {

constexpr int tokens = 20;

std::unique_ptr<EngineStandin> startEngine(bool checksFencing = true)
{
    EngineStandin::Options options;
    options.engine.stepMs = 1;
    options.engine.stepMsPerSequence = 0.1;
    options.checksFencing = checksFencing;
    return std::move(EngineStandin::create(options).value());
}

std::string wholeText()
{
    std::string text;
    for (int i = 0; i < tokens; ++i)
        text += " w" + std::to_string(i);
    return text;
}

EngineCall callOf(const EngineStandin& engine)
{
    return { engine.authority(), "r1", "d1", "check", "reader", "v1", "a prompt", tokens, Duration(20000) };
}

const auto never = [] { return false; };

} // namespace

TEST_CASE("a completion is whole and dispatched once under each fault of the stream")
{
    struct Case {
        const char* name;
        EngineFaults faults;
        bool isResumed;
    };
    EngineFaults none;
    EngineFaults truncated;
    truncated.truncateAfterTokens = 5;
    EngineFaults silent;
    silent.silentAfterTokens = 5;
    silent.silentStreams = 1;
    const Case cases[] = { { "none", none, false }, { "truncated", truncated, true }, { "silent", silent, true } };
    for (const auto& entry : cases) {
        CAPTURE(entry.name);
        auto engine = startEngine();
        engine->setFaults(entry.faults);
        std::string text;
        const auto result = EngineClient(Duration(700))
                                .run(
                                    callOf(*engine),
                                    [&](std::string_view piece) {
                                        text += piece;
                                        if (entry.faults.truncateAfterTokens)
                                            engine->setFaults({});
                                        return true;
                                    },
                                    never);
        CHECK(result.outcome == DispatchOutcome::Completed);
        CHECK(text == wholeText());
        CHECK((result.resumed > 0) == entry.isResumed);
        CHECK(engine->dispatchCounts().at("r1") == 1);
    }
}

TEST_CASE("a crossed answer is dropped, counted and never passed on")
{
    auto engine = startEngine();
    EngineFaults faults;
    faults.crossedAnswers = true;
    engine->setFaults(faults);
    std::string text;
    const auto result = EngineClient(Duration(700))
                            .run(
                                callOf(*engine),
                                [&](std::string_view piece) {
                                    text += piece;
                                    return true;
                                },
                                never);
    CHECK(result.outcome == DispatchOutcome::Failed);
    CHECK(result.dropped > 0);
    CHECK(text.empty());
}

TEST_CASE("an engine's refusal and an unreachable engine are told apart")
{
    auto engine = startEngine();
    EngineFaults faults;
    faults.errorShare = 1;
    engine->setFaults(faults);
    const auto refused = EngineClient().run(
        callOf(*engine), [](std::string_view) { return true; }, never);
    CHECK(refused.outcome == DispatchOutcome::Failed);
    CHECK(refused.status == 500);
    auto call = callOf(*engine);
    engine.reset();
    CHECK(EngineClient()
              .run(
                  call, [](std::string_view) { return true; }, never)
              .outcome
        == DispatchOutcome::Unreachable);
}

TEST_CASE("work is cancelled at the engine when the caller leaves")
{
    auto engine = startEngine();
    auto call = callOf(*engine);
    call.maxTokens = 100000;
    const auto result = EngineClient().run(
        call, [](std::string_view) { return false; }, never);
    CHECK(result.outcome == DispatchOutcome::Cancelled);
    CHECK(engine->model().running() == 0);
    CHECK(engine->model().counters().wastedPrefillTokens > 0);
}

TEST_CASE("a completion that outlives its deadline is cancelled at the engine")
{
    auto engine = startEngine();
    auto call = callOf(*engine);
    call.maxTokens = 100000;
    call.timeout = Duration(100);
    const auto result = EngineClient().run(
        call, [](std::string_view) { return true; }, never);
    CHECK(result.outcome == DispatchOutcome::Failed);
    CHECK(engine->model().running() == 0);
}

TEST_CASE("orders with an old fencing number are refused where the engine checks, and obeyed where it does not")
{
    EngineClient client;
    for (const bool checks : { true, false }) {
        auto engine = startEngine(checks);
        REQUIRE(client.load(engine->authority(), "v2", 9));
        const auto old = client.load(engine->authority(), "v1", 3);
        CHECK(old.has_value() == !checks);
        if (checks)
            CHECK(old.error().code == ErrorCode::Stale);
        CHECK(client.state(engine->authority())->version == (checks ? "v2" : "v1"));
    }
}

TEST_CASE("reports and cache events are read")
{
    auto engine = startEngine();
    auto call = callOf(*engine);
    call.prompt = std::string(1024, 'p');
    EngineClient client;
    REQUIRE(client
                .run(
                    call, [](std::string_view) { return true; }, never)
                .outcome
        == DispatchOutcome::Completed);
    CHECK(client.report(engine->authority())->version == "v1");
    const auto events = client.cacheEvents(engine->authority(), 1);
    REQUIRE(events);
    REQUIRE(events->size() == 4);
    CHECK(events->front().isStored);
    CHECK(client.cacheEvents(engine->authority(), 4)->size() == 1);
}

TEST_CASE("a service call by fault of the service")
{
    auto service = std::move(ServiceStandin::create().value());
    const HttpRequest request { "POST", "/sign-off", { { "Idempotency-Key", "k1" }, { "X-Request-Id", "r1" } }, "{}", "" };
    CHECK(callService(request, service->authority(), "r1", Duration(2000), never).outcome == DispatchOutcome::Completed);
    const auto crossed = callService(request, service->authority(), "r2", Duration(2000), never);
    CHECK(crossed.outcome == DispatchOutcome::Failed);
    CHECK(crossed.isCrossed);
    service->setFaults({ true, false, std::chrono::milliseconds(0) });
    CHECK(callService(request, service->authority(), "r1", Duration(100), never).outcome == DispatchOutcome::Failed);
    CHECK(service->runCounts().at("k1") == 3);
    const auto authority = service->authority();
    service.reset();
    CHECK(callService(request, authority, "r1", Duration(100), never).outcome == DispatchOutcome::Unreachable);
}

TEST_CASE("events are found however the bytes are cut")
{
    const std::string stream = ": ping\n\ndata: one\n\ndata: two\n\n: ping\n\ndata: three\n\n";
    constexpr unsigned seed = 20261204;
    std::mt19937 random(seed);
    for (int round = 0; round < 200; ++round) {
        EventStreamParser parser;
        std::string received;
        for (size_t start = 0; start < stream.size();) {
            const auto length = std::min<size_t>(random() % 9 + 1, stream.size() - start);
            parser.feed(std::string_view(stream).substr(start, length), [&](std::string_view data) {
                received += std::string(data) + ",";
                return true;
            });
            start += length;
        }
        REQUIRE(received == "one,two,three,");
    }
}

TEST_CASE("an endless event ends the parse")
{
    EventStreamParser parser;
    const std::string piece(1U << 19U, 'x');
    const auto ignore = [](std::string_view) { return true; };
    CHECK(parser.feed(piece, ignore));
    CHECK(parser.feed(piece, ignore));
    CHECK_FALSE(parser.feed(piece, ignore));
}
