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

std::string expectedText()
{
    std::string text;
    for (int i = 0; i < tokens; ++i)
        text += " w" + std::to_string(i);
    return text;
}

EngineCall makeCall(const EngineStandin& engine)
{
    return { engine.authority(), "r1", "d1", "check", "reader", "v1", "a prompt", tokens, Duration(20000) };
}

const auto neverCancelled = [] { return false; };

} // namespace

TEST_CASE("a completion is received completely and dispatched once under each stream fault")
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
                                    makeCall(*engine),
                                    [&](std::string_view piece) {
                                        text += piece;
                                        if (entry.faults.truncateAfterTokens)
                                            engine->setFaults({});
                                        return true;
                                    },
                                    neverCancelled);
        CHECK(result.outcome == DispatchOutcome::Completed);
        CHECK(text == expectedText());
        CHECK((result.resumeCount > 0) == entry.isResumed);
        CHECK(engine->dispatchCounts().at("r1") == 1);
    }
}

TEST_CASE("chunks of another dispatch are discarded, counted and never passed on")
{
    auto engine = startEngine();
    EngineFaults faults;
    faults.crossedAnswers = true;
    engine->setFaults(faults);
    std::string text;
    const auto result = EngineClient(Duration(700))
                            .run(
                                makeCall(*engine),
                                [&](std::string_view piece) {
                                    text += piece;
                                    return true;
                                },
                                neverCancelled);
    CHECK(result.outcome == DispatchOutcome::Failed);
    CHECK(result.mismatchedChunks > 0);
    CHECK(text.empty());
}

TEST_CASE("a refusal by an engine and an unreachable engine have different outcomes")
{
    auto engine = startEngine();
    EngineFaults faults;
    faults.errorShare = 1;
    engine->setFaults(faults);
    const auto refused = EngineClient().run(
        makeCall(*engine), [](std::string_view) { return true; }, neverCancelled);
    CHECK(refused.outcome == DispatchOutcome::Failed);
    CHECK(refused.status == 500);
    auto call = makeCall(*engine);
    engine.reset();
    CHECK(EngineClient()
              .run(
                  call, [](std::string_view) { return true; }, neverCancelled)
              .outcome
        == DispatchOutcome::Unreachable);
}

TEST_CASE("a completion is cancelled at the engine when its caller disconnects")
{
    auto engine = startEngine();
    auto call = makeCall(*engine);
    call.maxTokens = 100000;
    const auto result = EngineClient().run(
        call, [](std::string_view) { return false; }, neverCancelled);
    CHECK(result.outcome == DispatchOutcome::Cancelled);
    CHECK(engine->model().running() == 0);
    CHECK(engine->model().counters().wastedPrefillTokens > 0);
}

TEST_CASE("a completion that exceeds its timeout is cancelled at the engine")
{
    auto engine = startEngine();
    auto call = makeCall(*engine);
    call.maxTokens = 100000;
    call.timeout = Duration(100);
    const auto result = EngineClient().run(
        call, [](std::string_view) { return true; }, neverCancelled);
    CHECK(result.outcome == DispatchOutcome::Failed);
    CHECK(engine->model().running() == 0);
}

TEST_CASE("an order with an outdated fencing number is refused by an engine that checks it and followed by one that does not")
{
    EngineClient client;
    for (const bool isChecking : { true, false }) {
        auto engine = startEngine(isChecking);
        REQUIRE(client.loadVersion(engine->authority(), "v2", 9));
        const auto outdated = client.loadVersion(engine->authority(), "v1", 3);
        CHECK(outdated.has_value() == !isChecking);
        if (isChecking)
            CHECK(outdated.error().code == ErrorCode::Stale);
        CHECK(client.fetchState(engine->authority())->version == (isChecking ? "v2" : "v1"));
    }
}

TEST_CASE("load reports and cache events are fetched")
{
    auto engine = startEngine();
    auto call = makeCall(*engine);
    call.prompt = std::string(1024, 'p');
    EngineClient client;
    REQUIRE(client
                .run(
                    call, [](std::string_view) { return true; }, neverCancelled)
                .outcome
        == DispatchOutcome::Completed);
    CHECK(client.fetchLoadReport(engine->authority())->version == "v1");
    const auto events = client.fetchCacheEvents(engine->authority(), 1);
    REQUIRE(events);
    REQUIRE(events->size() == 4);
    CHECK(events->front().isStored);
    CHECK(client.fetchCacheEvents(engine->authority(), 4)->size() == 1);
}

TEST_CASE("a service request has the outcome that fits the fault of the service")
{
    auto service = std::move(ServiceStandin::create().value());
    const HttpRequest request { "POST", "/sign-off", { { "Idempotency-Key", "k1" }, { "X-Request-Id", "r1" } }, "{}", "" };
    CHECK(callService(request, service->authority(), "r1", Duration(2000), neverCancelled).outcome == DispatchOutcome::Completed);
    const auto mismatched = callService(request, service->authority(), "r2", Duration(2000), neverCancelled);
    CHECK(mismatched.outcome == DispatchOutcome::Failed);
    CHECK(mismatched.isMismatched);
    service->setFaults({ true, false, std::chrono::milliseconds(0) });
    CHECK(callService(request, service->authority(), "r1", Duration(100), neverCancelled).outcome == DispatchOutcome::Failed);
    CHECK(service->runCounts().at("k1") == 3);
    const auto authority = service->authority();
    service.reset();
    CHECK(callService(request, authority, "r1", Duration(100), neverCancelled).outcome == DispatchOutcome::Unreachable);
}

TEST_CASE("events are parsed wherever the stream is split into pieces")
{
    const std::string stream = ": ping\n\ndata: one\n\ndata: two\n\n: ping\n\ndata: three\n\n";
    constexpr unsigned seed = 20261204;
    std::mt19937 random(seed);
    for (int iteration = 0; iteration < 200; ++iteration) {
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

TEST_CASE("an event above the size limit stops the parser")
{
    EventStreamParser parser;
    const std::string piece(1U << 19U, 'x');
    const auto ignore = [](std::string_view) { return true; };
    CHECK(parser.feed(piece, ignore));
    CHECK(parser.feed(piece, ignore));
    CHECK_FALSE(parser.feed(piece, ignore));
}
