#pragma once

#include <net/Async.h>

namespace bronzeswitch {

/**
 * Disables Nagle's algorithm and lets the kernel close a connection whose peer has stopped responding.
 * @return false if the kernel refused an option; the connection works without it.
 */
bool configureSocket(TcpSocket&);

} // namespace bronzeswitch
