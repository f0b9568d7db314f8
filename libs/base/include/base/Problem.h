#pragma once

#include <base/TimerService.h>

#include <optional>
#include <string>

namespace bronzeswitch {

/** Whether a failed request may have had an effect: it certainly did not run, or that is not known. */
enum class Execution { NotRun, Unknown };

/** An error response to a caller as an RFC 9457 problem document. */
struct Problem {
    int status = 500; /**< HTTP status code. */
    std::string reason; /**< Stable identifier for programs, such as "queue-full". */
    Execution execution = Execution::NotRun;
    std::string detail; /**< Explanation for people, one sentence. */
    std::optional<Duration> retryAfter; /**< How long the caller should wait before a retry. */

    bool operator==(const Problem&) const = default;
};

/** @return the problem document for a request that was rejected before it ran. */
Problem notRunProblem(int status, std::string reason, std::string detail, std::optional<Duration> retryAfter = std::nullopt);

/** @return the stable name of a value: "not-run" or "unknown". */
const char* toString(Execution);

/** @return the problem document as JSON text, without retryAfter, which is sent as a header. */
std::string toJsonText(const Problem&);

} // namespace bronzeswitch
