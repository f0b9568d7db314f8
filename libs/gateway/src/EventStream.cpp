#include <charconv>
#include <gateway/EventStream.h>

namespace bronzeswitch {

namespace {

constexpr std::string_view blankLine = "\n\n";
constexpr std::string_view idField = "id:";
constexpr std::size_t maxEventBytes = 256UL * 1024;

// Returns no value for an event without an identifier, and an error if it has one that is not a number.
Result<std::optional<int64_t>> parseEventId(std::string_view event)
{
    std::size_t start = 0;
    while (start < event.size()) {
        const auto end = std::min(event.find('\n', start), event.size());
        auto line = event.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        int64_t id = 0;
        const auto* lineEnd = line.data() + line.size();
        const auto parsed = std::from_chars(line.data(), lineEnd, id);
        if (parsed.ec != std::errc() || parsed.ptr != lineEnd)
            return fail(ErrorCode::Protocol, "an event's id is not a number");
        return id;
    }
    return std::nullopt;
}

// Comments keep a connection open; they are no events.
bool isComment(std::string_view event) { return event.starts_with(':'); }

} // namespace

EventStream::EventStream(std::optional<int64_t> lastEventId)
    : m_lastEventId(lastEventId)
{
}

EventStream::Batch EventStream::push(std::string_view bytes)
{
    m_pending.append(bytes);
    Batch batch;
    std::size_t consumed = 0;
    for (auto end = m_pending.find(blankLine, m_scannedBytes); end != std::string::npos; end = m_pending.find(blankLine, consumed)) {
        const auto next = end + blankLine.size();
        batch.error = acceptEvent(std::string_view(m_pending).substr(consumed, next - consumed));
        if (batch.error)
            break;
        consumed = next;
    }
    batch.events = m_pending.substr(0, consumed);
    m_pending.erase(0, consumed);
    if (!batch.error && m_pending.size() > maxEventBytes)
        batch.error = Error { ErrorCode::Protocol, "server-sent event is too large" };
    m_scannedBytes = m_pending.empty() ? 0 : m_pending.size() - 1; // A blank line may be split between two pushes.
    return batch;
}

std::optional<Error> EventStream::acceptEvent(std::string_view event)
{
    const auto parsed = parseEventId(event);
    if (!parsed)
        return parsed.error();
    const auto& id = *parsed;
    if (!id && m_lastEventId && !isComment(event))
        return Error { ErrorCode::Protocol, "an event without an id follows event id " + std::to_string(*m_lastEventId) };
    if (!id)
        return std::nullopt;
    if (m_lastEventId && *id != *m_lastEventId + 1)
        return Error { ErrorCode::Protocol, "event id " + std::to_string(*id) + " follows event id " + std::to_string(*m_lastEventId) };
    m_lastEventId = id;
    ++m_eventCount;
    return std::nullopt;
}

} // namespace bronzeswitch
