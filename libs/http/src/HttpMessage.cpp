#include <http/HttpMessage.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace bronzeswitch {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

} // namespace

std::string findHeader(const HttpHeaders& headers, std::string_view name)
{
    const auto found
        = std::find_if(headers.begin(), headers.end(), [&](const HttpHeader& header) { return equalsIgnoringCase(header.name, name); });
    return found == headers.end() ? std::string() : found->value;
}

void setHeader(HttpHeaders& headers, const HttpHeader& header)
{
    std::erase_if(headers, [&](const HttpHeader& item) { return equalsIgnoringCase(item.name, header.name); });
    headers.push_back(header);
}

HttpHeaders endToEndHeaders(const HttpHeaders& headers)
{
    static constexpr std::array excludedNames { "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
        "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect" };
    HttpHeaders result;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(result), [](const HttpHeader& header) {
        return std::none_of(
            excludedNames.begin(), excludedNames.end(), [&](const char* name) { return equalsIgnoringCase(header.name, name); });
    });
    return result;
}

std::string findQueryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return std::string(pair.substr(equals + 1));
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return {};
}

} // namespace bronzeswitch
