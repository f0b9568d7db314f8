#include <caller/ProblemResponse.h>

namespace bronzeswitch {

HttpResponse toResponse(const Problem& problem)
{
    HttpResponse response { problem.status, { { "Content-Type", "application/problem+json" } }, toJsonText(problem) };
    if (problem.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*problem.retryAfter).count();
        response.headers.push_back({ "Retry-After", std::to_string(seconds) });
    }
    return response;
}

std::string toStreamErrorEvent(const Problem& problem) { return "event: error\ndata: " + toJsonText(problem) + "\n\n"; }

} // namespace bronzeswitch
