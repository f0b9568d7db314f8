#include <algorithm>
#include <net/LineWriter.h>
#include <poll.h>
#include <unistd.h>

namespace bronzeswitch {

namespace {

constexpr std::size_t maxWriteBytes = 4096; // A pipe that polls as writable accepts this many bytes without blocking.

} // namespace

LineWriter::LineWriter(int descriptor, std::size_t capacity)
    : m_descriptor(descriptor)
    , m_capacity(capacity)
{
}

bool LineWriter::add(const std::string& line)
{
    if (m_buffer.size() + line.size() + 1 > m_capacity) {
        ++m_dropped;
        return false;
    }
    m_buffer += line;
    m_buffer += '\n';
    return true;
}

bool LineWriter::isWritable() const
{
    pollfd request { m_descriptor, POLLOUT, 0 };
    return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT);
}

void LineWriter::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size() && isWritable()) {
        const auto result = ::write(m_descriptor, m_buffer.data() + written, std::min(maxWriteBytes, m_buffer.size() - written));
        if (result <= 0)
            break;
        written += static_cast<std::size_t>(result);
    }
    m_buffer.erase(0, written);
}

} // namespace bronzeswitch
