#pragma once

/** HTTP status codes that the project uses. */
namespace bronzeswitch::httpstatus {

inline constexpr int switchingProtocols = 101;
inline constexpr int ok = 200;
inline constexpr int badRequest = 400;
inline constexpr int unauthorized = 401;
inline constexpr int forbidden = 403;
inline constexpr int notFound = 404;
inline constexpr int methodNotAllowed = 405;
inline constexpr int requestTimeout = 408;
inline constexpr int conflict = 409;
inline constexpr int gone = 410;
inline constexpr int preconditionFailed = 412;
inline constexpr int payloadTooLarge = 413;
inline constexpr int misdirectedRequest = 421;
inline constexpr int tooManyRequests = 429;
inline constexpr int requestHeaderFieldsTooLarge = 431;
inline constexpr int internalServerError = 500;
inline constexpr int badGateway = 502;
inline constexpr int serviceUnavailable = 503;
inline constexpr int gatewayTimeout = 504;

constexpr bool isSuccess(int status) { return status >= 200 && status < 300; }

/** @return true for a status that ends the exchange of a request: not an interim one, and within the range of HTTP. */
constexpr bool isFinal(int status) { return status >= 200 && status < 600; }

constexpr bool isServerFailure(int status) { return status >= 500; }

/** @return true for a status from which a caller may conclude that its request has not run. */
constexpr bool impliesNotRun(int status)
{
    return status == requestTimeout || status == misdirectedRequest || status == tooManyRequests || status == serviceUnavailable;
}

} // namespace bronzeswitch::httpstatus
