#include "Rollouts.h"

#include "LoadGenerator.h"

#include <atomic>
#include <iostream>
#include <thread>

namespace bronzeswitch::measure {

namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr int nodes = 3;
constexpr int64_t deadlineSeconds = 60;

// A kind of new version: the faults that it has and whether its rollout should finish.
struct VersionKind {
    std::string name;
    bool isGood;
    double requestsPerSecond;
    EngineFaults faults;
};

EngineFaults newVersionFaults(const std::function<void(EngineFaults&)>& set)
{
    EngineFaults faults;
    faults.version = "v2";
    set(faults);
    return faults;
}

std::vector<VersionKind> versionKinds()
{
    const auto noFaults = newVersionFaults([](EngineFaults&) {});
    return { { "good", true, 60, noFaults }, { "good, little traffic", true, 20, noFaults },
        { "good on this route, bad on another", true, 60,
            newVersionFaults([](EngineFaults& faults) { faults.errorShare = 1, faults.route = "other"; }) },
        { "fails at once", false, 60, newVersionFaults([](EngineFaults& faults) { faults.errorShare = 1; }) },
        { "fails one time in three", false, 60, newVersionFaults([](EngineFaults& faults) { faults.errorShare = 0.34; }) },
        { "slow at once", false, 60, newVersionFaults([](EngineFaults& faults) { faults.slowness = 5; }) },
        { "fails later", false, 60, newVersionFaults([](EngineFaults& faults) { faults.errorShare = 1, faults.afterRequests = 40; }) },
        { "fails under load only", false, 60,
            newVersionFaults([](EngineFaults& faults) { faults.errorShare = 1, faults.whenRunningAtLeast = 3; }) },
        { "fails on one route only", false, 60,
            newVersionFaults([](EngineFaults& faults) { faults.errorShare = 1, faults.route = "check"; }) },
        { "short answers", false, 60, newVersionFaults([](EngineFaults& faults) { faults.shortAnswers = true; }) },
        { "crossed answers", false, 60, newVersionFaults([](EngineFaults& faults) { faults.crossedAnswers = true; }) } };
}

// Observations of one rollout.
struct RolloutResult {
    std::string stage;
    std::string reason;
    double seconds = 0; // From the publication of the rollout to its end.
    int newVersionRequests = 0;
    double canaryShare = 0; // The new version's share of the route's requests until the canary stage ended.
    // From the stop of the new version to its last request; negative if that came before the stop.
    double lastRequestAfterStopSeconds = 0;
};

// A site with one rollout under steady traffic.
class RolloutRun {
public:
    RolloutRun(const VersionKind& kind, unsigned seed)
        : m_kind(kind)
        , m_seed(seed)
    {
        for (int i = 1; i <= 6; ++i) {
            EngineStandin::Options options;
            options.version = i <= 4 ? "v1" : "v2";
            options.engine.stepMs = 6;
            options.engine.slots = 6;
            m_site.addEngine("e" + std::to_string(i), options);
        }
        for (const auto* route : { "check", "other" })
            m_site.entries()["route/" + std::string(route)]
                = { { "kind", "engine" }, { "model", "reader" }, { "tier", "urgent" }, { "version", "v1" } };
        for (const auto* organisation : { "east", "west", "hill" })
            m_site.entries()["organisation/" + std::string(organisation)] = json::object();
        m_site.entries()["limits/global"]["rollout_soak_ms"] = 2000;
        m_site.startNodes(nodes);
        m_site.publish();
        m_site.waitForNodes();
        for (const auto* engine : { "e5", "e6" })
            m_site.engine(engine).setFaults(kind.faults);
    }

    RolloutResult run()
    {
        std::atomic<bool> isObservationDone = false;
        std::thread traffic([&] {
            const std::vector<RequestKind> kinds { { "check", 0, 0.7, 20, 400, 0, 8000, false },
                { "other", 0, 0.3, 20, 400, 0, 8000, false } };
            ArrivalPlan plan;
            plan.durationSeconds = 2 * deadlineSeconds;
            plan.requestsPerSecond = m_kind.requestsPerSecond;
            LoadGenerator(m_site, kinds, m_seed)
                .run(
                    plan, [&] { return isObservationDone.load(); },
                    [&](const RequestKind& kind) { m_checkRequests += kind.route == "check"; });
        });
        std::this_thread::sleep_for(std::chrono::seconds(2));
        auto result = observe();
        isObservationDone = true;
        traffic.join();
        return result;
    }

private:
    int countNewVersionRequests() { return m_site.engine("e5").requestCount("v2") + m_site.engine("e6").requestCount("v2"); }

