#include "SocketOptions.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <net/PassOn.h>

namespace bronzeswitch {

namespace {

constexpr std::size_t blockBytes = 16UL * 1024;
constexpr Duration writeTimeout { 5000 };
constexpr std::string_view reachedResponse = "HTTP/1.1 200 OK\r\n\r\n";
constexpr const char* markField = "Pass-On-Mark";
constexpr const char* markScopeField = "Pass-On-Mark-Scope";
constexpr const char* connectionScope = "connection";
constexpr std::string_view unreachedResponse = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

struct PassedConnection {
    PassedConnection(std::shared_ptr<CallerConnection> nodeConnection, Executor executor)
        : node(std::move(nodeConnection))
        , server(executor)
    {
    }
    std::shared_ptr<CallerConnection> node;
    TcpStream server;
    uint64_t bytes = 0;
};

Task<void> passRequest(std::shared_ptr<PassedConnection> passed)
{
    for (;;) {
        const auto bytes = co_await passed->node->readBytes();
        if (!bytes)
            break;
        passed->server.expires_after(writeTimeout);
        const auto [error, size] = co_await asio::async_write(passed->server, asio::buffer(*bytes), awaitResult);
        if (error)
            break;
        passed->bytes += size;
    }
    passed->server.close();
}

Task<void> passResponse(const std::shared_ptr<PassedConnection>& passed, const std::string& mark)
{
    std::array<char, blockBytes> block; // NOLINT: filled by the read.
    for (;;) {
        passed->server.expires_never();
        const auto [error, size] = co_await passed->server.async_read_some(asio::buffer(block), awaitResult);
        if (error == asio::error::eof) {
            if (!mark.empty())
                co_await passed->node->write(mark, monotonicNow() + writeTimeout);
            passed->node->close();
            co_return;
        }
        if (error || !co_await passed->node->write({ block.data(), size }, monotonicNow() + writeTimeout)) {
            passed->node->reset();
            co_return;
        }
        passed->bytes += size;
    }
}

} // namespace

std::string formatPassOnRequest(const PassOnRequest& request, const asio::ip::tcp::endpoint& node)
{
    HttpFields fields;
    fields.set("Host", node.address().to_string());
    fields.set(markField, request.mark);
    if (request.isMarkFiltered)
        fields.set(markScopeField, connectionScope);
    return formatRequestHead("CONNECT", request.target, fields, 0);
}

PassOnRequest parsePassOnRequest(const FullHttpRequest& request)
{
    return { std::string(request.target()), fieldValue(request.base(), markField),
        fieldValue(request.base(), markScopeField) == connectionScope };
}

Task<uint64_t> passOn(
    std::shared_ptr<CallerConnection> node, asio::ip::tcp::endpoint server, const PassOnRequest& request, TimePoint connectDeadline)
{
    const auto mark = request.isMarkFiltered ? request.mark : std::string();
    const auto passed = std::make_shared<PassedConnection>(node, node->executor());
    passed->server.expires_at(connectDeadline);
    const auto [error] = co_await passed->server.async_connect(server, awaitResult);
    if (error) {
        co_await node->write(unreachedResponse, monotonicNow() + writeTimeout);
        co_return 0;
    }
    configureSocket(passed->server.socket());
    if (!co_await node->write(reachedResponse, monotonicNow() + writeTimeout))
        co_return 0;
    startTask(node->executor(), passRequest(passed), [](const std::string&) {});
    co_await passResponse(passed, mark);
    passed->server.close();
    co_return passed->bytes;
}

} // namespace bronzeswitch
