#include "LoadGenerator.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>
#include <thread>

namespace bronzeswitch::measure {

namespace {

// Weighted by repetition.
constexpr std::array organisations { "north", "north", "north", "south", "south", "east", "west", "hill" };

std::string makePrompt(const RequestKind& kind, const std::string& organisation, const std::string& requestId)
{
    std::string prompt;
    const auto sharedLine = organisation + "/" + kind.route + " log line; ";
    while (static_cast<int>(prompt.size()) < kind.sharedPrefixCharacters)
        prompt += sharedLine;
    prompt.resize(static_cast<size_t>(kind.sharedPrefixCharacters));
    while (static_cast<int>(prompt.size()) < kind.promptCharacters)
        prompt += requestId + " entry; ";
    return prompt;
}

} // namespace

double ArrivalPlan::rateAt(double seconds) const
{
    const bool isBurst = seconds >= burstStartSeconds && seconds < burstStartSeconds + burstSeconds;
    return requestsPerSecond * (isBurst ? burstFactor : 1);
}

const RequestKind& LoadGenerator::pickRequestKind()
{
    double remainingShare = std::uniform_real_distribution<double>(0, 1)(m_random);
    for (const auto& kind : m_kinds) {
        remainingShare -= kind.share;
        if (remainingShare < 0)
            return kind;
    }
    return m_kinds.back();
}

CallerResponse LoadGenerator::sendTo(
    const RequestKind& kind, const std::string& requestId, const std::string& organisation, const std::string& authority) const
{
    if (!kind.outputTokens)
        return sendServiceRequest(authority, "/" + kind.route, kind.hasIdempotencyKey ? requestId : "", kind.deadlineMs, organisation);
    CompletionRequest call;
    call.route = kind.route;
    call.organisation = organisation;
    call.requestId = requestId;
    call.maxTokens = kind.outputTokens;
    call.deadlineMs = kind.deadlineMs;
    call.prompt = makePrompt(kind, organisation, requestId);
    return sendCompletion(authority, call);
}

// Like the platform's load balancer, tries the next node if one refuses the connection.
RequestOutcome LoadGenerator::sendWithFailover(const RequestKind& kind, const std::string& requestId, const std::string& organisation,
    const std::vector<std::string>& authorities, double arrivalSeconds) const
{
    RequestOutcome outcome { kind, requestId, arrivalSeconds, {} };
    for (const auto& authority : authorities) {
        outcome.response = sendTo(kind, requestId, organisation, authority);
        if (outcome.response.status || !outcome.response.isConnectionRefused)
            break;
    }
    return outcome;
}

std::vector<RequestOutcome> LoadGenerator::run(
    const ArrivalPlan& plan, const std::function<bool()>& isStopped, const std::function<void(const RequestKind&)>& onSent)
{
    std::vector<std::string> authorities;
    for (const auto* node : m_site.nodes())
        authorities.push_back(node->callerAuthority());
    std::mutex mutex;
    std::vector<RequestOutcome> outcomes;
    std::vector<std::thread> threads;
    const auto start = std::chrono::steady_clock::now();
    double arrivalSeconds = 0;
    while (arrivalSeconds < plan.durationSeconds && !(isStopped && isStopped())) {
        const auto& kind = pickRequestKind();
        const auto requestId = "q" + std::to_string(++m_lastRequestNumber);
        const std::string organisation = organisations[m_random() % organisations.size()];
        std::shuffle(authorities.begin(), authorities.end(), m_random);
        std::this_thread::sleep_until(
            start + std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(arrivalSeconds)));
        if (onSent)
            onSent(kind);
        threads.emplace_back([&, organisation, authorities, requestId, arrivalSeconds, &requestKind = kind] {
            auto outcome = sendWithFailover(requestKind, requestId, organisation, authorities, arrivalSeconds);
            std::lock_guard lock(mutex);
            outcomes.push_back(std::move(outcome));
        });
        arrivalSeconds += std::exponential_distribution<double>(plan.rateAt(arrivalSeconds))(m_random);
    }
    for (auto& thread : threads)
        thread.join();
    return outcomes;
}

double quantile(std::vector<double> values, double probability)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(probability * static_cast<double>(values.size() - 1))];
}

std::string format(double value, int decimals)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.*f", decimals, value);
    return text.data();
}

void printRow(const std::vector<std::string>& cells)
{
    std::cout << "|";
    for (const auto& cell : cells)
        std::cout << " " << cell << " |";
    std::cout << std::endl;
}

void printHeader(const std::vector<std::string>& titles)
{
    printRow(titles);
    printRow(std::vector<std::string>(titles.size(), "---"));
}

} // namespace bronzeswitch::measure
