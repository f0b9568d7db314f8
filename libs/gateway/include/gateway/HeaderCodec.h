#pragma once

#include <net/HttpTypes.h>
#include <protocol/Messages.h>
#include <sched/PoolScheduler.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bronzeswitch {

/** What the headers of a caller's request state about it. */
struct RequestMetadata {
    std::string requestId; /**< Unique for each attempt of the caller. */
    std::optional<Duration> timeout; /**< How long the caller waits for the response. */
    std::string apiKey; /**< Identifies the organisation; empty when the request carries none. */
    std::optional<int> promptTokens;
    int outputTokens = 0; /**< Upper bound for the tokens of the response. */
    std::optional<int> expectedTokens; /**< The caller's estimate of the response's tokens. */
    std::vector<PromptPrefix> prefixes; /**< Growing prefixes of the prompt, shortest first. */
    std::vector<std::string> sharedParts; /**< Identifiers of the prompt's parts, in order, without the last, which no other prompt has. */
    std::optional<int64_t> lastEventId; /**< Last event of the stream that the caller has received. */

    bool operator==(const RequestMetadata&) const = default;
};

/** What the gateway tells an upstream about a request that it dispatches. */
struct DispatchMetadata {
    std::string upstream; /**< Identifier of the addressed upstream; any other upstream refuses the request. */
    Duration timeout { 0 }; /**< Time until the request's deadline. */
    std::string organisation; /**< Empty where the route needs none. */
    std::optional<int64_t> lastEventId; /**< The stream resumes after this event. */

    bool operator==(const DispatchMetadata&) const = default;
};

/** What the headers of an upstream's response state. */
struct ResponseMetadata {
    std::string requestId; /**< Of the request that the response belongs to; empty when not stated. */
    bool isSigned = false; /**< Carries the upstream's signature; an unsigned response is not accepted. */
    bool isNotRun = false; /**< The upstream states that it did not run the request. */
    bool isMisdirected = false; /**< Another upstream listens at the address now. */
    std::optional<LoadReport> load;
    std::optional<Duration> retryAfter; /**< How long a refusing upstream wants no request from this node. */
    std::optional<double> requestLimit; /**< Requests a second that the upstream takes from all nodes together. */
    std::optional<Duration> coldRemaining; /**< For how long the upstream is cold after its start; 0 if it is not. */
    bool isLeaving = false; /**< The upstream will stop soon and wants no new requests. */

    bool operator==(const ResponseMetadata&) const = default;
};

/** Decodes and encodes the HTTP headers that carry the metadata of requests and responses; makes no decisions. */
struct HeaderCodec {
    std::function<Result<RequestMetadata>(const HttpFields&)> decodeRequest;
    std::function<HttpFields(const HttpFields& callerFields, const DispatchMetadata&)> encodeDispatch;
    std::function<ResponseMetadata(const ResponseHead&)> decodeResponse;
};

} // namespace bronzeswitch
