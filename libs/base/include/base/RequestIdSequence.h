#pragma once

#include <cstdint>

namespace bronzeswitch {

/**
 * Numbers the requests that a process sends to other nodes.
 *
 * The numbers begin at a random one, so that a process does not repeat those of its earlier start: other nodes may still hold its earlier
 * requests and respond to them. Not thread-safe.
 *
 *     RequestIdSequence ids;
 *     request.id = ids.next();
 */
class RequestIdSequence {
public:
    RequestIdSequence();

    /** @return the next number. */
    uint64_t next() { return ++m_last; }

private:
    uint64_t m_last;
};

} // namespace bronzeswitch
