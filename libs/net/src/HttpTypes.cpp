#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <net/HttpTypes.h>
#include <set>

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
        // Without the space, thousands of empty fields don't make a head a quarter larger than the upstream accepts.
        text += value.empty() ? ":" : ": ";
        text.append(value.data(), value.size());
        text += "\r\n";
    }
}

// Returns true for header fields that are for one connection (hop by hop), and those that frame the body.
bool isConnectionField(beast::string_view name)
{
    return std::any_of(hopByHopFields.begin(), hopByHopFields.end(), [&](std::string_view listed) {
        return beast::iequals(name, { listed.data(), listed.size() });
    });
}

} // namespace

std::string fieldValue(const HttpFields& fields, std::string_view name)
{
    const auto found = fields.find({ name.data(), name.size() });
    return found == fields.end() ? std::string() : std::string(found->value());
}

// Collects the names that the Connection field lists once: a list of 8 KB beside 2,000 lines would be read 2,000 times.
HttpFields endToEndFields(const HttpFields& fields)
{
    std::set<beast::string_view, beast::iless> listed;
    for (auto range = fields.equal_range(beast::http::field::connection); range.first != range.second; ++range.first) {
        for (const auto& name : beast::http::token_list(range.first->value()))
            listed.insert(name);
    }
    HttpFields result;
    for (const auto& field : fields) {
        const auto name = field.name_string();
        if (!isConnectionField(name) && !listed.contains(name))
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
