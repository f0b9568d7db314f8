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

// A kind of version, with the faults that it shows.
struct VersionKind {
    std::string name;
    bool isGood;
    double requestsPerSecond;
    EngineFaults faults;
};

EngineFaults faultsWith(const std::function<void(EngineFaults&)>& set)
{
    EngineFaults faults;
    faults.version = "v2";
    set(faults);
    return faults;
}

std::vector<VersionKind> versionKinds()
{
    const auto none = faultsWith([](EngineFaults&) {});
    return { { "good", true, 60, none }, { "good, little traffic", true, 20, none },
        { "good on this route, bad on another", true, 60,
            faultsWith([](EngineFaults& faults) { faults.errorShare = 1, faults.route = "other"; }) },
        { "fails at once", false, 60, faultsWith([](EngineFaults& faults) { faults.errorShare = 1; }) },
        { "fails one time in three", false, 60, faultsWith([](EngineFaults& faults) { faults.errorShare = 0.34; }) },
        { "slow at once", false, 60, faultsWith([](EngineFaults& faults) { faults.slowness = 5; }) },
        { "fails later", false, 60, faultsWith([](EngineFaults& faults) { faults.errorShare = 1, faults.afterRequests = 40; }) },
        { "fails under load only", false, 60,
            faultsWith([](EngineFaults& faults) { faults.errorShare = 1, faults.whenRunningAtLeast = 3; }) },
        { "fails on one route only", false, 60, faultsWith([](EngineFaults& faults) { faults.errorShare = 1, faults.route = "check"; }) },
        { "short answers", false, 60, faultsWith([](EngineFaults& faults) { faults.shortAnswers = true; }) },
        { "crossed answers", false, 60, faultsWith([](EngineFaults& faults) { faults.crossedAnswers = true; }) } };
}

// What one rollout showed.
struct RolloutResult {
    std::string stage;
    std::string reason;
    double seconds = 0; // From the publication to the end.
    int newVersionRequests = 0;
    double canaryShare = 0; // Of the route's requests until the version was judged good or taken back.
    double lastAfterStop = 0; // Seconds from the stop to the last request that the new version got; negative when before.
};

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
        std::atomic<bool> isOver = false;
        std::thread traffic([&] {
            const std::vector<RequestKind> kinds { { "check", 0, 0.7, 20, 400, 0, 8000, false },
                { "other", 0, 0.3, 20, 400, 0, 8000, false } };
            ArrivalPlan plan;
            plan.seconds = 2 * deadlineSeconds;
            plan.perSecond = m_kind.requestsPerSecond;
            LoadGenerator(m_site, kinds, m_seed)
                .run(
                    plan, [&] { return isOver.load(); }, [&](const RequestKind& kind) { m_checks += kind.route == "check"; });
        });
        std::this_thread::sleep_for(std::chrono::seconds(2));
        auto result = observe();
        isOver = true;
        traffic.join();
        return result;
    }

private:
    int newRequests() { return m_site.engine("e5").requestCount("v2") + m_site.engine("e6").requestCount("v2"); }

    RolloutResult observe()
    {
        const auto deadline = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count()
            + deadlineSeconds;
        m_site.entries()["rollout/r"] = { { "route", "check" }, { "from", "v1" }, { "to", "v2" }, { "deadline", deadline } };
        m_site.publish();
        const auto start = steady_clock::now();
        const int checksBefore = m_checks;
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
                    const int checks = std::max(1, m_checks - checksBefore);
                    result.canaryShare = static_cast<double>(newRequests()) / checks;
                }
                return isEnded;
            },
            std::chrono::seconds(deadlineSeconds + 10));
        result.seconds = toSeconds(steady_clock::now() - start);
        std::this_thread::sleep_for(std::chrono::seconds(3));
        result.newVersionRequests = newRequests();
        const auto last = std::max(m_site.engine("e5").lastRequestTime("v2"), m_site.engine("e6").lastRequestTime("v2"));
        result.lastAfterStop = stopped == steady_clock::time_point() ? 0 : toSeconds(last - stopped);
        return result;
    }

    const VersionKind& m_kind;
    unsigned m_seed;
    TestSite m_site;
    std::atomic<int> m_checks = 0;
};

void printKind(const VersionKind& kind, const std::vector<RolloutResult>& results)
{
    int right = 0;
    int requests = 0;
    double longest = 0;
    double last = -1000;
    double share = 0;
    std::string reasons;
    for (const auto& result : results) {
        right += result.stage == (kind.isGood ? "finished" : "taken-back");
        requests = std::max(requests, result.newVersionRequests);
        longest = std::max(longest, result.seconds);
        last = std::max(last, result.lastAfterStop);
        share = std::max(share, result.canaryShare);
        if (reasons.find(result.reason) == std::string::npos)
            reasons += (reasons.empty() ? "" : ", ") + result.reason;
    }
    printRow({ kind.name, kind.isGood ? "finished" : "taken back", std::to_string(right) + " of " + std::to_string(results.size()),
        format(longest, 1), kind.isGood ? "-" : std::to_string(requests), format(share * 100, 1), kind.isGood ? "-" : format(last, 2),
        reasons });
}

double inForceSeconds(TestSite& site, int change)
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

