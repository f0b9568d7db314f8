#include <catch2/catch.hpp>
#include <net/Acceptor.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

using namespace bronzeswitch;

namespace {

const CallerBounds bounds;

// A kept connection between a caller and a node, on a loop that the test drives step by step.
struct Connected {
    Connected()
        : acceptor(listenAt(loop.get_executor(), { asio::ip::address_v4::loopback(), 0 }).value())
        , caller(loop.get_executor())
    {
        caller.connect(acceptor.local_endpoint());
        TcpSocket accepted(loop.get_executor());
        acceptor.accept(accepted);
        node = std::make_unique<CallerConnection>(std::move(accepted));
        asio::co_spawn(
            loop, node->read(bounds), [this](const std::exception_ptr&, const tl::expected<FullHttpRequest, ReadError>& request) {
                isRequestRead = request.has_value();
            });
        loop.poll();
    }

    void send() { asio::write(caller, asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))); }

    void step(int times)
    {
        for (int i = 0; i < times; ++i)
            loop.poll_one();
    }

    asio::io_context loop;
    TcpAcceptor acceptor;
    TcpSocket caller;
    std::unique_ptr<CallerConnection> node;
    bool isRequestRead = false;
};

} // namespace

TEST_CASE("a request is read from a kept connection")
{
    Connected connected;
    connected.send();
    while (!connected.isRequestRead)
        REQUIRE(connected.loop.run_one() == 1);
    CHECK_FALSE(connected.node->isIdle());
}

TEST_CASE("a request that arrives as its idle connection is closed is not read, so it can't be passed on")
{
    constexpr int steps = 40;
    for (int before = 0; before < steps; ++before) {
        CAPTURE(before);
        Connected connected;
        connected.send();
        connected.step(before);
        const bool isClosed = connected.node->isIdle();
        if (isClosed)
            connected.node->close();
        connected.loop.restart();
        connected.step(steps);
        CHECK(connected.isRequestRead != isClosed);
    }
}
