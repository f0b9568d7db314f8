#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <net/HttpTypes.h>

namespace bronzeswitch {

namespace {

namespace beast = boost::beast;

constexpr std::array<std::string_view, 10> hopByHopFields { "Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
    "Transfer-Encoding", "Upgrade", "Content-Length", "Expect", "Proxy-Authorization" };

void appendFields(std::string& text, const HttpFields& fields)
{
    for (const auto& field : fields) {
        const auto name = field.name_string();
        const auto value = field.value();
        text.append(name.data(), name.size());
        text += ": ";
        text.append(value.data(), value.size());
        text += "\r\n";
    }
}

} // namespace

std::string fieldValue(const HttpFields& fields, std::string_view name)
{
    const auto found = fields.find({ name.data(), name.size() });
    return found == fields.end() ? std::string() : std::string(found->value());
}

bool isHopByHopField(std::string_view name, const HttpFields& fields)
{
    const beast::string_view searched(name.data(), name.size());
    for (const auto& listed : hopByHopFields) {
        if (beast::iequals(searched, { listed.data(), listed.size() }))
            return true;
    }
    const auto connection = fields.find(beast::http::field::connection);
    return connection != fields.end() && beast::http::token_list(connection->value()).exists(searched);
}

HttpFields endToEndFields(const HttpFields& fields)
{
    HttpFields result;
    for (const auto& field : fields) {
        const auto name = field.name_string();
        if (!isHopByHopField({ name.data(), name.size() }, fields))
            result.insert(field.name(), name, field.value());
    }
    return result;
}

std::string formatRequestHead(std::string_view method, std::string_view target, const HttpFields& fields, std::size_t bodyBytes)
{
    std::string text;
    constexpr std::size_t typicalHeadBytes = 512;
    text.reserve(typicalHeadBytes);
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    appendFields(text, fields);
    const bool hasBody = bodyBytes > 0 || (method != "GET" && method != "HEAD" && method != "DELETE");
    if (hasBody)
        text.append("Content-Length: ").append(std::to_string(bodyBytes)).append("\r\n");
    text += "\r\n";
    return text;
}

std::string formatResponseHead(const ResponseHead& head, const ResponseFraming& framing)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    if (head.reason.empty()) {
        const auto reason = beast::http::obsolete_reason(beast::http::int_to_status(static_cast<unsigned>(head.status)));
        text.append(reason.data(), reason.size());
    } else
        text += head.reason;
    text += "\r\n";
    appendFields(text, head.fields);
    if (framing.bodyFraming == BodyFraming::Chunked)
        text += "Transfer-Encoding: chunked\r\n";
    else
        text += "Content-Length: " + std::to_string(framing.length) + "\r\n";
    if (framing.isClosing)
        text += "Connection: close\r\n";
    else if (framing.idleTimeout.count() > 0)
        text += "Keep-Alive: timeout=" + std::to_string(std::chrono::floor<std::chrono::seconds>(framing.idleTimeout).count()) + "\r\n";
    text += "\r\n";
    return text;
}

std::string formatChunk(std::string_view data)
{
    std::array<char, 24> size {};
    const auto length = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    std::string chunk(size.data(), static_cast<std::size_t>(length));
    chunk.append(data).append("\r\n");
    return chunk;
}

} // namespace bronzeswitch
