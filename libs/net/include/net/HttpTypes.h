#pragma once

#include <base/Error.h>
#include <base/TimerService.h>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace bronzeswitch {

using HttpFields = boost::beast::http::fields;

/** A received request with its whole body. */
using FullHttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** Status line and header fields of a response. */
struct ResponseHead {
    int status = 0;
    std::string reason; /**< Reason phrase; the standard one if empty. */
    HttpFields fields;
};

/** A response with its whole body. */
struct FullHttpResponse {
    ResponseHead head;
    std::string body;
};

/** How the end of a message body is determined. */
enum class BodyFraming { ContentLength, Chunked };

/** @return the value of a header field, or an empty string if it is absent. */
std::string fieldValue(const HttpFields&, std::string_view name);

/** Copies the header fields that may be forwarded: not those for one connection (hop by hop), nor those that frame the body. */
HttpFields endToEndFields(const HttpFields&);

/** Formats the request line and the header fields. @param bodyBytes size of the body. */
std::string formatRequestHead(std::string_view method, std::string_view target, const HttpFields&, std::size_t bodyBytes);

/** How a response's head describes its body and its connection. */
struct ResponseFraming {
    BodyFraming bodyFraming = BodyFraming::ContentLength;
    std::size_t length = 0; /**< Size of the body in bytes, for ContentLength. */
    bool isClosing = false; /**< The connection closes after the response. */
    Duration idleTimeout { 0 }; /**< Announced in the Keep-Alive field unless 0. */
};

/** Formats the status line and the header fields. */
std::string formatResponseHead(const ResponseHead&, const ResponseFraming&);

/** Formats data as one chunk of a chunked body. */
std::string formatChunk(std::string_view data);

/** The empty chunk that ends a chunked body. */
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace bronzeswitch
