#pragma once

#include <base/TimerService.h>

#include <optional>
#include <string>

namespace bronzeswitch {

/** Whether a refused request was run. */
enum class Execution { NotRun, Unknown };

/** A refusal as an RFC 9457 problem document. */
struct Problem {
    int status = 500;
    std::string reason; /**< Stable code for programs, such as "queue-full". */
    Execution execution = Execution::NotRun;
    std::string detail; /**< One sentence for people. */
    std::optional<Duration> retryAfter;

    bool operator==(const Problem&) const = default;
};

/** @return the refusal of a request that has not run. */
Problem notRunProblem(int status, std::string reason, std::string detail, std::optional<Duration> retryAfter = std::nullopt);

/** @return the stable name of an execution state: "not-run" or "unknown". */
const char* toString(Execution);

/** @return the problem as a JSON text. */
std::string toJsonText(const Problem&);

} // namespace bronzeswitch
