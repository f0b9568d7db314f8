#include "Scheduling.h"

#include "LoadGenerator.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <thread>

namespace bronzeswitch::measure {

namespace {

constexpr int tiers = 5;
constexpr int engineSlots = 4;

// The site of one user and its mix of requests, in the proportions that the requirements give.
struct User {
    std::string name;
    int nodes;
    int engines;
    int services;
    std::vector<RequestKind> kinds;
};

struct Scenario {
    std::string name;
    double loadFactor; // Offered load as a multiple of the engines' capacity.
    double burstFactor = 1;
    bool hasSlowEngine = false;
    int reportLagMs = 0;
    int signalNumber = 0; // Signal that is sent to one node in the middle of the run; 0 for none.
};

const std::vector<User> users {
    { "engrasadora", 9, 12, 3,
        { { "lookup", 0, 0.22, 0, 0, 0, 3000, false }, { "sign-off", 0, 0.13, 0, 0, 0, 5000, true },
            { "entry-check", 1, 0.34, 4, 2400, 2048, 2500, false }, { "shift-note", 2, 0.20, 40, 4600, 4096, 8000, false },
            { "season-review", 3, 0.05, 240, 12000, 2048, 20000, false }, { "bulk-note", 4, 0.06, 40, 2400, 2048, 10000, false } } },
    { "uzwj", 8, 9, 3,
        { { "order", 0, 0.20, 0, 0, 0, 5000, true }, { "stock", 0, 0.10, 0, 0, 0, 3000, false },
            { "question", 1, 0.30, 12, 4600, 4096, 4000, false }, { "spec-question", 2, 0.14, 40, 4600, 4096, 8000, false },
            { "dossier", 3, 0.04, 300, 16000, 2048, 25000, false }, { "invoice-tag", 4, 0.22, 3, 2400, 2048, 10000, false } } },
};

const std::vector<Scenario> scenarios { { "0.7x", 0.7 }, { "1.2x", 1.2 }, { "3x", 3 }, { "burst 10x for 5 s", 0.7, 10 },
    { "one engine at a quarter", 0.7, 1, true }, { "reports 5 s old, 1.2x", 1.2, 1, false, 5000 },
    { "node killed, 1.2x", 1.2, 1, false, 0, SIGKILL }, { "node paused, 1.2x", 1.2, 1, false, 0, SIGSTOP } };

EngineParameters engineParameters(int index)
{
    // Three generations of hardware.
    constexpr double stepMs[] = { 9, 13, 18 };
    constexpr double prefill[] = { 24000, 16000, 9000 };
    EngineParameters parameters;
    parameters.stepMs = stepMs[index % 3];
    parameters.stepMsPerSequence = 0.5;
    parameters.prefillTokensPerSecond = prefill[index % 3];
    parameters.slots = engineSlots;
    parameters.cacheTokens = 16384;
    return parameters;
}

double tokensPerSecond(const EngineParameters& parameters)
{
    return parameters.slots * 1000 / (parameters.stepMs + parameters.stepMsPerSequence * parameters.slots);
}

// The work of a request expressed in output tokens; the prefill is converted at the engines' mean rates.
double workInOutputTokens(const RequestKind& kind)
{
    constexpr double outputTokensPerPromptToken = 0.035;
    return kind.outputTokens ? kind.outputTokens + outputTokensPerPromptToken * (kind.promptCharacters - kind.sharedPrefixCharacters) / 4
                             : 0;
}

// A site that is set up for one scenario.
struct Deployment {
    Deployment(const User& user, const Scenario& scenario, const std::string& policy)
    {
        for (int i = 0; i < user.engines; ++i) {
            EngineStandin::Options options;
            options.engine = engineParameters(i);
            options.reportLag = std::chrono::milliseconds(scenario.reportLagMs);
            site.addEngine("e" + std::to_string(i + 1), options);
            capacity += tokensPerSecond(options.engine);
        }
        for (int i = 0; i < user.services; ++i) {
            auto& service = site.addService("s" + std::to_string(i + 1), 32);
            service.setFaults({ false, false, std::chrono::milliseconds(15) });
        }
        auto& entries = site.entries();
        for (int rank = 0; rank < tiers; ++rank)
            entries["tier/t" + std::to_string(rank)] = { { "rank", rank } };
        for (const auto* defaultTier : { "tier/urgent", "tier/normal", "tier/batch" })
            entries.erase(defaultTier);
        for (const auto* organisation : { "east", "west", "hill" })
            entries["organisation/" + std::string(organisation)] = nlohmann::json::object();
        for (const auto& kind : user.kinds) {
            const auto tier = "t" + std::to_string(kind.rank);
            if (kind.outputTokens)
                entries["route/" + kind.route] = { { "kind", "engine" }, { "model", "reader" }, { "tier", tier }, { "version", "v1" } };
            else
                entries["route/" + kind.route] = { { "kind", "service" }, { "path", "/" + kind.route }, { "tier", tier },
                    { "version", "v1" }, { "idempotent", !kind.hasIdempotencyKey } };
        }
        site.startNodes(user.nodes, { "--policy", policy, "--list-lag", "500" });
        site.publish();
        site.waitForNodes();
        if (scenario.hasSlowEngine) {
            EngineFaults slow;
            slow.slowness = 4;
            site.engine("e1").setFaults(slow);
        }
    }

