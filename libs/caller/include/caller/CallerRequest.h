#pragma once

#include <caller/ProblemResponse.h>
#include <config/Configuration.h>
#include <protocol/Messages.h>

#include <cstdint>
#include <string>
#include <vector>

namespace bronzeswitch {

/** A caller's request after all checks. */
struct CallerRequest {
    std::string requestId;
    std::string organisation;
    std::string idempotencyKey; /**< With organisation and route, so that keys of two never meet; empty when the caller named none. */
    Route route;
    int rank = 0;
    Duration deadline { 0 };
    bool isStreamed = false; /**< For model routes: answer as server-sent events. */
    bool isChat = false; /**< For model routes: chat form of the answer. */
    std::string prompt;
    int maxTokens = 0;
    int promptTokens = 0;
    std::vector<PromptPrefix> prefixes;
    HttpRequest forwarded; /**< For service routes: what the upstream gets. */

    bool operator==(const CallerRequest&) const = default;
};

/**
 * Reads and checks a request for a model or a service route.
 * @return the request, or the problem to answer with; nothing has been run then.
 */
tl::expected<CallerRequest, Problem> parseCallerRequest(const HttpRequest&, const Configuration&);

/** @return true for the paths of the completions interface. */
bool isModelPath(const std::string& path);

/** @return the answer of GET /v1/models: the model routes by name. */
HttpResponse listModels(const Configuration&);

} // namespace bronzeswitch
