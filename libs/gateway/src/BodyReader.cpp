#include "BodyReader.h"

namespace bronzeswitch {

BodyReader::BodyReader(GatewayContext& context, std::string requestId)
    : m_context(context)
    , m_requestId(std::move(requestId))
{
}

Task<Result<BufferedBody>> BodyReader::read(
    const std::string& upstream, UpstreamConnection& connection, std::size_t limit, TimePoint deadline) const
{
    const auto statedLength = connection.statedLength();
    if (statedLength && *statedLength > limit)
        co_return fail(ErrorCode::Protocol, "the response body is too large: " + std::to_string(*statedLength) + " bytes");
    BufferedBody body { {}, BodyReservation(m_context.bodyMemory, upstream, [&connection] { connection.abort(); }) };
    Result<bool> more = true;
    while (more && *more && body.text.size() <= limit && !body.reservation.isGivenUp()) {
        more = co_await connection.readSome(body.text, deadline);
        if (more && !*more)
            body.reservation.setComplete([] {}, monotonicNow());
        body.reservation.setSize(body.text.capacity(), monotonicNow());
    }
    if (body.reservation.isGivenUp())
        co_return tl::unexpected(recordGivenUp(upstream, statedLength, body.text.size()));
    if (!more)
        co_return tl::unexpected(more.error());
    if (*more)
        co_return fail(ErrorCode::Protocol, "the response body is too large");
    co_return body;
}

Error BodyReader::recordGivenUp(const std::string& upstream, std::optional<uint64_t> statedLength, std::size_t bytes) const
{
    m_context.metrics.countIncident("body-given-up");
    m_context.log.write(events::bodyGivenUp,
        { { "request", m_requestId }, { "upstream", upstream }, { "bytes", bytes }, { "hasLength", statedLength.has_value() },
            { "bytesOfAll", m_context.bodyMemory->size() } });
    // Without a stated length, the response may have no end.
    return { statedLength ? ErrorCode::Exhausted : ErrorCode::Protocol,
        "given up: the upstream's responses take most of the memory for responses" };
}

} // namespace bronzeswitch
