#include <catch2/catch.hpp>
#include <net/Acceptor.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

using namespace bronzeswitch;

namespace {

const CallerLimits limits;

// A persistent connection between a caller and a node, on an event loop that the test runs one handler at a time.
struct ConnectionFixture {
    ConnectionFixture()
        : acceptor(listenAt(loop.get_executor(), { asio::ip::address_v4::loopback(), 0 }).value())
        , caller(loop.get_executor())
    {
        caller.connect(acceptor.local_endpoint());
        TcpSocket accepted(loop.get_executor());
        acceptor.accept(accepted);
        nodeHandle = accepted.native_handle();
        node = std::make_unique<CallerConnection>(std::move(accepted));
        asio::co_spawn(
            loop, node->read(limits), [this](const std::exception_ptr&, const tl::expected<FullHttpRequest, ReadError>& request) {
                isRequestRead = request.has_value();
            });
        loop.poll();
    }

    void send() { asio::write(caller, asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))); }

    void runSteps(int times)
    {
        for (int i = 0; i < times; ++i)
            loop.poll_one();
    }

    asio::io_context loop;
    TcpAcceptor acceptor;
    TcpSocket caller;
    int nodeHandle = -1; /**< Of the node's side of the connection. */
    std::unique_ptr<CallerConnection> node;
    bool isRequestRead = false;
};

} // namespace

// LOST: a wake-up without data was taken for a caller that has left, and its running request was cut.
TEST_CASE("a wake-up of the watch without data is not taken for a disconnect")
{
    ConnectionFixture fixture;
    fixture.send();
    while (!fixture.isRequestRead)
        REQUIRE(fixture.loop.run_one() == 1);
    // Another connection's data arrives first; its handler takes the data of the watched one after both have been reported.
    TcpSocket otherCaller(fixture.loop.get_executor());
    otherCaller.connect(fixture.acceptor.local_endpoint());
    TcpSocket other(fixture.loop.get_executor());
    fixture.acceptor.accept(other);
    bool isDataTaken = false;
    other.async_wait(asio::socket_base::wait_read, [&](const boost::system::error_code&) {
        char byte = 0;
        isDataTaken = ::recv(fixture.nodeHandle, &byte, 1, MSG_DONTWAIT) == 1;
    });
    int disconnects = 0;
    fixture.node->watchDisconnect([&] { ++disconnects; });
    fixture.loop.restart();
    fixture.loop.poll();
    asio::write(otherCaller, asio::buffer("x", 1));
    asio::write(fixture.caller, asio::buffer("x", 1));
    fixture.loop.poll();
    REQUIRE(isDataTaken);
    CHECK(disconnects == 0);
    fixture.caller.close();
    while (!disconnects)
        REQUIRE(fixture.loop.run_one() == 1);
}

TEST_CASE("a request is read from a persistent connection")
{
    ConnectionFixture fixture;
    fixture.send();
    while (!fixture.isRequestRead)
        REQUIRE(fixture.loop.run_one() == 1);
    CHECK_FALSE(fixture.node->isIdle());
}

TEST_CASE("a request that arrives while its idle connection is being closed is not read, so it can't be forwarded")
{
    constexpr int steps = 40;
    for (int stepsBeforeClose = 0; stepsBeforeClose < steps; ++stepsBeforeClose) {
        CAPTURE(stepsBeforeClose);
        ConnectionFixture fixture;
        fixture.send();
        fixture.runSteps(stepsBeforeClose);
        const bool isClosed = fixture.node->isIdle();
        if (isClosed)
            fixture.node->close();
        fixture.loop.restart();
        fixture.runSteps(steps);
        CHECK(fixture.isRequestRead != isClosed);
    }
}