    RolloutResult observe()
    {
        const auto deadline = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count()
            + deadlineSeconds;
        m_site.entries()["rollout/r"] = { { "route", "check" }, { "from", "v1" }, { "to", "v2" }, { "deadline", deadline } };
        m_site.publish();
        const auto start = steady_clock::now();
        const int checkRequestsBefore = m_checkRequests;
        RolloutResult result;
        steady_clock::time_point stopped {};
        bool isCanary = true;
        waitUntil(
            [&] {
                const auto list = m_site.queryOperator("n1", "/v1/rollouts");
                if (!list.is_array() || list.empty())
                    return false;
                const auto& state = list[0];
                result.stage = state.value("stage", "");
                result.reason = state.value("reason", "");
                const bool isStopped = !state.value("alarm", "").empty() || result.stage == "taken-back";
                if (isStopped && stopped == steady_clock::time_point())
                    stopped = steady_clock::now();
                const bool isEnded = result.stage == "finished" || result.stage == "taken-back";
                if (isCanary && result.stage != "canary" && result.stage != "pending") {
                    isCanary = false;
                    const int checkRequests = std::max(1, m_checkRequests - checkRequestsBefore);
                    result.canaryShare = static_cast<double>(countNewVersionRequests()) / checkRequests;
                }
                return isEnded;
            },
            std::chrono::seconds(deadlineSeconds + 10));
        result.seconds = toSeconds(steady_clock::now() - start);
        std::this_thread::sleep_for(std::chrono::seconds(3));
        result.newVersionRequests = countNewVersionRequests();
        const auto last = std::max(m_site.engine("e5").lastRequestTime("v2"), m_site.engine("e6").lastRequestTime("v2"));
        result.lastRequestAfterStopSeconds = stopped == steady_clock::time_point() ? 0 : toSeconds(last - stopped);
        return result;
    }

    const VersionKind& m_kind;
    unsigned m_seed;
    TestSite m_site;
    std::atomic<int> m_checkRequests = 0;
};

void printVersionKind(const VersionKind& kind, const std::vector<RolloutResult>& results)
{
    int expectedResults = 0;
    int maxRequests = 0;
    double longestSeconds = 0;
    double lastRequestSeconds = -1000;
    double maxCanaryShare = 0;
    std::string reasons;
    for (const auto& result : results) {
        expectedResults += result.stage == (kind.isGood ? "finished" : "taken-back");
        maxRequests = std::max(maxRequests, result.newVersionRequests);
        longestSeconds = std::max(longestSeconds, result.seconds);
        lastRequestSeconds = std::max(lastRequestSeconds, result.lastRequestAfterStopSeconds);
        maxCanaryShare = std::max(maxCanaryShare, result.canaryShare);
        if (reasons.find(result.reason) == std::string::npos)
            reasons += (reasons.empty() ? "" : ", ") + result.reason;
    }
    printRow(
        { kind.name, kind.isGood ? "finished" : "taken back", std::to_string(expectedResults) + " of " + std::to_string(results.size()),
            format(longestSeconds, 1), kind.isGood ? "-" : std::to_string(maxRequests), format(maxCanaryShare * 100, 1),
            kind.isGood ? "-" : format(lastRequestSeconds, 2), reasons });
}

// Publishes a change and returns the time until it is in force on all nodes.
double measureSecondsToInForce(TestSite& site, int change)
{
    site.entries()["organisation/north"] = { { "weight", 1 + change % 7 } };
    const auto start = steady_clock::now();
    const auto revision = site.publish();
    const auto all = site.nodes();
    waitUntil([&] {
        return std::all_of(all.begin(), all.end(), [&](const NodeProcess* node) {
            const auto status = site.queryOperator(node->name(), "/v1/status");
            return status.is_object() && status.value("revision", int64_t(0)) >= revision;
        });
    });
    return toSeconds(steady_clock::now() - start);
}

// Results of sign-offs that were each sent to one node and then again, with the same key, to another.
struct SignOffCounts {
    int offered = 0;
    int served = 0;
    int notRun = 0;
    int unknown = 0;
};

SignOffCounts sendSignOffs(TestSite& site, double seconds, const std::string& prefix)
{
    constexpr auto interval = std::chrono::milliseconds(100);
    SignOffCounts result;
    std::mutex mutex;
    std::vector<std::thread> callers;
    const auto end = steady_clock::now() + std::chrono::duration<double>(seconds);
    for (int i = 0; steady_clock::now() < end; ++i) {
        callers.emplace_back([&, i] {
            const auto running = site.nodes();
            const auto key = prefix + std::to_string(i);
            const auto first
                = sendServiceRequest(running[static_cast<size_t>(i) % running.size()]->callerAuthority(), "/sign-off", key, 5000);
            const auto retry
                = sendServiceRequest(running[static_cast<size_t>(i + 1) % running.size()]->callerAuthority(), "/sign-off", key, 5000);
            std::lock_guard lock(mutex);
            ++result.offered;
            result.served += first.status == 200 || retry.status == 200;
            result.notRun += retry.status != 200 && retry.execution == "not-run";
            result.unknown += retry.status != 200 && retry.execution == "unknown";
        });
        std::this_thread::sleep_for(interval);
    }
    for (auto& caller : callers)
        caller.join();
    return result;
}

// Counts the idempotency keys whose request ran more than once.
int countDuplicateRuns(TestSite& site)
{
    std::map<std::string, int> runs;
    for (const auto* name : { "s1", "s2", "s3" }) {
        for (const auto& [key, count] : site.service(name).runCounts())
            runs[key] += count;
    }
    return static_cast<int>(std::count_if(runs.begin(), runs.end(), [](const auto& run) { return !run.first.empty() && run.second > 1; }));
}

void printSignOffs(const std::string& name, const SignOffCounts& result, int duplicateRuns)
{
    printRow({ name, std::to_string(result.offered), format(result.offered ? static_cast<double>(result.served) / result.offered : 0, 3),
        std::to_string(result.notRun), std::to_string(result.unknown), std::to_string(duplicateRuns) });
}

} // namespace