    TestSite site;
    double capacity = 0; // Output tokens per second of all engines together.
};

// Results of one run.
struct Result {
    std::vector<RequestOutcome> outcomes;
    double capacity = 0; // Output tokens per second.
    double wastedPrefill = 0; // Share of prefilled tokens.
    int duplicateDispatches = 0;
    int duplicateRuns = 0; // Idempotency keys that a service ran more than once.
    int falseNotRun = 0; // Requests that were dispatched though the caller was told "not-run".
};

void collectCounters(Deployment& deployment, Result& result)
{
    int64_t prefilled = 0;
    int64_t wasted = 0;
    std::set<std::string> dispatched;
    for (const auto& [name, engine] : deployment.site.engines()) {
        const auto counters = engine->model().counters();
        prefilled += counters.prefilledTokens;
        wasted += counters.wastedPrefillTokens;
        for (const auto& [id, count] : engine->dispatchCounts()) {
            result.duplicateDispatches += count > 1 || !dispatched.insert(id).second;
        }
    }
    std::map<std::string, int> runs;
    for (const auto* name : { "s1", "s2", "s3" }) {
        for (const auto& [key, count] : deployment.site.service(name).runCounts())
            runs[key] += count;
    }
    for (const auto& [key, count] : runs)
        result.duplicateRuns += !key.empty() && count > 1;
    for (const auto& outcome : result.outcomes) {
        const bool wasDispatched = dispatched.contains(outcome.requestId);
        result.falseNotRun += outcome.response.execution == "not-run" && wasDispatched;
    }
    result.wastedPrefill = prefilled ? static_cast<double>(wasted) / static_cast<double>(prefilled) : 0;
}

Result runScenario(const User& user, const Scenario& scenario, const std::string& policy, double seconds, unsigned seed)
{
    Deployment deployment(user, scenario, policy);
    double meanWork = 0;
    for (const auto& kind : user.kinds)
        meanWork += kind.share * workInOutputTokens(kind);
    ArrivalPlan plan;
    plan.durationSeconds = seconds;
    plan.requestsPerSecond = scenario.loadFactor * deployment.capacity / meanWork;
    plan.burstFactor = scenario.burstFactor;
    plan.burstStartSeconds = 3;
    plan.burstSeconds = scenario.burstFactor > 1 ? 5 : 0;
    std::thread signalThread;
    if (scenario.signalNumber) {
        signalThread = std::thread([&] {
            std::this_thread::sleep_for(std::chrono::duration<double>(seconds / 2));
            auto& node = deployment.site.node(deployment.site.poolHome("shift-note").empty() ? deployment.site.poolHome("question")
                                                                                             : deployment.site.poolHome("shift-note"));
            node.signal(scenario.signalNumber);
            std::this_thread::sleep_for(std::chrono::duration<double>(seconds / 4));
            node.signal(SIGCONT);
        });
    }
    Result result;
    result.capacity = deployment.capacity;
    result.outcomes = LoadGenerator(deployment.site, user.kinds, seed).run(plan);
    if (signalThread.joinable())
        signalThread.join();
    collectCounters(deployment, result);
    return result;
}

bool isShed(const RequestOutcome& outcome) { return outcome.response.reason == "queue-full" || outcome.response.reason == "evicted"; }

// Counts shed requests for which a lower-priority request that waited in the same pool at the same time was dispatched later.
int countTierViolations(const std::vector<RequestOutcome>& outcomes)
{
    constexpr double grantToFirstTokenMargin = 1.0; // Seconds; longer than the time from a grant to the first token.
    int violations = 0;
    for (const auto& shed : outcomes) {
        if (!isShed(shed))
            continue;
        const double shedSeconds = shed.arrivalSeconds + shed.response.seconds;
        violations += std::any_of(outcomes.begin(), outcomes.end(), [&](const RequestOutcome& other) {
            const bool isLower = other.kind.rank > shed.kind.rank && (other.kind.outputTokens > 0) == (shed.kind.outputTokens > 0);
            return isLower && other.response.isComplete && other.arrivalSeconds < shedSeconds
                && other.arrivalSeconds + other.response.firstTokenSeconds > shedSeconds + grantToFirstTokenMargin;
        });
    }
    return violations;
}

std::string formatGoodput(const std::vector<RequestOutcome>& outcomes, int rank)
{
    int offered = 0;
    int good = 0;
    for (const auto& outcome : outcomes) {
        if (outcome.kind.rank != rank)
            continue;
        ++offered;
        good += outcome.isGood();
    }
    return offered ? format(static_cast<double>(good) / offered, 3) : "-";
}

// Work of good responses during the loaded window, which begins after a quarter of the run, as a share of what the engines can do in it.
double goodWorkToCapacityRatio(const Result& result, double seconds)
{
    const double windowStart = seconds / 4;
    double work = 0;
    for (const auto& outcome : result.outcomes) {
        if (!outcome.isGood() || !outcome.kind.outputTokens)
            continue;
        const double begin = outcome.arrivalSeconds + outcome.response.firstTokenSeconds;
        const double end = std::max(outcome.arrivalSeconds + outcome.response.seconds, begin + 1e-6);
        const double secondsInWindow = std::max(0.0, std::min(end, seconds) - std::max(begin, windowStart));
        work += workInOutputTokens(outcome.kind) * secondsInWindow / (end - begin);
    }
    return work / (result.capacity * (seconds - windowStart));
}

// Seconds after the burst until at least 95 % of the arrivals of each later second get good responses.
std::string formatRecoverySeconds(const std::vector<RequestOutcome>& outcomes, double burstEnd, double seconds)
{
    constexpr double recoveredGoodShare = 0.95;
    int lastBadSecond = -1;
    for (int second = static_cast<int>(burstEnd); second < static_cast<int>(seconds); ++second) {
        int offered = 0;
        int good = 0;
        for (const auto& outcome : outcomes) {
            if (static_cast<int>(outcome.arrivalSeconds) != second)
                continue;
            ++offered;
            good += outcome.isGood();
        }
        if (offered && static_cast<double>(good) / offered < recoveredGoodShare)
            lastBadSecond = second;
    }
    return lastBadSecond < 0 ? "0" : std::to_string(lastBadSecond + 1 - static_cast<int>(burstEnd));
}

std::string formatFailures(const std::vector<RequestOutcome>& outcomes)
{
    std::map<std::string, int> reasons;
    for (const auto& outcome : outcomes) {
        if (!outcome.response.isComplete)
            ++reasons[outcome.response.reason.empty() ? "no answer" : outcome.response.reason];
    }
    std::string text;
    for (const auto& [reason, count] : reasons)
        text += (text.empty() ? "" : ", ") + reason + " " + std::to_string(count);
    return text.empty() ? "none" : text;
}

void printResult(const User& user, const Scenario& scenario, const std::string& policy, const Result& result, double seconds)
{
    std::vector<double> firstTokens;
    std::vector<double> betweenTokens;
    for (const auto& outcome : result.outcomes) {
        if (!outcome.response.isComplete || !outcome.kind.outputTokens)
            continue;
        firstTokens.push_back(outcome.response.firstTokenSeconds);
        if (outcome.kind.outputTokens > 1)
            betweenTokens.push_back(
                (outcome.response.seconds - outcome.response.firstTokenSeconds) * 1000 / (outcome.kind.outputTokens - 1));
    }
    std::vector<std::string> cells { user.name, scenario.name, policy };
    for (int rank = 0; rank < tiers; ++rank)
        cells.push_back(formatGoodput(result.outcomes, rank));
    cells.push_back(format(goodWorkToCapacityRatio(result, seconds), 2));
    cells.push_back(format(quantile(firstTokens, 0.95), 2));
    cells.push_back(format(quantile(betweenTokens, 0.95), 1));
    cells.push_back(format(result.wastedPrefill * 100, 1));
    cells.push_back(scenario.burstFactor > 1 ? formatRecoverySeconds(result.outcomes, 8, seconds) : "-");
    cells.push_back(std::to_string(countTierViolations(result.outcomes)) + "/"
        + std::to_string(result.duplicateDispatches + result.duplicateRuns) + "/" + std::to_string(result.falseNotRun));
    cells.push_back(formatFailures(result.outcomes));
    printRow(cells);
}

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> parts;
    std::stringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

} // namespace

int measureScheduling(
    const std::string& userName, const std::string& scenarioName, const std::string& policies, double seconds, unsigned seed)
{
    std::cout << "seed " << seed << ", " << seconds
              << " s a run; goodput is the share of offered requests with a complete response before their deadline\n\n";
    printHeader(
        { "user", "scenario", "policy", "tier 0", "tier 1", "tier 2", "tier 3", "tier 4", "good work / capacity", "first token p95 s",
            "between tokens p95 ms", "wasted prefill %", "recovery s", "violations: tier order/at most once/not-run", "not answered" });
    for (const auto& user : users) {
        if (userName != "both" && user.name != userName)
            continue;
        for (const auto& scenario : scenarios) {
            if (scenarioName != "all" && scenario.name != scenarioName)
                continue;
            const double length = scenario.burstFactor > 1 ? std::max(seconds, 18.0) : seconds;
            for (const auto& policy : split(policies))
                printResult(user, scenario, policy, runScenario(user, scenario, policy, length, seed), length);
        }
    }
    return 0;
}

} // namespace bronzeswitch::measure
