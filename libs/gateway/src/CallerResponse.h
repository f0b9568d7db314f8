#pragma once

#include <base/Problem.h>
#include <gateway/GatewayContext.h>
#include <net/CallerConnection.h>

#include <string_view>

namespace bronzeswitch {

/** @return a duration in seconds with a fraction, for the Retry-After field. */
std::string formatSeconds(Duration);

/**
 * The response to one request, as its caller gets it: one complete response, or a stream of events. To a request with the method HEAD it
 * has no body.
 *
 *     CallerResponse response(context, connection, request.keep_alive());
 *     co_await response.sendEvents(head, events, false, deadline);
 *     co_await response.sendEvents(head, "", true, deadline);
 */
class CallerResponse {
public:
    /** @param wantsKeepAlive the request allows further ones on its connection. */
    CallerResponse(const GatewayContext&, CallerConnection&, bool wantsKeepAlive);

    /** Sets the idle timeout that the response announces for the connection. */
    void setIdleTimeout(Duration timeout) { m_idleTimeout = timeout; }

    /** @return true once a head has been sent, so that no other response can follow. */
    bool hasBegun() const { return m_hasBegun; }

    /** @return true if the connection stays open after the response. */
    bool isKeepAlive() const { return m_wantsKeepAlive && !m_context.isDraining; }

    /** Sends a complete response. @return false when the caller has disconnected or does not read in time. */
    Task<bool> send(const ResponseHead&, std::string_view body, TimePoint deadline);

    /** Sends a problem document. @return true if the connection can carry another request. */
    Task<bool> sendProblem(const Problem&, TimePoint deadline);

    /**
     * Sends events of a stream, before the first ones its head.
     * @param events complete events, may be empty.
     * @param isLast the stream ends after them.
     * @return false when the caller has disconnected or does not read in time.
     */
    Task<bool> sendEvents(const ResponseHead&, std::string_view events, bool isLast, TimePoint deadline);

    /** Closes the connection so that the caller can't take what it has received for complete. */
    void reset() { m_connection.reset(); }

private:
    /** @return the head of the response, whose body is framed as given. */
    std::string begin(const ResponseHead&, BodyFraming, std::size_t length);

    const GatewayContext& m_context;
    CallerConnection& m_connection;
    bool m_wantsKeepAlive;
    bool m_hasBegun = false;
    Duration m_idleTimeout = CallerLimits {}.idleTimeout;
};

} // namespace bronzeswitch
