#include "SocketOptions.h"

#include <netinet/tcp.h>

namespace bronzeswitch {

namespace {

constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 3;
constexpr unsigned userTimeoutMs = 5000; // Sent data that stays unacknowledged for this long ends the connection.

bool setTcpOption(int socket, int option, int value) { return ::setsockopt(socket, IPPROTO_TCP, option, &value, sizeof(value)) == 0; }

} // namespace

bool configureSocket(TcpSocket& socket)
{
    boost::system::error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    bool areAllSet = !error;
    socket.set_option(asio::socket_base::keep_alive(true), error);
    areAllSet &= !error;
    const int handle = socket.native_handle();
    areAllSet &= setTcpOption(handle, TCP_KEEPIDLE, keepAliveIdleSeconds);
    areAllSet &= setTcpOption(handle, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    areAllSet &= setTcpOption(handle, TCP_KEEPCNT, keepAliveProbes);
    areAllSet &= setTcpOption(handle, TCP_USER_TIMEOUT, static_cast<int>(userTimeoutMs));
    return areAllSet;
}

} // namespace bronzeswitch
