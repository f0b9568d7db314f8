#pragma once

#include <base/EventLog.h>
#include <net/LineWriter.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace bronzeswitch {

/**
 * One JSON line for each decision on a request and each change of what the node believes.
 *
 * The volume is bounded: in one second at most so many lines are kept, and what the reader does not take in time is dropped.
 * The number of dropped lines stands in the next line that is written.
 *
 *     log.write(events::requestRefused, { { "request", id }, { "reason", "queue-full" } });
 */
class DecisionLog {
public:
    /** @param linesPerSecond lines kept in one second; warnings and errors are always kept. */
    DecisionLog(std::string node, LineWriter&, int linesPerSecond);

    /** Writes an event. @param fields its inputs with their age or version, and the outcome. */
    void write(const Event&, nlohmann::json fields);

    /** @return lines dropped so far. */
    uint64_t dropped() const { return m_dropped + m_writer.dropped(); }

private:
    bool isAllowed(const Event&);

    std::string m_node;
    LineWriter& m_writer;
    int m_linesPerSecond;
    int64_t m_second = 0;
    int m_linesInSecond = 0;
    uint64_t m_dropped = 0;
    uint64_t m_droppedTold = 0;
};

} // namespace bronzeswitch
