#pragma once

#include <cstdint>
#include <string>

namespace bronzeswitch {

/**
 * Writes lines to a file descriptor without ever blocking.
 *
 * Lines wait in a bounded buffer. While it is full, because the reader is too slow, new lines are dropped and counted.
 *
 *     LineWriter writer(STDOUT_FILENO, 1 << 20);
 *     writer.add(line);
 *     writer.flush();
 */
class LineWriter {
public:
    /** @param capacity size of the buffer, in bytes. */
    LineWriter(int descriptor, std::size_t capacity);

    /** Appends a line to the buffer. @return false if the line was dropped. */
    bool add(const std::string& line);

    /** Writes as much of the buffer as the descriptor accepts without blocking. */
    void flush();

    bool isEmpty() const { return m_buffer.empty(); }

    /** @return lines dropped so far. */
    uint64_t dropped() const { return m_dropped; }

private:
    bool isWritable() const;

    int m_descriptor;
    std::size_t m_capacity;
    std::string m_buffer;
    uint64_t m_dropped = 0;
};

} // namespace bronzeswitch
