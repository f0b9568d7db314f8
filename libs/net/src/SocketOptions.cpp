#include "SocketOptions.h"

#include <netinet/tcp.h>

namespace bronzeswitch {

namespace {

constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 3;
constexpr unsigned unacknowledgedMs = 5000; // A write that nobody acknowledges for this long ends the connection.

bool set(int socket, int option, int value) { return ::setsockopt(socket, IPPROTO_TCP, option, &value, sizeof(value)) == 0; }

} // namespace

bool configureSocket(TcpSocket& socket)
{
    boost::system::error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    bool isAccepted = !error;
    socket.set_option(asio::socket_base::keep_alive(true), error);
    isAccepted &= !error;
    const int handle = socket.native_handle();
    isAccepted &= set(handle, TCP_KEEPIDLE, keepAliveIdleSeconds);
    isAccepted &= set(handle, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    isAccepted &= set(handle, TCP_KEEPCNT, keepAliveProbes);
    isAccepted &= set(handle, TCP_USER_TIMEOUT, static_cast<int>(unacknowledgedMs));
    return isAccepted;
}

} // namespace bronzeswitch
