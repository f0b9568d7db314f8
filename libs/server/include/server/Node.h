#pragma once

#include <server/Settings.h>

#include <memory>
#include <string>

namespace bronzeswitch {

/**
 * One node of the scheduler: serves callers, other nodes and operators on a port each.
 *
 *     auto node = Node::create(settings);
 *     if (!node)
 *         std::cerr << node.error().message;
 *     (*node)->drain();
 */
class Node {
public:
    /** Binds the ports and starts the node. @return the running node, or the error if a port can't be bound. */
    static Result<std::unique_ptr<Node>> create(const Settings&);

    /** Stops immediately, like a crash: running requests are aborted and the peers are not notified. Call drain() first to avoid that. */
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    uint16_t callerPort() const;
    uint16_t nodePort() const;
    uint16_t operatorPort() const;

    /** @return true if the node has a configuration and is not draining. */
    bool isReady() const;

    /** @return the revision of the configuration that is in force on this node, 0 if there is none yet. */
    int64_t revision() const;

    /** @return the names of the live and ready nodes, as this node sees them. */
    std::vector<std::string> members() const;

    /** @return the bytes of messages that this node has sent to other nodes. */
    uint64_t controlBytesSent() const;

    /** @return the number of callers' requests that run or wait on this node. */
    int runningRequests() const;

    /**
     * Shuts down gracefully: turns readiness off, lets other nodes become the homes of this node's pools and claim partitions,
     * and waits for the running requests.
     * @return true if all requests ended within the drain limit.
     */
    bool drain();

private:
    class Impl;
    explicit Node(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace bronzeswitch
