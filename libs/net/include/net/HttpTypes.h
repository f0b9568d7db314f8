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

/** A request of a caller, read whole. */
using FullHttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** The head of an answer; the body follows. */
struct ResponseHead {
    int status = 0;
    std::string reason;
    HttpFields fields;
};

/** An answer with its whole body. */
struct FullHttpResponse {
    ResponseHead head;
    std::string body;
};

/** How the end of a body is marked. */
enum class BodyFraming { ContentLength, Chunked };

/** @return the value of a field, or an empty text. */
std::string fieldValue(const HttpFields&, std::string_view name);

/** @return true for the fields that concern one connection only, and those that frame the body. */
bool isHopByHopField(std::string_view name, const HttpFields&);

/** Copies the fields that concern the message, not its connection. */
HttpFields endToEndFields(const HttpFields&);

/** @return the text of a request's head. @param length size of the body, in bytes. */
std::string formatRequestHead(std::string_view method, std::string_view target, const HttpFields&, std::size_t length);

/** How an answer's head is written. */
struct ResponseFraming {
    BodyFraming bodyFraming = BodyFraming::ContentLength;
    std::size_t length = 0; /**< Bytes of the body, for Length. */
    bool isClosing = false; /**< The connection closes after the answer. */
    Duration idleTimeout { 0 }; /**< Told to the caller unless 0. */
};

/** @return the text of an answer's head. */
std::string formatResponseHead(const ResponseHead&, const ResponseFraming&);

/** @return data as one chunk of a chunked body. */
std::string formatChunk(std::string_view data);

/** Ends a chunked body. */
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace bronzeswitch
