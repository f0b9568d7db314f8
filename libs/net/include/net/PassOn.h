#pragma once

#include <net/CallerConnection.h>

#include <memory>
#include <string>

namespace bronzeswitch {

/** Field of a CONNECT request between nodes: the mark that is written behind the last byte if the server ends its connection orderly. */
inline constexpr const char* passOnMarkField = "Pass-On-Mark";

/**
 * Opens a connection to a server and passes the bytes of another node's connection on to it and back, until one of them ends.
 *
 * The node first gets a response that says whether the server was reached. The end of the server's connection is passed on as it was: after
 * an orderly one the mark follows the last byte, a reset is passed on as a reset. So the end of this node never looks like the orderly end
 * of the server's response. When the other node closes its connection, that to the server is closed at once.
 * @return bytes that were passed on in both directions.
 */
Task<uint64_t> passOn(std::shared_ptr<CallerConnection>, asio::ip::tcp::endpoint server, std::string mark, TimePoint connectDeadline);

} // namespace bronzeswitch
