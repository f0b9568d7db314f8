#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bronzeswitch {

/** Identifies a connection of a hub; not used again after the connection has closed. */
using LinkId = uint64_t;

/**
 * Carries binary messages between nodes over WebSocket connections.
 *
 * No type of the WebSocket library appears in this interface. Callbacks run on the hub's own thread and must not block.
 */
class LinkHub {
public:
    struct Callbacks {
        std::function<void(LinkId, bool isInbound)> onOpen;
        std::function<void(LinkId, const std::string& bytes)> onMessage;
        std::function<void(LinkId)> onClose; /**< Also called if an outbound connection can't be made. */
    };

    /**
     * Starts to listen and starts the hub's thread.
     * @param port 0 lets the kernel choose.
     * @param error set to the reason if the hub can't listen.
     * @return the hub, or null if it can't listen.
     */
    static std::unique_ptr<LinkHub> create(const std::string& address, uint16_t port, Callbacks, std::string& error);

    ~LinkHub();
    LinkHub(const LinkHub&) = delete;
    LinkHub& operator=(const LinkHub&) = delete;

    /** @return the port that the hub listens on. */
    uint16_t port() const;

    /** Starts to connect to "address:port". @return the link, for which onOpen or onClose is called later. */
    LinkId connect(const std::string& authority);

    /** Queues a message. It is dropped without an error if the link is not open. */
    void send(LinkId, const std::string& bytes);

    /** Closes a link without the closing handshake. onClose is called for it. */
    void close(LinkId);

    /** Stops the hub's thread; no callback runs afterwards. Sockets stay open until the hub is destroyed. */
    void shutdown();

    /** @return the bytes of all messages passed to send(), including those that were dropped; for measurements. */
    uint64_t bytesSent() const;

private:
    class Impl;
    explicit LinkHub(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace bronzeswitch
