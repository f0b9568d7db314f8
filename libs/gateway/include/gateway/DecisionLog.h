#pragma once

#include <base/EventLog.h>
#include <net/LineWriter.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace bronzeswitch {

/**
 * Writes a JSON line for each decision on a request and for each change of the state that the node bases decisions on.
 *
 * The volume is bounded: lines above a number per second are dropped, and so are lines that the reader of the output does not
 * consume in time. The next line that is written carries the total number of dropped lines.
 *
 *     log.write(events::requestRefused, { { "request", id }, { "reason", "queue-full" } });
 */
class DecisionLog {
public:
    /** @param linesPerSecond lines written per second at most; warnings and errors are written beyond that. */
    DecisionLog(std::string node, LineWriter&, int linesPerSecond);

    /** Writes an event. @param fields the inputs of the decision with their age or version, and its outcome. */
    void write(const Event&, nlohmann::json fields);

    /** @return the number of lines dropped so far. */
    uint64_t dropped() const { return m_dropped + m_writer.dropped(); }

private:
    /** Counts a line. @return false if it must be dropped because of the limit per second. */
    bool acceptLine(const Event&);

    std::string m_node;
    LineWriter& m_writer;
    int m_linesPerSecond;
    int64_t m_currentSecond = 0; /**< Of the monotonic clock. */
    int m_linesInSecond = 0;
    uint64_t m_dropped = 0; /**< Lines above the limit per second. */
    uint64_t m_droppedReported = 0; /**< The number that the last line with one carried. */
};

} // namespace bronzeswitch
