#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace bronzeswitch {

/**
 * Extracts the data of server-sent events from a stream that arrives in arbitrary pieces.
 *
 * Events that do not start with a data field, such as comments, are skipped.
 */
class EventStreamParser {
public:
    /**
     * Parses the next bytes of the stream.
     * @param onData called with the data of each complete event; returns false to stop parsing.
     * @return false if onData stopped parsing or an incomplete event exceeds 1 MiB.
     */
    bool feed(std::string_view bytes, const std::function<bool(std::string_view data)>& onData);

private:
    std::string m_buffer; /**< Bytes of the event that is not complete yet. */
};

} // namespace bronzeswitch
