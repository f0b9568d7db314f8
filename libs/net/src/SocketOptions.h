#pragma once

#include <net/Async.h>

namespace bronzeswitch {

/**
 * Sends small messages at once and lets the kernel find a connection whose other end is gone.
 * @return false if an option was refused; the connection works all the same.
 */
bool configureSocket(TcpSocket&);

} // namespace bronzeswitch
