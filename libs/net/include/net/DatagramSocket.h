#pragma once

#include <net/Async.h>

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bronzeswitch {

using DatagramEndpoint = asio::ip::udp::endpoint;

/** Sends and receives UDP datagrams on one port. Sending never blocks: a datagram that finds the send buffer full is dropped. */
class DatagramSocket {
public:
    using Receiver = std::function<void(const DatagramEndpoint& from, const std::string& bytes)>;

    /** Binds a socket. @return the socket, or Unavailable when the address can't be bound. */
    static Result<std::unique_ptr<DatagramSocket>> create(Executor, const DatagramEndpoint&);

    /** Calls the receiver for each datagram until the socket is destroyed. */
    void start(Receiver);

    /** Sends one datagram. @return false if it was not handed to the kernel. */
    bool send(const DatagramEndpoint& to, const std::string& bytes);

    /** @return the local address, with the port that the kernel chose if none was given. */
    DatagramEndpoint endpoint() const;

    /** @return payload bytes sent so far. */
    uint64_t bytesSent() const { return m_bytesSent; }

private:
    using Socket = asio::basic_datagram_socket<asio::ip::udp, Executor>;

    explicit DatagramSocket(Socket);
    Task<void> receiveAll(Receiver);

    Socket m_socket;
    uint64_t m_bytesSent = 0;
};

} // namespace bronzeswitch
