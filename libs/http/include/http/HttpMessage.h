#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bronzeswitch {

/** One header field; the functions below compare names without regard to case. */
struct HttpHeader {
    std::string name;
    std::string value;

    bool operator==(const HttpHeader&) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/** @return the value of the first field with that name, or an empty string. */
std::string findHeader(const HttpHeaders&, std::string_view name);

/** Replaces all fields of the same name by this one. */
void setHeader(HttpHeaders&, const HttpHeader&);

/**
 * @return the fields that a proxy passes on: without hop-by-hop fields, and without Content-Length, Host and Expect, which each
 *     connection sets for itself.
 */
HttpHeaders endToEndHeaders(const HttpHeaders&);

/** A request with its complete body. */
struct HttpRequest {
    std::string method;
    std::string path; /**< httpCall() expects the query string in it, HttpServer leaves the query string out. */
    HttpHeaders headers;
    std::string body;
    std::string query; /**< Without the question mark; set by HttpServer only. */

    bool operator==(const HttpRequest&) const = default;
};

/** A response with its complete body. */
struct HttpResponse {
    int status = 0;
    HttpHeaders headers;
    std::string body;

    bool isSuccess() const { return status >= 200 && status < 300; }
    bool operator==(const HttpResponse&) const = default;
};

/** @return the value of a parameter in a query string such as "from=3&max=10", not percent-decoded, or an empty string. */
std::string findQueryParameter(std::string_view query, std::string_view name);

} // namespace bronzeswitch
