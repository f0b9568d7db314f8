#include "SlotRefusalProblem.h"

#include <algorithm>
#include <base/HttpStatus.h>

namespace bronzeswitch {

namespace {

constexpr Duration minRetryAfter { 100 };
constexpr uint64_t retrySpreadMs = 400;

} // namespace

Problem slotRefusalProblem(const std::optional<SlotRefusal>& refusal, std::optional<Duration> pause, uint64_t retryKey)
{
    constexpr const char* detail = "no upstream could take the request";
    if (!refusal)
        return notRunProblem(httpstatus::serviceUnavailable, "upstreams-unavailable", detail,
            minRetryAfter + Duration(static_cast<int64_t>(retryKey % retrySpreadMs)));
    Duration wait(refusal->retryAfterMs);
    if (refusal->reason == RefusalReason::NoUpstream)
        wait = std::max(wait, pause.value_or(wait));
    return notRunProblem(httpstatus::serviceUnavailable, toString(refusal->reason), detail, std::max(wait, minRetryAfter));
}

void describe(nlohmann::json& fields, const Problem& problem)
{
    fields["reason"] = problem.reason;
    fields["status"] = problem.status;
    if (problem.retryAfter)
        fields["retryAfterMs"] = problem.retryAfter->count();
}

} // namespace bronzeswitch
