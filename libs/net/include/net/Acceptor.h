#pragma once

#include <net/CallerConnection.h>

#include <functional>
#include <memory>

namespace bronzeswitch {

/** Opens a listening TCP socket. @return the acceptor, or Unavailable when the address can't be bound. */
Result<TcpAcceptor> listenAt(Executor, const asio::ip::tcp::endpoint&);

/**
 * Accepts connections until the acceptor is closed. An accept error is reported, and accepting resumes after a short delay.
 * @param acceptor must outlive the task that accepts.
 * @param onConnection called with each accepted connection.
 * @param onFailure called with the message of each error.
 */
void acceptConnections(TcpAcceptor& acceptor, std::function<void(std::shared_ptr<CallerConnection>)> onConnection,
    const std::function<void(const std::string&)>& onFailure);

} // namespace bronzeswitch
