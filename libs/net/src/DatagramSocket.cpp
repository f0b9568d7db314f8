#include <boost/asio/buffer.hpp>
#include <net/DatagramSocket.h>

namespace bronzeswitch {

namespace {

constexpr std::size_t maxDatagramBytes = 64UL * 1024;

} // namespace

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::create(Executor executor, const DatagramEndpoint& endpoint)
{
    Socket socket(executor);
    boost::system::error_code error;
    socket.open(endpoint.protocol(), error);
    if (!error)
        socket.bind(endpoint, error);
    if (!error)
        socket.non_blocking(true, error);
    if (error)
        return fail(ErrorCode::Unavailable, "can't bind the datagram socket: " + error.message());
    return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(socket)));
}

DatagramSocket::DatagramSocket(Socket socket)
    : m_socket(std::move(socket))
{
}

DatagramEndpoint DatagramSocket::endpoint() const { return m_socket.local_endpoint(); }

void DatagramSocket::start(Receiver receiver)
{
    // Only the receiver can end the task by an exception, and it reports its own failures.
    startTask(m_socket.get_executor(), receiveAll(std::move(receiver)), [](const std::string&) {});
}

Task<void> DatagramSocket::receiveAll(Receiver receiver)
{
    std::string buffer(maxDatagramBytes, '\0');
    DatagramEndpoint from;
    for (;;) {
        const auto [error, size] = co_await m_socket.async_receive_from(asio::buffer(buffer), from, awaitResult);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
            co_return;
        // Other errors report that an earlier datagram was refused by its destination port.
        if (!error)
            receiver(from, buffer.substr(0, size));
    }
}

bool DatagramSocket::send(const DatagramEndpoint& to, const std::string& bytes)
{
    boost::system::error_code error;
    const auto size = m_socket.send_to(asio::buffer(bytes), to, 0, error);
    m_bytesSent += size;
    return !error;
}

} // namespace bronzeswitch
