#include <catch2/catch.hpp>
#include <http/HttpClient.h>
#include <http/HttpServer.h>

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace bronzeswitch;

namespace {

void handleRequest(const HttpRequest& request, HttpResponder& responder)
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

void rejectRequest(const HttpRequest&, HttpResponder& responder) { responder.send({ 503, {}, "busy" }); }

std::unique_ptr<HttpServer> startServer(HttpServer::Handler handler = handleRequest, int maxTasks = 64)
{
    HttpServer::Options options;
    options.maxTasks = maxTasks;
    return std::move(HttpServer::create(options, std::move(handler), rejectRequest).value());
}

std::string authorityOf(const HttpServer& server) { return "127.0.0.1:" + std::to_string(server.port()); }

// A server that writes the same bytes to each connection after the first bytes of a request and closes it.
class RawServer {
public:
    RawServer()
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(m_listener, 8) == 0);
        REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        m_port = ntohs(address.sin_port);
    }

    ~RawServer() { ::close(m_listener); }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    void serveOne(const std::string& bytes) const
    {
        const int connection = ::accept(m_listener, nullptr, nullptr);
        std::array<char, 4096> request {};
        static_cast<void>(::recv(connection, request.data(), request.size(), 0));
        static_cast<void>(::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL));
        ::close(connection);
    }

    // Answers the beginning of an upload, which it leaves unread, and resets the connection after a pause.
    void answerAndReset(const std::string& bytes, std::chrono::milliseconds pause) const
    {
        constexpr int receiveBufferBytes = 4096;
        ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        const int connection = ::accept(m_listener, nullptr, nullptr);
        char first = 0;
        static_cast<void>(::recv(connection, &first, 1, 0));
        static_cast<void>(::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL));
        std::this_thread::sleep_for(pause);
        const linger atOnce { 1, 0 };
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        ::close(connection);
    }

    std::string authority() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    int m_listener;
    int m_port = 0;
};

} // namespace

TEST_CASE("a request and its response are transferred with path, query, headers and body")
{
    auto server = startServer();
    const auto response = httpCall({ "POST", "/a/b?x=1", { { "X-Request-Id", "r1" } }, "body", "" }, authorityOf(*server), {});
    REQUIRE(response);
    CHECK(response->status == 201);
    CHECK(response->body == "POST/a/b?x=1|body");
    CHECK(findHeader(response->headers, "x-echo") == "r1");
}

TEST_CASE("onData receives the chunks of a streamed response in order")
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

TEST_CASE("a call whose connection is refused fails at stage NotSent")
{
    auto server = startServer();
    const auto authority = authorityOf(*server);
    server->shutdown();
    server.reset();
    const auto response = httpCall({ "POST", "/", {}, "x", "" }, authority, {});
    REQUIRE(!response);
    CHECK(response.error().stage == CallStage::NotSent);
}

TEST_CASE("a call without any response fails with Timeout after the idle timeout, at stage Sent")
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

TEST_CASE("a response above maxResponseBytes ends the call with Protocol and closes the connection")
{
    std::atomic<bool> isDisconnected = false;
    auto server = startServer([&](const HttpRequest&, HttpResponder& responder) {
        responder.startStream(200, {});
        while (responder.write(std::string(4096, 'x'))) { }
        isDisconnected = true;
    });
    CallOptions options;
    options.maxResponseBytes = 100000;
    const auto response = httpCall({ "GET", "/", {}, "", "" }, authorityOf(*server), options);
    REQUIRE(!response);
    CHECK(response.error().code == ErrorCode::Protocol);
    CHECK(response.error().stage == CallStage::ResponseStarted);
    while (!isDisconnected)
        std::this_thread::yield();
}

TEST_CASE("write returns false in the server after the client has disconnected")
{
    std::atomic<bool> isDisconnected = false;
    auto server = startServer([&](const HttpRequest&, HttpResponder& responder) {
        responder.startStream(200, {});
        constexpr auto chunkInterval = std::chrono::milliseconds(1);
        while (responder.write("tick"))
            std::this_thread::sleep_for(chunkInterval);
        isDisconnected = true;
    });
    CallOptions options;
    options.onData = [](std::string_view) { return false; };
    const auto response = httpCall({ "GET", "/", {}, "", "" }, authorityOf(*server), options);
    REQUIRE(!response);
    CHECK(response.error().code == ErrorCode::Cancelled);
    while (!isDisconnected)
        std::this_thread::yield();
    CHECK(isDisconnected);
}

TEST_CASE("a request beyond maxTasks is handled by the overload handler")
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

// Callers got a success with an empty or short body when the upstream stopped in the middle of the head of its response.
TEST_CASE("a response whose head is cut off is a failed call, not a response")
{
    const RawServer server;
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n";
    for (std::size_t size = 0; size <= head.size(); ++size) {
        CAPTURE(size);
        const auto bytes = size == head.size() ? head + "done" : head.substr(0, size);
        std::thread thread([&] { server.serveOne(bytes); });
        const auto response = httpCall({ "GET", "/", {}, "", "" }, server.authority(), {});
        thread.join();
        CHECK(response.has_value() == (size == head.size()));
    }
}

TEST_CASE("a response with an interim response before it and trailer fields after it is whole")
{
    const RawServer server;
    const std::string bytes
        = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nX-Sum: 7\r\n\r\n";
    std::thread thread([&] { server.serveOne(bytes); });
    const auto response = httpCall({ "GET", "/", {}, "", "" }, server.authority(), {});
    thread.join();
    REQUIRE(response);
    CHECK(response->body == "done");
}

// MIXED: a caller would get a part of a response as a whole one.
TEST_CASE("a response without a length whose connection is reset while the request is sent is a failed call")
{
    const auto pause = GENERATE(0, 50, 300);
    CAPTURE(pause);
    const RawServer server;
    std::thread thread([&] { server.answerAndReset("HTTP/1.1 200 OK\r\n\r\nhalf of the response", std::chrono::milliseconds(pause)); });
    const std::string upload(32UL * 1024 * 1024, 'x');
    const auto response = httpCall({ "POST", "/", {}, upload, "" }, server.authority(), {});
    thread.join();
    REQUIRE(!response);
    CHECK(response.error().code == ErrorCode::Unavailable);
}

// MIXED: a caller would get a status that HTTP doesn't have.
TEST_CASE("a response whose status is not a final one of HTTP is a failed call")
{
    const auto status = GENERATE("000", "099", "101", "600", "999");
    CAPTURE(status);
    const RawServer server;
    std::thread thread([&] { server.serveOne(std::string("HTTP/1.1 ") + status + " Status\r\nContent-Length: 4\r\n\r\nbody"); });
    const auto response = httpCall({ "GET", "/", {}, "", "" }, server.authority(), {});
    thread.join();
    CHECK(!response);
}
