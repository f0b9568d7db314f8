#pragma once

#include <base/Error.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzeswitch {

/**
 * Splits a stream of server-sent events into complete events and checks that their identifiers are consecutive.
 *
 * Only complete events are returned. When a stream breaks off inside an event, the partial event is discarded, so that another
 * upstream can resume the stream after the last complete one. Events that arrive together with a malformed one, but before it, are
 * returned with the error: lastEventId() counts them, so a resumed stream does not repeat them.
 *
 *     EventStream stream(lastEventId);
 *     const auto batch = stream.push(bytes);
 *     send(batch.events);
 *     if (batch.error) ...
 */
class EventStream {
public:
    /** The outcome of a push. */
    struct Batch {
        std::string events; /**< The events that are complete now, unchanged; without those from an error on. */
        /** Protocol if an event is missing, duplicated or too large, or if its identifier is not a number or is missing after others. */
        std::optional<Error> error;
    };

    /** @param lastEventId last event that the caller has received before, if any; the stream starts after it. */
    explicit EventStream(std::optional<int64_t> lastEventId);

    /** Appends bytes of the stream. @return what they complete. After an error, discardPartialEvent() must come before the next push. */
    Batch push(std::string_view bytes);

    /** Discards a partial event before another upstream resumes the stream. */
    void discardPartialEvent()
    {
        m_pending.clear();
        m_scannedBytes = 0;
    }

    /** @return true if the bytes so far end with a complete event. */
    bool isAtEventBoundary() const { return m_pending.empty(); }

    /** @return bytes of memory that the partial event takes. */
    std::size_t pendingSize() const { return m_pending.capacity(); }

    /** @return the identifier of the last complete event, or of the last one that the caller has received before. */
    std::optional<int64_t> lastEventId() const { return m_lastEventId; }

    /** @return the number of complete events that had an identifier. */
    int64_t eventCount() const { return m_eventCount; }

private:
    /** Counts an event. @return why it can't follow the last one, if so; it is not counted then. */
    std::optional<Error> acceptEvent(std::string_view event);

    std::optional<int64_t> m_lastEventId;
    std::string m_pending; /**< Bytes of the partial event. */
    std::size_t m_scannedBytes = 0; /**< Where the search for the end of the partial event continues. */
    int64_t m_eventCount = 0;
};

} // namespace bronzeswitch
