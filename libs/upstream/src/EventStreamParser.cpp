#include <upstream/EventStreamParser.h>

namespace bronzeswitch {

namespace {

constexpr std::size_t maxEventBytes = 1U << 20U;
constexpr std::string_view separator = "\n\n";
constexpr std::string_view dataField = "data: ";

} // namespace

bool EventStreamParser::feed(std::string_view bytes, const std::function<bool(std::string_view)>& onData)
{
    m_buffer += bytes;
    std::size_t start = 0;
    for (auto end = m_buffer.find(separator); end != std::string::npos; end = m_buffer.find(separator, start)) {
        const auto event = std::string_view(m_buffer).substr(start, end - start);
        start = end + separator.size();
        if (event.starts_with(dataField) && !onData(event.substr(dataField.size())))
            return false;
    }
    m_buffer.erase(0, start);
    return m_buffer.size() <= maxEventBytes;
}

} // namespace bronzeswitch
