#include <node/LinkHub.h>

#include <atomic>
#include <map>
#include <thread>
#define ASIO_STANDALONE
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace bronzeswitch {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using ConnectionHandle = websocketpp::connection_hdl;

constexpr long connectTimeoutMs = 1000;

} // namespace

// Runs both endpoints on one io_service and its thread. The maps of links are accessed on that thread only.
class LinkHub::Impl {
public:
    explicit Impl(Callbacks callbacks)
        : m_callbacks(std::move(callbacks))
    {
    }

    ~Impl() { shutdown(); }

    bool listen(const std::string& address, uint16_t port, std::string& error)
    {
        try {
            configureEndpoint(m_server);
            m_server.set_reuse_addr(true);
            m_server.listen(websocketpp::lib::asio::ip::tcp::endpoint(websocketpp::lib::asio::ip::make_address(address), port));
            m_server.start_accept();
            websocketpp::lib::asio::error_code ignored;
            m_port = m_server.get_local_endpoint(ignored).port();
            configureEndpoint(m_client);
            m_client.set_open_handshake_timeout(connectTimeoutMs);
        } catch (const std::exception& failure) {
            error = failure.what();
            return false;
        }
        m_thread = std::thread([this] { m_ioService.run(); });
        return true;
    }

    uint16_t port() const { return m_port; }
    uint64_t bytesSent() const { return m_bytesSent; }

    LinkId connect(const std::string& authority)
    {
        const LinkId id = ++m_lastId;
        m_ioService.post([this, id, authority] { startConnect(id, authority); });
        return id;
    }

    void send(LinkId id, const std::string& bytes)
    {
        m_bytesSent += bytes.size();
        m_ioService.post([this, id, bytes] { sendNow(id, bytes); });
    }

    void close(LinkId id)
    {
        m_ioService.post([this, id] { closeNow(id); });
    }

    void shutdown()
    {
        if (m_isShutDown.exchange(true))
            return;
        m_ioService.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    template <typename Endpoint> void configureEndpoint(Endpoint& endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&m_ioService);
        endpoint.set_tcp_post_init_handler([&endpoint](ConnectionHandle handle) {
            websocketpp::lib::error_code ignored;
            auto connection = endpoint.get_con_from_hdl(handle, ignored);
            websocketpp::lib::asio::error_code result;
            if (connection)
                connection->get_raw_socket().set_option(websocketpp::lib::asio::ip::tcp::no_delay(true), result);
        });
        endpoint.set_open_handler([this](const ConnectionHandle& handle) { onOpened(handle, std::is_same<Endpoint, Server>::value); });
        endpoint.set_close_handler([this](const ConnectionHandle& handle) { onClosed(handle); });
        endpoint.set_fail_handler([this](const ConnectionHandle& handle) { onClosed(handle); });
        endpoint.set_message_handler([this](const ConnectionHandle& handle, const typename Endpoint::message_ptr& message) {
            const auto found = m_idsByHandle.find(handle);
            if (found != m_idsByHandle.end())
                m_callbacks.onMessage(found->second, message->get_payload());
        });
    }

    void startConnect(LinkId id, const std::string& authority)
    {
        websocketpp::lib::error_code error;
        auto connection = m_client.get_connection("ws://" + authority + "/", error);
        if (error) {
            m_callbacks.onClose(id);
            return;
        }
        m_idsByHandle[connection->get_handle()] = id;
        m_outbound[id] = connection->get_handle();
        m_client.connect(connection);
    }

    void onOpened(const ConnectionHandle& handle, bool isInbound)
    {
        auto& id = m_idsByHandle[handle];
        if (isInbound) {
            id = ++m_lastId;
            m_inbound[id] = handle;
        }
        m_callbacks.onOpen(id, isInbound);
    }

    void onClosed(const ConnectionHandle& handle)
    {
        const auto found = m_idsByHandle.find(handle);
        if (found == m_idsByHandle.end())
            return;
        const auto id = found->second;
        m_idsByHandle.erase(found);
        m_inbound.erase(id);
        m_outbound.erase(id);
        m_callbacks.onClose(id);
    }

    void sendNow(LinkId id, const std::string& bytes)
    {
        websocketpp::lib::error_code ignored;
        if (const auto inbound = m_inbound.find(id); inbound != m_inbound.end())
            m_server.send(inbound->second, bytes, websocketpp::frame::opcode::binary, ignored);
        else if (const auto outbound = m_outbound.find(id); outbound != m_outbound.end())
            m_client.send(outbound->second, bytes, websocketpp::frame::opcode::binary, ignored);
    }

    // Closes the socket without the WebSocket closing handshake, because the peer may never respond to it.
    void closeNow(LinkId id)
    {
        websocketpp::lib::error_code ignored;
        ConnectionHandle handle;
        if (const auto inbound = m_inbound.find(id); inbound != m_inbound.end()) {
            handle = inbound->second;
            if (auto connection = m_server.get_con_from_hdl(handle, ignored))
                closeSocket(connection->get_raw_socket());
        } else if (const auto outbound = m_outbound.find(id); outbound != m_outbound.end()) {
            handle = outbound->second;
            if (auto connection = m_client.get_con_from_hdl(handle, ignored))
                closeSocket(connection->get_raw_socket());
        }
        onClosed(handle);
    }

    template <typename Socket> static void closeSocket(Socket& socket)
    {
        websocketpp::lib::asio::error_code ignored;
        socket.close(ignored);
    }

    using IdsByHandle = std::map<ConnectionHandle, LinkId, std::owner_less<ConnectionHandle>>;

    Callbacks m_callbacks;
    websocketpp::lib::asio::io_service m_ioService;
    Server m_server;
    Client m_client;
    IdsByHandle m_idsByHandle;
    std::map<LinkId, ConnectionHandle> m_inbound;
    std::map<LinkId, ConnectionHandle> m_outbound;
    std::atomic<LinkId> m_lastId { 0 };
    std::atomic<uint64_t> m_bytesSent { 0 };
    std::atomic<bool> m_isShutDown { false };
    uint16_t m_port = 0;
    std::thread m_thread;
};

std::unique_ptr<LinkHub> LinkHub::create(const std::string& address, uint16_t port, Callbacks callbacks, std::string& error)
{
    auto impl = std::make_unique<Impl>(std::move(callbacks));
    if (!impl->listen(address, port, error))
        return nullptr;
    return std::unique_ptr<LinkHub>(new LinkHub(std::move(impl)));
}

LinkHub::LinkHub(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

LinkHub::~LinkHub() = default;

uint16_t LinkHub::port() const { return m_impl->port(); }

LinkId LinkHub::connect(const std::string& authority) { return m_impl->connect(authority); }

void LinkHub::send(LinkId id, const std::string& bytes) { m_impl->send(id, bytes); }

void LinkHub::close(LinkId id) { m_impl->close(id); }

void LinkHub::shutdown() { m_impl->shutdown(); }

uint64_t LinkHub::bytesSent() const { return m_impl->bytesSent(); }

} // namespace bronzeswitch
