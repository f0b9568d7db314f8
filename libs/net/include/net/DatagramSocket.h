#pragma once

#include <net/Async.h>

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bronzeswitch {

using DatagramEndpoint = asio::ip::udp::endpoint;

/** Sends and receives datagrams on one port. Sending never waits; a datagram that finds no room is lost. */
class DatagramSocket {
public:
    using Receiver = std::function<void(const DatagramEndpoint& from, const std::string& bytes)>;

    /** @return the socket, or Unavailable when the address can't be bound. */
    static Result<std::unique_ptr<DatagramSocket>> create(Executor, const DatagramEndpoint&);

    /** Calls the receiver for each datagram until the socket is destroyed. */
    void start(Receiver);

    /** @return false if the datagram was not taken. */
    bool send(const DatagramEndpoint& to, const std::string& bytes);

    DatagramEndpoint endpoint() const;
    uint64_t bytesSent() const { return m_bytesSent; }

private:
    using Socket = asio::basic_datagram_socket<asio::ip::udp, Executor>;

    explicit DatagramSocket(Socket);
    Task<void> receiveAll(Receiver);

    Socket m_socket;
    uint64_t m_bytesSent = 0;
};

} // namespace bronzeswitch
