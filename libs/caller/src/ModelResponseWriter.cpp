#include <base/HttpStatus.h>
#include <caller/ModelResponseWriter.h>
#include <nlohmann/json.hpp>

namespace bronzeswitch {

using nlohmann::json;

namespace {

using namespace httpstatus;

// Invalid UTF-8 in the text of an upstream is replaced, since dump() would otherwise throw.
std::string serialize(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

} // namespace

ModelResponseWriter::ModelResponseWriter(const CallerRequest& request, HttpResponder& responder)
    : m_request(request)
    , m_responder(responder)
{
}

std::string ModelResponseWriter::chunk(std::string_view text, bool isLast) const
{
    json choice { { "index", 0 }, { "finish_reason", isLast ? json("stop") : json(nullptr) } };
    if (m_request.isChat)
        choice["delta"] = isLast ? json::object() : json { { "content", text } };
    else
        choice["text"] = text;
    const json value { { "id", m_request.requestId }, { "object", m_request.isChat ? "chat.completion.chunk" : "text_completion" },
        { "model", m_request.route.name }, { "choices", json::array({ choice }) } };
    return "data: " + serialize(value) + "\n\n";
}

bool ModelResponseWriter::write(std::string_view text)
{
    if (!m_request.isStreamed) {
        m_text += text;
        return !m_responder.isClientDisconnected();
    }
    if (!m_responder.isStarted())
        m_responder.startStream(ok, { { "Content-Type", "text/event-stream" }, { "X-Request-Id", m_request.requestId } });
    return m_responder.write(chunk(text, false));
}

void ModelResponseWriter::finish(int tokens, int cachedTokens)
{
    if (m_request.isStreamed) {
        if (!m_responder.isStarted())
            m_responder.startStream(ok, { { "Content-Type", "text/event-stream" }, { "X-Request-Id", m_request.requestId } });
        m_responder.write(chunk("", true) + "data: [DONE]\n\n");
        return m_responder.finishStream();
    }
    json choice { { "index", 0 }, { "finish_reason", "stop" } };
    if (m_request.isChat)
        choice["message"] = { { "role", "assistant" }, { "content", m_text } };
    else
        choice["text"] = m_text;
    const json usage { { "prompt_tokens", m_request.promptTokens }, { "completion_tokens", tokens }, { "cached_tokens", cachedTokens } };
    const json value { { "id", m_request.requestId }, { "object", m_request.isChat ? "chat.completion" : "text_completion" },
        { "model", m_request.route.name }, { "choices", json::array({ choice }) }, { "usage", usage } };
    m_responder.send({ ok, { { "Content-Type", "application/json" }, { "X-Request-Id", m_request.requestId } }, serialize(value) });
}

void ModelResponseWriter::fail(const Problem& problem)
{
    if (!m_responder.isStarted())
        return m_responder.send(toResponse(problem));
    m_responder.write(toStreamErrorEvent(problem));
    m_responder.finishStream();
}

} // namespace bronzeswitch
