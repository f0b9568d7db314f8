#include "LoadGenerator.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>
#include <thread>

namespace bronzeswitch::measure {

namespace {

constexpr std::array organisations { "north", "north", "north", "south", "south", "east", "west", "hill" };

std::string promptOf(const RequestKind& kind, const std::string& organisation, const std::string& requestId)
{
    std::string prompt;
    const auto shared = organisation + "/" + kind.route + " log line; ";
    while (static_cast<int>(prompt.size()) < kind.sharedPrefixCharacters)
        prompt += shared;
    prompt.resize(static_cast<size_t>(kind.sharedPrefixCharacters));
    while (static_cast<int>(prompt.size()) < kind.promptCharacters)
        prompt += requestId + " entry; ";
    return prompt;
}

} // namespace

double ArrivalPlan::at(double time) const
{
    const bool isBurst = time >= burstStart && time < burstStart + burstSeconds;
    return perSecond * (isBurst ? burstFactor : 1);
}

const RequestKind& LoadGenerator::pickKind()
{
    double draw = std::uniform_real_distribution<double>(0, 1)(m_random);
    for (const auto& kind : m_kinds) {
        draw -= kind.share;
        if (draw < 0)
            return kind;
    }
    return m_kinds.back();
}

CallerResponse LoadGenerator::sendTo(
    const RequestKind& kind, const std::string& requestId, const std::string& organisation, const std::string& authority) const
{
    if (!kind.tokens)
        return sendServiceRequest(authority, "/" + kind.route, kind.isKeyed ? requestId : "", kind.deadlineMs, organisation);
    CompletionRequest call;
    call.route = kind.route;
    call.organisation = organisation;
    call.requestId = requestId;
    call.maxTokens = kind.tokens;
    call.deadlineMs = kind.deadlineMs;
    call.prompt = promptOf(kind, organisation, requestId);
    return sendCompletion(authority, call);
}

// Does what the platform's balancer does: a node that refuses the connection is passed over.
RequestOutcome LoadGenerator::send(const RequestKind& kind, const std::string& requestId, const std::string& organisation,
    const std::vector<std::string>& authorities, double arrived) const
{
    RequestOutcome outcome { kind, requestId, arrived, {} };
    for (const auto& authority : authorities) {
        outcome.answer = sendTo(kind, requestId, organisation, authority);
        if (outcome.answer.status || !outcome.answer.isConnectionRefused)
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
    std::vector<std::thread> callers;
    const auto start = std::chrono::steady_clock::now();
    double time = 0;
    while (time < plan.seconds && !(isStopped && isStopped())) {
        const auto& kind = pickKind();
        const auto requestId = "q" + std::to_string(++m_lastId);
        const std::string organisation = organisations[m_random() % organisations.size()];
        std::shuffle(authorities.begin(), authorities.end(), m_random);
        std::this_thread::sleep_until(start + std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(time)));
        if (onSent)
            onSent(kind);
        callers.emplace_back([&, organisation, authorities, requestId, time, &work = kind] {
            auto outcome = send(work, requestId, organisation, authorities, time);
            std::lock_guard lock(mutex);
            outcomes.push_back(std::move(outcome));
        });
        time += std::exponential_distribution<double>(plan.at(time))(m_random);
    }
    for (auto& caller : callers)
        caller.join();
    return outcomes;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
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
