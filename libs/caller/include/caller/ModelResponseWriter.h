#pragma once

#include <caller/CallerRequest.h>
#include <http/HttpServer.h>

#include <string>

namespace bronzeswitch {

/**
 * Writes the answer of a model route, as a stream of events or as one JSON document.
 *
 * A failure after the first byte ends the stream with a marked error event, so that a short answer is never taken for a
 * whole one.
 */
class ModelResponseWriter {
public:
    ModelResponseWriter(const CallerRequest&, HttpResponder&);

    /** Passes on a piece of text. @return false when the caller has left. */
    bool write(std::string_view text);

    /** Ends a whole answer. */
    void finish(int tokens, int cachedTokens);

    /** Ends with a problem, as a response or as the marked error of a stream that has begun. */
    void fail(const Problem&);

private:
    std::string chunk(std::string_view text, bool isLast) const;

    const CallerRequest& m_request;
    HttpResponder& m_responder;
    std::string m_text;
};

} // namespace bronzeswitch
