#pragma once

#include <cstddef>

namespace bronzeswitch {

/**
 * How a process divides the descriptors and the memory of its machine among those who connect to it.
 *
 * Load pattern: any number of connections to any of its ports. Each port has a share of its own, so that a flood at one leaves the others
 * usable, and callers' requests in number never exceed the descriptors for connections to upstreams.
 */
struct ResourceShares {
    std::size_t callers = 0; /**< Connections of callers; 0 for any number, as for the others. */
    std::size_t peers = 0; /**< Connections to the port of peers and metrics. */
    std::size_t readiness = 0; /**< Connections to the readiness port. */

    /**
     * @param descriptors that the process may have open; 0 if unknown.
     * @param memoryBytes that the process may use; 0 if unknown.
     */
    static ResourceShares of(std::size_t descriptors, std::size_t memoryBytes);

    bool operator==(const ResourceShares&) const = default;
};

/** @return number of descriptors that the system lets this process open; 0 for any number. */
std::size_t descriptorLimit();

} // namespace bronzeswitch
