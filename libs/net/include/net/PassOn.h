#pragma once

#include <net/CallerConnection.h>
#include <net/HttpTypes.h>

#include <memory>
#include <string>

namespace bronzeswitch {

/** A CONNECT request of a node to another one, which passes the connection on to a server. */
struct PassOnRequest {
    std::string target; /**< Names the server. */
    std::string mark; /**< Written behind the last byte if the server ends its connection orderly; empty if the node expects none. */
    bool isMarkFiltered = false; /**< The requesting node removes the mark from responses of any framing. */

    bool operator==(const PassOnRequest&) const = default;
};

/** @return the head of the request to a node. */
std::string formatPassOnRequest(const PassOnRequest&, const asio::ip::tcp::endpoint& node);

/** @return the content of a CONNECT request. */
PassOnRequest parsePassOnRequest(const FullHttpRequest&);

/**
 * Opens a connection to a server and passes the bytes of another node's connection on to it and back, until one of them ends.
 *
 * The node first gets a response that says whether the server was reached. The end of the server's connection is passed on as it was: after
 * an orderly one the mark follows the last byte, a reset is passed on as a reset. So the end of this node never looks like the orderly end
 * of the server's response. A node that would take the mark for missing bytes of a response gets none: to that node, no response that ends
 * with its connection is complete. When the other node closes its connection, that to the server is closed at once.
 * @return bytes that were passed on in both directions.
 */
Task<uint64_t> passOn(
    std::shared_ptr<CallerConnection>, asio::ip::tcp::endpoint server, const PassOnRequest& request, TimePoint connectDeadline);

} // namespace bronzeswitch
