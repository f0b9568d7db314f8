#pragma once

#include <net/HttpTypes.h>
#include <protocol/Messages.h>
#include <sched/PoolScheduler.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bronzeswitch {

/** What a caller says about its request, beside method, path and body. */
struct CallerHead {
    std::string requestId; /**< Unique for each attempt of the caller. */
    std::optional<Duration> patience; /**< How long the caller waits. */
    std::string key; /**< Names the organisation; empty when none was sent. */
    std::optional<int> promptTokens;
    int outputTokens = 0; /**< Upper bound of the answer. */
    std::optional<int> expectedTokens; /**< The caller's estimate of the answer. */
    std::vector<PromptPrefix> prefixes;
    std::optional<int64_t> lastEventId; /**< The caller has seen the stream up to here. */

    bool operator==(const CallerHead&) const = default;
};

/** What an upstream is told about a request. */
struct DispatchHead {
    std::string upstream; /**< The one that is meant; any other refuses. */
    Duration patience { 0 }; /**< Time that is left. */
    std::string organisation; /**< Empty where the route needs none. */
    std::optional<int64_t> lastEventId;

    bool operator==(const DispatchHead&) const = default;
};

/** What an upstream says in the head of an answer. */
struct UpstreamHead {
    std::string requestId; /**< Of the request that is answered; empty when not told. */
    bool isSigned = false; /**< Bears the mark without which an answer doesn't count. */
    bool isNotRun = false; /**< States that the request was not run. */
    bool isOtherUpstream = false; /**< Another upstream has the address now. */
    std::optional<LoadReport> load;

    bool operator==(const UpstreamHead&) const = default;
};

/** How the heads of messages are written on the wire; decodes and encodes, decides nothing. */
struct WireDialect {
    std::function<Result<CallerHead>(const HttpFields&)> readCaller;
    std::function<HttpFields(const HttpFields& callerFields, const DispatchHead&)> makeDispatch;
    std::function<UpstreamHead(const AnswerHead&)> readUpstream;
};

} // namespace bronzeswitch
