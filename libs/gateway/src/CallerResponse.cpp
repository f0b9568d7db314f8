#include "CallerResponse.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace bronzeswitch {

namespace {

constexpr Duration minWriteTime { 1000 }; // A response that is ready is delivered, also a late one.

} // namespace

std::string formatSeconds(Duration duration)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", toSeconds(duration));
    return text.data();
}

CallerResponse::CallerResponse(const GatewayContext& context, CallerConnection& connection, bool wantsKeepAlive)
    : m_context(context)
    , m_connection(connection)
    , m_wantsKeepAlive(wantsKeepAlive)
{
}

std::string CallerResponse::begin(const ResponseHead& head, BodyFraming bodyFraming, std::size_t length)
{
    m_hasBegun = true;
    ResponseFraming framing;
    framing.bodyFraming = bodyFraming;
    framing.length = length;
    framing.isClosing = !isKeepAlive();
    framing.idleTimeout = m_idleTimeout;
    return formatResponseHead({ head.status, head.reason, endToEndFields(head.fields) }, framing);
}

Task<bool> CallerResponse::send(const ResponseHead& head, std::string_view body, TimePoint deadline)
{
    const auto text = begin(head, BodyFraming::ContentLength, body.size());
    const auto sentBody = m_connection.isHeadMethod() ? std::string_view() : body;
    co_return co_await m_connection.write(text, sentBody, std::max(deadline, monotonicNow() + minWriteTime));
}

Task<bool> CallerResponse::sendProblem(const Problem& problem, TimePoint deadline)
{
    ResponseHead head { problem.status, "", {} };
    head.fields.set("Content-Type", "application/problem+json");
    if (problem.retryAfter)
        head.fields.set("Retry-After", formatSeconds(*problem.retryAfter));
    const auto body = toJsonText(problem);
    co_return co_await send(head, body, deadline) && isKeepAlive();
}

Task<bool> CallerResponse::sendEvents(const ResponseHead& head, std::string_view events, bool isLast, TimePoint deadline)
{
    if (events.empty() && !isLast)
        co_return true;
    std::string text;
    if (!m_hasBegun)
        text = begin(head, BodyFraming::Chunked, 0);
    const bool hasBody = !m_connection.isHeadMethod();
    if (hasBody && !events.empty())
        text += formatChunk(events);
    if (hasBody && isLast)
        text += lastChunk;
    if (text.empty())
        co_return true;
    co_return co_await m_connection.write(text, deadline);
}

} // namespace bronzeswitch
