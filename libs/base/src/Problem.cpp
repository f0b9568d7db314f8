#include <base/Problem.h>
#include <nlohmann/json.hpp>

namespace bronzeswitch {

Problem notRunProblem(int status, std::string reason, std::string detail, std::optional<Duration> retryAfter)
{
    return { status, std::move(reason), Execution::NotRun, std::move(detail), retryAfter };
}

const char* toString(Execution execution) { return execution == Execution::NotRun ? "not-run" : "unknown"; }

std::string toJsonText(const Problem& problem)
{
    const nlohmann::json value { { "type", "urn:bronzeswitch:problem:" + problem.reason }, { "title", problem.reason },
        { "status", problem.status }, { "detail", problem.detail }, { "execution", toString(problem.execution) } };
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace bronzeswitch