// Sign-offs at a steady rate, each retried once at another node.
struct SignOffs {
    int offered = 0;
    int served = 0;
    int notRun = 0;
    int unknown = 0;
};

SignOffs sendSignOffs(TestSite& site, double seconds, const std::string& prefix)
{
    constexpr auto interval = std::chrono::milliseconds(100);
    SignOffs result;
    std::mutex mutex;
    std::vector<std::thread> callers;
    const auto end = steady_clock::now() + std::chrono::duration<double>(seconds);
    for (int i = 0; steady_clock::now() < end; ++i) {
        callers.emplace_back([&, i] {
            const auto running = site.nodes();
            const auto key = prefix + std::to_string(i);
            const auto first
                = sendServiceRequest(running[static_cast<size_t>(i) % running.size()]->callerAuthority(), "/sign-off", key, 5000);
            const auto again
                = sendServiceRequest(running[static_cast<size_t>(i + 1) % running.size()]->callerAuthority(), "/sign-off", key, 5000);
            std::lock_guard lock(mutex);
            ++result.offered;
            result.served += first.status == 200 || again.status == 200;
            result.notRun += again.status != 200 && again.execution == "not-run";
            result.unknown += again.status != 200 && again.execution == "unknown";
        });
        std::this_thread::sleep_for(interval);
    }
    for (auto& caller : callers)
        caller.join();
    return result;
}

int repeatedRuns(TestSite& site)
{
    std::map<std::string, int> runs;
    for (const auto* name : { "s1", "s2", "s3" }) {
        for (const auto& [key, count] : site.service(name).runCounts())
            runs[key] += count;
    }
    return static_cast<int>(std::count_if(runs.begin(), runs.end(), [](const auto& run) { return !run.first.empty() && run.second > 1; }));
}

void printSignOffs(const std::string& name, const SignOffs& result, int repeated)
{
    printRow({ name, std::to_string(result.offered), format(result.offered ? static_cast<double>(result.served) / result.offered : 0, 3),
        std::to_string(result.notRun), std::to_string(result.unknown), std::to_string(repeated) });
}

} // namespace

int measureRollouts(int repeats, const std::string& only, unsigned seed)
{
    std::cout << "seed " << seed << ", " << repeats << " runs of each kind, three nodes, deadline " << deadlineSeconds
              << " s, start share 5 %\n\n";
    printHeader({ "version", "wanted", "as wanted", "longest s", "most requests of the bad version", "highest share before the verdict %",
        "last request after the stop s", "reasons" });
    for (const auto& kind : versionKinds()) {
        if (only != "all" && kind.name != only)
            continue;
        std::vector<RolloutResult> results(static_cast<size_t>(repeats));
        std::vector<std::thread> runs;
        runs.reserve(results.size());
        for (int i = 0; i < repeats; ++i)
            runs.emplace_back([&, i] { results[static_cast<size_t>(i)] = RolloutRun(kind, seed + static_cast<unsigned>(i) * 1000).run(); });
        for (auto& run : runs)
            run.join();
        printKind(kind, results);
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
        times.push_back(inForceSeconds(site, i));
    std::cout << "time to in-force on all nodes, " << changes << " changes: median " << format(quantile(times, 0.5), 3) << " s, longest "
              << format(quantile(times, 1), 3) << " s (target 14 s)\n\n";
    printHeader({ "during", "sign-offs", "served", "refused not-run", "unknown", "keys run twice" });
    constexpr double calm = 10;
    auto result = sendSignOffs(site, calm, "calm-");
    printSignOffs("no fault", result, repeatedRuns(site));
    site.platform().log().setFaults({ true, Duration(0), 0 });
    result = sendSignOffs(site, outageSeconds, "down-");
    printSignOffs("log down for " + format(outageSeconds, 0) + " s", result, repeatedRuns(site));
    site.platform().log().setFaults({ false, Duration(300), 0 });
    result = sendSignOffs(site, calm, "slow-");
    printSignOffs("log slow by 0.3 s a call", result, repeatedRuns(site));
    site.platform().log().setFaults({ false, Duration(0), 20 });
    result = sendSignOffs(site, calm, "lost-");
    printSignOffs("20 answers of the log lost", result, repeatedRuns(site));
    site.platform().log().setFaults({});
    std::thread killer([&] {
        std::this_thread::sleep_for(std::chrono::seconds(3));
        site.node("n9").kill();
        site.updateVmList();
    });
    result = sendSignOffs(site, calm * 2, "kill-");
    killer.join();
    printSignOffs("one node killed, log up", result, repeatedRuns(site));
    site.platform().log().setFaults({ true, Duration(0), 0 });
    std::thread second([&] {
        std::this_thread::sleep_for(std::chrono::seconds(5));
        site.node("n8").kill();
        std::this_thread::sleep_for(std::chrono::seconds(5));
        site.updateVmList();
    });
    result = sendSignOffs(site, calm * 2, "both-");
    second.join();
    printSignOffs("log down, one node killed and 5 s later dropped from the list", result, repeatedRuns(site));
    site.platform().log().setFaults({});
    result = sendSignOffs(site, calm, "after-");
    printSignOffs("after it", result, repeatedRuns(site));
    return 0;
}

} // namespace bronzeswitch::measure
