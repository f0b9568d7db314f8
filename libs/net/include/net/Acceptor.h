#pragma once

#include <net/CallerConnection.h>

#include <functional>
#include <memory>

namespace bronzeswitch {

/** Opens a listening socket. @return Unavailable when the address can't be bound. */
Result<TcpAcceptor> listenAt(Executor, const asio::ip::tcp::endpoint&);

/**
 * Takes connections until the acceptor is closed; after an error it goes on a little later.
 * @param acceptor outlives the task.
 * @param onConnection called with each connection.
 * @param onFailure called with the reason of each error.
 */
void acceptConnections(TcpAcceptor& acceptor, std::function<void(std::shared_ptr<CallerConnection>)> onConnection,
    const std::function<void(const std::string&)>& onFailure);

} // namespace bronzeswitch
