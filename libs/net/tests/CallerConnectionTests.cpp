#include <catch2/catch.hpp>
#include <net/Acceptor.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace bronzeswitch;

namespace {

const CallerLimits limits;

// A persistent connection between a caller and a node, on an event loop that the test runs one handler at a time.
struct ConnectionFixture {
    explicit ConnectionFixture(bool isRequestSentFirst = false)
        : acceptor(listenAt(loop.get_executor(), { asio::ip::address_v4::loopback(), 0 }).value())
        , caller(loop.get_executor())
    {
        caller.connect(acceptor.local_endpoint());
        TcpSocket accepted(loop.get_executor());
        acceptor.accept(accepted);
        nodeHandle = accepted.native_handle();
        node = std::make_unique<CallerConnection>(std::move(accepted));
        if (isRequestSentFirst)
            send();
        startRead();
        if (!isRequestSentFirst)
            loop.poll();
    }

    void startRead()
    {
        loop.restart();
        asio::co_spawn(
            loop, node->read(limits), [this](const std::exception_ptr&, const tl::expected<FullHttpRequest, ReadError>& request) {
                isEnded = true;
                isRequestRead = request.has_value();
            });
    }

    bool runUntilRead()
    {
        loop.restart();
        while (!isRequestRead && loop.run_one_for(std::chrono::seconds(5)) > 0) { }
        return isRequestRead;
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
    bool isEnded = false; /**< The read has ended. */
    bool isRequestRead = false;
};

// A request that has been read, while the task that waits for it has not gone on yet.
struct RequestBeforeRead : ConnectionFixture {
    RequestBeforeRead()
        : ConnectionFixture(true)
    {
        runSteps(1);
    }
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

// LOST: a request that had been read while its connection still counted as idle was dispatched, and its response went to a closed socket.
TEST_CASE("a connection that has been closed hands over no request")
{
    RequestBeforeRead fixture;
    REQUIRE(fixture.node->isIdle());
    fixture.node->close();
    fixture.loop.poll();
    CHECK(fixture.isEnded);
    CHECK_FALSE(fixture.isRequestRead);
}

TEST_CASE("a connection on which no request has arrived ends when it is closed as an idle one")
{
    ConnectionFixture fixture;
    fixture.node->closeIdle();
    fixture.loop.poll();
    CHECK(fixture.isEnded);
    CHECK_FALSE(fixture.isRequestRead);
}

TEST_CASE("a request whose bytes have arrived is handed over although its connection is closed as an idle one")
{
    const bool isReadBefore = GENERATE(true, false);
    CAPTURE(isReadBefore);
    RequestBeforeRead fixture;
    if (!isReadBefore) {
        fixture.loop.poll(); // Hands the first request over.
        fixture.isRequestRead = false;
        fixture.startRead();
        fixture.loop.poll();
        fixture.send();
    }
    REQUIRE(fixture.node->isIdle());
    fixture.node->closeIdle();
    REQUIRE(fixture.runUntilRead());
    bool isWritten = false;
    asio::co_spawn(fixture.loop, fixture.node->write("done", monotonicNow() + Duration(1000)),
        [&](const std::exception_ptr&, bool result) { isWritten = result; });
    fixture.loop.restart();
    fixture.loop.poll();
    CHECK(isWritten);
    std::string received(4, '\0');
    asio::read(fixture.caller, asio::buffer(received));
    CHECK(received == "done");
}

TEST_CASE("a request that arrives is not cut off when idle connections are closed")
{
    ConnectionFixture fixture;
    asio::write(fixture.caller, asio::buffer(std::string_view("GET / HT")));
    while (fixture.node->isIdle())
        REQUIRE(fixture.loop.run_one() == 1);
    fixture.node->closeIdle();
    asio::write(fixture.caller, asio::buffer(std::string_view("TP/1.1\r\nHost: a\r\n\r\n")));
    CHECK(fixture.runUntilRead());
}
