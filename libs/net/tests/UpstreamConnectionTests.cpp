#include <catch2/catch.hpp>
#include <net/HttpConnectionPool.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace bronzeswitch;

namespace {

constexpr std::size_t uploadBytes = 32UL * 1024 * 1024; // More than the sockets' buffers take, so that the write stays pending.
constexpr Duration callTimeout { 15000 };
constexpr const char* unframedHead = "HTTP/1.1 200 OK\r\n\r\n";

// A server that answers a request's head at once and leaves its body unread, on an event loop that the test runs.
struct UploadFixture {
    UploadFixture()
        : acceptor(loop.get_executor(), asio::ip::tcp::v4())
        , server(loop.get_executor())
        , pool(loop.get_executor(), {})
    {
        constexpr int receiveBufferBytes = 4096;
        acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
        acceptor.listen();
    }

    // Uploads a body, and has the server write the bytes after the request's head.
    void begin(const std::string& answer, std::size_t bodyBytes = uploadBytes)
    {
        OutgoingRequest request;
        request.body = std::make_shared<const std::string>(bodyBytes, 'x');
        request.head = formatRequestHead("POST", "/", HttpFields(), bodyBytes);
        begin(answer, std::move(request));
    }

    void begin(const std::string& answer, OutgoingRequest request)
    {
        asio::co_spawn(loop, pool.call(acceptor.local_endpoint(), std::move(request), monotonicNow() + callTimeout, 1U << 20U),
            [this](const std::exception_ptr&, Result<FullHttpResponse> result) { response = std::move(result); });
        bool isHeadRead = false;
        acceptor.async_accept(server, [&](const boost::system::error_code&) {
            asio::async_read_until(server, asio::dynamic_buffer(received), "\r\n\r\n",
                [&](const boost::system::error_code& error, std::size_t) { isHeadRead = !error; });
        });
        REQUIRE(runUntil([&] { return isHeadRead; }));
        asio::write(server, asio::buffer(answer));
    }

    void reset()
    {
        server.set_option(asio::socket_base::linger(true, 0));
        server.close();
    }

    template <typename Condition> bool runUntil(Condition condition)
    {
        const auto end = monotonicNow() + callTimeout;
        while (!condition() && monotonicNow() < end)
            loop.run_one_for(std::chrono::milliseconds(20));
        return condition();
    }

    bool hasResult() const { return response.has_value(); }

    asio::io_context loop;
    TcpAcceptor acceptor;
    TcpSocket server;
    HttpConnectionPool pool;
    std::string received;
    std::optional<Result<FullHttpResponse>> response;
};

} // namespace

// Memory: idle connections kept the bodies of finished requests.
TEST_CASE("a request is released once it has been written, whatever its connection does then")
{
    UploadFixture fixture;
    OutgoingRequest request;
    request.body = std::make_shared<const std::string>("body");
    request.head = formatRequestHead("POST", "/", HttpFields(), request.body->size());
    const std::weak_ptr<const std::string> body = request.body;
    fixture.begin("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nfirst part", std::move(request));
    CHECK(fixture.runUntil([&] { return body.expired(); }));
    CHECK_FALSE(fixture.hasResult());
    asio::write(fixture.server, asio::buffer(std::string(90, 'x')));
    REQUIRE(fixture.runUntil([&] { return fixture.hasResult(); }));
    CHECK(*fixture.response);
}

// MIXED: the pending write took the socket's error, and the read saw an orderly end.
TEST_CASE("a response without a length whose connection is reset while the request is written is not complete")
{
    const auto pause = GENERATE(0, 50, 300);
    CAPTURE(pause);
    UploadFixture fixture;
    fixture.begin(std::string(unframedHead) + "half of the response");
    fixture.loop.run_for(Duration(pause));
    CHECK_FALSE(fixture.hasResult());
    fixture.reset();
    REQUIRE(fixture.runUntil([&] { return fixture.hasResult(); }));
    REQUIRE_FALSE(*fixture.response);
    CHECK(fixture.response->error().code == ErrorCode::Unavailable);
}

TEST_CASE("a response without a length is complete when its server ends it and then reads the rest of the request")
{
    UploadFixture fixture;
    fixture.begin(std::string(unframedHead) + "the whole response");
    fixture.server.shutdown(asio::socket_base::shutdown_send);
    std::string block(1U << 16U, '\0');
    std::function<void()> readOn = [&] {
        fixture.server.async_read_some(asio::buffer(block), [&](const boost::system::error_code& error, std::size_t) {
            if (!error)
                readOn();
        });
    };
    readOn();
    REQUIRE(fixture.runUntil([&] { return fixture.hasResult(); }));
    REQUIRE(*fixture.response);
    CHECK((*fixture.response)->body == "the whole response");
}

TEST_CASE("a response without a length is complete when its server ends it, although it does not read the rest of the request")
{
    UploadFixture fixture;
    fixture.begin(std::string(unframedHead) + "the whole response");
    fixture.server.shutdown(asio::socket_base::shutdown_send);
    REQUIRE(fixture.runUntil([&] { return fixture.hasResult(); }));
    REQUIRE(*fixture.response);
    CHECK((*fixture.response)->body == "the whole response");
}

TEST_CASE("a response with a length is complete although its connection is reset while the request is written")
{
    UploadFixture fixture;
    fixture.begin("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
    fixture.loop.run_for(Duration(50));
    fixture.reset();
    REQUIRE(fixture.runUntil([&] { return fixture.hasResult(); }));
    REQUIRE(*fixture.response);
    CHECK((*fixture.response)->body == "done");
}

// MIXED: a status that HTTP doesn't have was passed on as it was.
TEST_CASE("a response whose status is not a final one of HTTP is none")
{
    const auto status = GENERATE("000", "001", "099", "101", "600", "999");
    CAPTURE(status);
    UploadFixture fixture;
    fixture.begin(std::string("HTTP/1.1 ") + status + " Status\r\nContent-Length: 4\r\n\r\nbody", 1);
    REQUIRE(fixture.runUntil([&] { return fixture.hasResult(); }));
    REQUIRE_FALSE(*fixture.response);
    CHECK(fixture.response->error().code == ErrorCode::Protocol);
}

TEST_CASE("interim responses are skipped, and the first and the last final status are taken")
{
    const auto status = GENERATE(200, 599);
    UploadFixture fixture;
    fixture.begin("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " + std::to_string(status)
            + " Status\r\nContent-Length: 4\r\n\r\nbody",
        1);
    REQUIRE(fixture.runUntil([&] { return fixture.hasResult(); }));
    REQUIRE(*fixture.response);
    CHECK((*fixture.response)->head.status == status);
}
