#pragma once

#include <net/CallerConnection.h>

#include <cstddef>
#include <memory>
#include <set>

namespace bronzeswitch {

/**
 * The open connections of a server, which are bounded in number.
 *
 * Load pattern: more connections than the process has descriptors or memory for, most of them idle or with requests that never become
 * complete. A new connection takes the place of the one that has been idle for longest, or else of the one whose request has been arriving
 * for longest. Connections whose requests are being handled are never closed, so that a forwarded request keeps its answer.
 *
 *     ConnectionSet connections(1000);
 *     if (connections.add(connection) != ConnectionSet::Result::Refused)
 *         handle(connection);
 */
class ConnectionSet {
public:
    /** What became of a new connection. */
    enum class Result {
        Added,
        AddedForAnother, /**< Another connection was closed for it. */
        Refused /**< Requests are being handled on all others. */
    };

    /** @param limit number of connections; 0 for any number. */
    explicit ConnectionSet(std::size_t limit = 0)
        : m_limit(limit)
    {
    }

    /** Sets the limit for connections that are added from now on. */
    void setLimit(std::size_t limit) { m_limit = limit; }
    std::size_t limit() const { return m_limit; }

    /** Adds a connection, if there is or can be made a place for it. */
    Result add(const std::shared_ptr<CallerConnection>&);

    /** Removes a connection, if it is still there. */
    void remove(const std::shared_ptr<CallerConnection>& connection) { m_connections.erase(connection); }

    const std::set<std::shared_ptr<CallerConnection>>& connections() const { return m_connections; }
    std::size_t size() const { return m_connections.size(); }
    bool isEmpty() const { return m_connections.empty(); }

private:
    std::size_t m_limit;
    std::set<std::shared_ptr<CallerConnection>> m_connections;
};

} // namespace bronzeswitch
