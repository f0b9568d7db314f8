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

    /** Sends or buffers a piece of text. @return false if the caller has disconnected. */
    bool write(std::string_view text);

    /** Completes a successful response, with the numbers of generated and of cached prompt tokens. */
    void finish(int tokens, int cachedTokens);

    /** Ends with a problem document, or with an error event if the stream has started. */
    void fail(const Problem&);

private:
    std::string chunk(std::string_view text, bool isLast) const;

    const CallerRequest& m_request;
    HttpResponder& m_responder;
    std::string m_text;
};

} // namespace bronzeswitch