int measureRollouts(int repeats, const std::string& kindName, unsigned seed)
{
    std::cout << "seed " << seed << ", " << repeats << " runs of each kind, three nodes, deadline " << deadlineSeconds
              << " s, start share 5 %\n\n";
    printHeader({ "version", "wanted", "as wanted", "longest s", "most requests of the bad version", "highest share before the verdict %",
        "last request after the stop s", "reasons" });
    for (const auto& kind : versionKinds()) {
        if (kindName != "all" && kind.name != kindName)
            continue;
        std::vector<RolloutResult> results(static_cast<size_t>(repeats));
        std::vector<std::thread> runs;
        runs.reserve(results.size());
        for (int i = 0; i < repeats; ++i)
            runs.emplace_back([&, i] { results[static_cast<size_t>(i)] = RolloutRun(kind, seed + static_cast<unsigned>(i) * 1000).run(); });
        for (auto& run : runs)
            run.join();
        printVersionKind(kind, results);
    }
    return 0;
}

int measureFaults(double outageSeconds, unsigned seed)
{
    constexpr int siteNodes = 9;
    constexpr int changes = 20;
    std::cout << "seed " << seed << ", nine nodes, ten sign-offs a second, each sent a second time at another node\n\n";
    TestSite site;
    for (const auto* name : { "s1", "s2", "s3" })
        site.addService(name, 32);
    site.entries()["route/sign-off"]
        = { { "kind", "service" }, { "path", "/sign-off" }, { "tier", "urgent" }, { "version", "v1" }, { "idempotent", false } };
    site.startNodes(siteNodes);
    site.publish();
    site.waitForNodes();
    site.waitForClaimOwners();
    std::vector<double> times;
    times.reserve(changes);
    for (int i = 0; i < changes; ++i)
        times.push_back(measureSecondsToInForce(site, i));
    std::cout << "time to in-force on all nodes, " << changes << " changes: median " << format(quantile(times, 0.5), 3) << " s, longest "
              << format(quantile(times, 1), 3) << " s (target 14 s)\n\n";
    printHeader({ "during", "sign-offs", "served", "refused not-run", "unknown", "keys run twice" });
    constexpr double phaseSeconds = 10;
    auto result = sendSignOffs(site, phaseSeconds, "calm-");
    printSignOffs("no fault", result, countDuplicateRuns(site));
    site.platform().log().setFaults({ true, Duration(0), 0 });
    result = sendSignOffs(site, outageSeconds, "down-");
    printSignOffs("log down for " + format(outageSeconds, 0) + " s", result, countDuplicateRuns(site));
    site.platform().log().setFaults({ false, Duration(300), 0 });
    result = sendSignOffs(site, phaseSeconds, "slow-");
    printSignOffs("log slow by 0.3 s a call", result, countDuplicateRuns(site));
    site.platform().log().setFaults({ false, Duration(0), 20 });
    result = sendSignOffs(site, phaseSeconds, "lost-");
    printSignOffs("20 answers of the log lost", result, countDuplicateRuns(site));
    site.platform().log().setFaults({});
    std::thread killThread([&] {
        std::this_thread::sleep_for(std::chrono::seconds(3));
        site.node("n9").kill();
        site.updateVmList();
    });
    result = sendSignOffs(site, phaseSeconds * 2, "kill-");
    killThread.join();
    printSignOffs("one node killed, log up", result, countDuplicateRuns(site));
    site.platform().log().setFaults({ true, Duration(0), 0 });
    std::thread outageKillThread([&] {
        std::this_thread::sleep_for(std::chrono::seconds(5));
        site.node("n8").kill();
        std::this_thread::sleep_for(std::chrono::seconds(5));
        site.updateVmList();
    });
    result = sendSignOffs(site, phaseSeconds * 2, "both-");
    outageKillThread.join();
    printSignOffs("log down, one node killed and 5 s later dropped from the list", result, countDuplicateRuns(site));
    site.platform().log().setFaults({});
    result = sendSignOffs(site, phaseSeconds, "after-");
    printSignOffs("after it", result, countDuplicateRuns(site));
    return 0;
}

} // namespace bronzeswitch::measure
