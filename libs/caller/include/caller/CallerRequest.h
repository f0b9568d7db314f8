#pragma once

#include <caller/ProblemResponse.h>
#include <config/Configuration.h>
#include <protocol/Messages.h>

#include <cstdint>
#include <string>
#include <vector>

namespace bronzeswitch {

/** A caller's request after it was parsed and validated. */
struct CallerRequest {
    std::string requestId;
    std::string organisation;
    std::string idempotencyKey; /**< Scoped as "organisation/route/key", so that equal keys of different organisations or routes stay
                                   distinct; empty if the caller gave neither a key nor, on a non-idempotent route, a request identifier. */
    Route route;
    int rank = 0; /**< Priority; 0 is the highest. */
    Duration deadline { 0 }; /**< Time that the request may take, from its arrival. */
    bool isStreamed = false; /**< For model routes: respond with server-sent events. */
    bool isChat = false; /**< For model routes: respond in the format of the chat completions interface. */
    std::string prompt;
    int maxTokens = 0; /**< Limit on the tokens to generate. */
    int promptTokens = 0; /**< Length of the prompt, estimated from its number of characters. */
    std::vector<PromptPrefix> prefixes; /**< Prefixes of the prompt, shortest first. */
    HttpRequest forwarded; /**< For service routes: the request to send to the upstream. */

    bool operator==(const CallerRequest&) const = default;
};

/**
 * Parses and validates a request for a model or a service route.
 * @return the parsed request, or the problem to respond with, which states that the request was not run.
 */
tl::expected<CallerRequest, Problem> parseCallerRequest(const HttpRequest&, const Configuration&);

/** @return true for the paths of the completions interface, which are served by model routes. */
bool isModelPath(const std::string& path);

/** @return the response to GET /v1/models, which lists the names of the model routes. */
HttpResponse listModels(const Configuration&);

} // namespace bronzeswitch
