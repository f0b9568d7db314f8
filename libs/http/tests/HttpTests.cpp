#include <catch2/catch.hpp>
#include <http/HttpClient.h>
#include <http/HttpServer.h>

#include <atomic>
#include <thread>

using namespace bronzeswitch;

namespace {

void answer(const HttpRequest& request, HttpResponder& responder)
{
    if (request.path == "/stream") {
        responder.startStream(200, { { "Content-Type", "text/event-stream" } });
        responder.write("one ");
        responder.write("two");
        responder.finishStream();
        return;
    }
    responder.send({ 201, { { "X-Echo", findHeader(request.headers, "x-request-id") } },
        request.method + request.path + "?" + request.query + "|" + request.body });
}

void refuse(const HttpRequest&, HttpResponder& responder) { responder.send({ 503, {}, "busy" }); }

std::unique_ptr<HttpServer> startServer(HttpServer::Handler handler = answer, int maxTasks = 64)
{
    HttpServer::Options options;
    options.maxTasks = maxTasks;
    return std::move(HttpServer::create(options, std::move(handler), refuse).value());
}

std::string authorityOf(const HttpServer& server) { return "127.0.0.1:" + std::to_string(server.port()); }

} // namespace

TEST_CASE("a whole answer passes with headers, query and body")
{
    auto server = startServer();
    const auto response = httpCall({ "POST", "/a/b?x=1", { { "X-Request-Id", "r1" } }, "body", "" }, authorityOf(*server), {});
    REQUIRE(response);
    CHECK(response->status == 201);
    CHECK(response->body == "POST/a/b?x=1|body");
    CHECK(findHeader(response->headers, "x-echo") == "r1");
}

TEST_CASE("a streamed answer arrives in order")
{
    auto server = startServer();
    std::string received;
    CallOptions options;
    options.onData = [&](std::string_view data) {
        received += data;
        return true;
    };
    REQUIRE(httpCall({ "GET", "/stream", {}, "", "" }, authorityOf(*server), options));
    CHECK(received == "one two");
}

TEST_CASE("a refused connection is known not to have been sent")
{
    auto server = startServer();
    const auto authority = authorityOf(*server);
    server->shutdown();
    server.reset();
    const auto response = httpCall({ "POST", "/", {}, "x", "" }, authority, {});
    REQUIRE(!response);
    CHECK(response.error().stage == CallStage::NotSent);
}

TEST_CASE("a silent server ends the call after the idle bound and counts as sent")
{
    std::atomic<bool> release = false;
    auto server = startServer([&](const HttpRequest&, HttpResponder& responder) {
        while (!release && !responder.isClientDisconnected())
            std::this_thread::yield();
        responder.send({ 200, {}, "" });
    });
    CallOptions options;
    options.idleTimeout = Duration(50);
    const auto response = httpCall({ "POST", "/", {}, "x", "" }, authorityOf(*server), options);
    release = true;
    REQUIRE(!response);
    CHECK(response.error().code == ErrorCode::Timeout);
    CHECK(response.error().stage == CallStage::Sent);
}

TEST_CASE("an answer without end is ended after its bound, and the server's connection is closed")
{
    std::atomic<bool> isGone = false;
    auto server = startServer([&](const HttpRequest&, HttpResponder& responder) {
        responder.startStream(200, {});
        while (responder.write(std::string(4096, 'x'))) { }
        isGone = true;
    });
    CallOptions options;
    options.maxResponseBytes = 100000;
    const auto response = httpCall({ "GET", "/", {}, "", "" }, authorityOf(*server), options);
    REQUIRE(!response);
    CHECK(response.error().code == ErrorCode::Protocol);
    CHECK(response.error().stage == CallStage::ResponseStarted);
    while (!isGone)
        std::this_thread::yield();
}

TEST_CASE("a server task learns that its client has left")
{
    std::atomic<bool> isGone = false;
    auto server = startServer([&](const HttpRequest&, HttpResponder& responder) {
        responder.startStream(200, {});
        constexpr auto tokenInterval = std::chrono::milliseconds(1);
        while (responder.write("tick"))
            std::this_thread::sleep_for(tokenInterval);
        isGone = true;
    });
    CallOptions options;
    options.onData = [](std::string_view) { return false; };
    const auto response = httpCall({ "GET", "/", {}, "", "" }, authorityOf(*server), options);
    REQUIRE(!response);
    CHECK(response.error().code == ErrorCode::Cancelled);
    while (!isGone)
        std::this_thread::yield();
    CHECK(isGone);
}

TEST_CASE("requests beyond the task limit get the overload answer")
{
    std::atomic<bool> release = false;
    std::atomic<bool> isRunning = false;
    auto server = startServer(
        [&](const HttpRequest&, HttpResponder& responder) {
            isRunning = true;
            while (!release)
                std::this_thread::yield();
            responder.send({ 200, {}, "" });
        },
        1);
    std::thread first([&] { httpCall({ "GET", "/", {}, "", "" }, authorityOf(*server), {}); });
    while (!isRunning)
        std::this_thread::yield();
    const auto second = httpCall({ "GET", "/", {}, "", "" }, authorityOf(*server), {});
    release = true;
    first.join();
    REQUIRE(second);
    CHECK(second->status == 503);
}
