#pragma once

#include <caller/CallerRequest.h>
#include <http/HttpServer.h>

#include <string>

namespace bronzeswitch {

/**
 * Writes the response of a model route, as a stream of server-sent events or as one JSON document.
 *
 * A failure after the first byte ends the stream with an error event instead of the end marker, so that a client never
 * takes a truncated response for a complete one.
 */
class ModelResponseWriter {
public:
    ModelResponseWriter(const CallerRequest&, HttpResponder&);

    /** Sends a piece of text, or buffers it if the response is not streamed. @return false if the caller has disconnected. */
    bool write(std::string_view text);

    /**
     * Completes a successful response.
     * @param tokens number of tokens generated.
     * @param cachedTokens number of prompt tokens that the upstream had in its prefix cache.
     */
    void finish(int tokens, int cachedTokens);

    /** Ends the response with a problem: as a problem document, or as an error event if the stream has started. */
    void fail(const Problem&);

private:
    std::string chunk(std::string_view text, bool isLast) const;

    const CallerRequest& m_request;
    HttpResponder& m_responder;
    std::string m_text; /**< Text received so far of a response that is not streamed. */
};

} // namespace bronzeswitch
