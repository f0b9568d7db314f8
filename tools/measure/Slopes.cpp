#include "Slopes.h"

#include "LoadGenerator.h"

#include <array>
#include <claims/ClaimPartition.h>
#include <config/Configuration.h>
#include <fstream>
#include <iostream>
#include <ledger/LedgerState.h>
#include <malloc.h>
#include <protocol/Messages.h>
#include <sched/PoolScheduler.h>
#include <thread>
#include <unistd.h>

namespace bronzeswitch::measure {

namespace {

using nlohmann::json;
using std::chrono::steady_clock;

// A line fitted by least squares, with the coefficient of determination.
struct LinearFit {
    double intercept = 0;
    double slope = 0;
    double r2 = 1;
};

struct Point {
    double x;
    double y;
};

LinearFit fitLine(const std::vector<Point>& points)
{
    const auto count = static_cast<double>(points.size());
    double sumX = 0;
    double sumY = 0;
    for (const auto& point : points) {
        sumX += point.x;
        sumY += point.y;
    }
    const double meanX = sumX / count;
    const double meanY = sumY / count;
    double sumXX = 0;
    double sumXY = 0;
    double sumYY = 0;
    for (const auto& point : points) {
        sumXX += (point.x - meanX) * (point.x - meanX);
        sumXY += (point.x - meanX) * (point.y - meanY);
        sumYY += (point.y - meanY) * (point.y - meanY);
    }
    LinearFit fit;
    fit.slope = sumXX > 0 ? sumXY / sumXX : 0;
    fit.intercept = meanY - fit.slope * meanX;
    fit.r2 = sumYY > 0 && sumXX > 0 ? sumXY * sumXY / (sumXX * sumYY) : 1;
    return fit;
}

json recordSlope(const std::string& name, const std::string& driver, const std::string& unit, const std::vector<Point>& points)
{
    const auto fit = fitLine(points);
    auto pointList = json::array();
    for (const auto& point : points)
        pointList.push_back({ point.x, point.y });
    std::cerr << name << ": " << fit.intercept << " + " << fit.slope << " " << unit << " a " << driver << ", r2 " << format(fit.r2, 3)
              << "\n";
    return { { "name", name }, { "driver", driver }, { "unit", unit }, { "points", pointList }, { "intercept", fit.intercept },
        { "slope", fit.slope }, { "r2", fit.r2 } };
}

double processSeconds(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    std::stringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    constexpr int userTimeField = 12;
    double ticks = 0;
    for (int i = 1; i <= userTimeField + 1 && fields >> field; ++i) {
        if (i >= userTimeField)
            ticks += std::stod(field);
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMegabytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

double heapMegabytes() { return static_cast<double>(mallinfo2().uordblks) / (1 << 20); }

template <typename Action> double meanMicroseconds(int count, Action action)
{
    const auto start = steady_clock::now();
    for (int i = 0; i < count; ++i)
        action(i);
    return toSeconds(steady_clock::now() - start) * 1e6 / count;
}

// Cost of a node without traffic by the number of its peers: heartbeats, reads of the log and the renewal of claim leases.
void measureIdleNodes(json& results)
{
    std::vector<Point> bytes;
    std::vector<Point> processor;
    std::vector<Point> memory;
    for (const int nodes : { 3, 6, 12, 24 }) {
        TestSite site;
        site.addService("s1");
        site.startNodes(nodes);
        site.publish();
        site.waitForNodes();
        constexpr double seconds = 8;
        std::vector<double> before;
        double bytesBefore = 0;
        for (auto* node : site.nodes()) {
            before.push_back(processSeconds(node->processId()));
            bytesBefore += site.queryOperator(node->name(), "/v1/status").value("control_bytes", 0.0);
        }
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
        double processorSecondsUsed = 0;
        double bytesAfter = 0;
        double resident = 0;
        size_t index = 0;
        for (auto* node : site.nodes()) {
            processorSecondsUsed += processSeconds(node->processId()) - before[index++];
            bytesAfter += site.queryOperator(node->name(), "/v1/status").value("control_bytes", 0.0);
            resident += residentMegabytes(node->processId());
        }
        const double peers = nodes - 1;
        bytes.push_back({ peers, (bytesAfter - bytesBefore) / seconds / nodes });
        processor.push_back({ peers, processorSecondsUsed / seconds / nodes * 100 });
        memory.push_back({ peers, resident / nodes });
    }
    results.push_back(recordSlope("mesh bytes a second", "peer", "B/s", bytes));
    results.push_back(recordSlope("idle node processor", "peer", "% of a core", processor));
    results.push_back(recordSlope("idle node memory", "peer", "MB", memory));
}

// Processor time of an entry node by streamed tokens and by requests.
void measureEntry(json& results)
{
    std::vector<Point> perToken;
    std::vector<Point> perRequest;
    const auto run = [](double requestsPerSecond, int tokens) {
        TestSite site;
        for (int i = 0; i < 8; ++i) {
            EngineStandin::Options options;
            options.engine.stepMs = 20;
            options.engine.stepMsPerSequence = 0;
            options.engine.slots = 200;
            site.addEngine("e" + std::to_string(i), options);
        }
        site.entries()["route/check"] = { { "kind", "engine" }, { "model", "reader" }, { "tier", "urgent" }, { "version", "v1" } };
        site.startNodes(1);
        site.publish();
        site.waitForNodes();
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        const auto process = site.nodes().front()->processId();
        const double before = processSeconds(process);
        ArrivalPlan plan;
        plan.durationSeconds = 6;
        plan.requestsPerSecond = requestsPerSecond;
        const std::vector<RequestKind> kinds { { "check", 0, 1, tokens, 400, 0, 30000, false } };
        const auto start = steady_clock::now();
        const auto outcomes = LoadGenerator(site, kinds, 1).run(plan);
        const double elapsed = toSeconds(steady_clock::now() - start);
        return std::pair(processSeconds(process) - before - 0.002 * elapsed, static_cast<double>(outcomes.size()));
    };
    for (const int tokens : { 1, 50, 100, 200 }) {
        const auto [seconds, requests] = run(20, tokens);
        perToken.push_back({ static_cast<double>(tokens), seconds * 1e6 / requests });
    }
    for (const double rate : { 20.0, 40.0, 80.0, 160.0 }) {
        const auto [seconds, requests] = run(rate, 1);
        perRequest.push_back({ requests, seconds * 1e6 });
    }
    results.push_back(recordSlope("entry processor a request by its tokens", "token", "us", perToken));
    results.push_back(recordSlope("entry processor by requests", "request", "us", perRequest));
}

PoolPlan makePoolPlan(int engines)
{
    PoolPlan plan;
    for (int i = 0; i < engines; ++i) {
        Upstream upstream;
        upstream.name = "engine-" + std::to_string(i);
        upstream.model = "reader";
        upstream.version = "v1";
        upstream.slots = 16;
        plan.upstreams.push_back(upstream);
    }
    plan.versions = { { "check", "reader", "v1", "", 0, "", 0 } };
    plan.limits.queuePerPool = 2000;
    return plan;
}

// Cost of a pool's home for one slot request, grant and release, by the pool's engines and by the number of waiting requests.
void measureHome(json& results)
{
    std::vector<Point> processorByEngines;
    std::vector<Point> processorByWaiting;
    std::vector<Point> memory;
    const TimePoint now = steady_clock::now();
    const auto slotRequest = [](uint64_t id) {
        return SlotRequest { id, "reader", "check", "north", 1, 300, 40, 60000, { { 1, 64 }, { 2, 128 }, { 3, 256 } }, {}, false };
    };
    for (const int engines : { 10, 35, 100, 300 }) {
        const double before = heapMegabytes();
        PoolScheduler pool(now);
        pool.configure(makePoolPlan(engines), now);
        constexpr int cycles = 5000;
        const double microseconds = meanMicroseconds(cycles, [&](int i) {
            const auto id = static_cast<uint64_t>(i) + 1;
            pool.requestSlot("n1", slotRequest(id), now);
            pool.releaseSlot("n1", { id, DispatchOutcome::Completed, 100, 20000, 40, 0 }, now);
        });
        processorByEngines.push_back({ static_cast<double>(engines), microseconds });
        memory.push_back({ static_cast<double>(engines), heapMegabytes() - before });
    }
    for (const int waiting : { 100, 200, 400, 800 }) {
        PoolScheduler pool(now);
        pool.configure(makePoolPlan(1), now);
        uint64_t id = 0;
        while (pool.waiting() < static_cast<size_t>(waiting))
            pool.requestSlot("n1", slotRequest(++id), now);
        uint64_t running = 1;
        const double microseconds = meanMicroseconds(1000, [&](int) {
            const auto decisions = pool.releaseSlot("n1", { running, DispatchOutcome::Completed, 100, 20000, 40, 0 }, now);
            running = std::visit([](const auto& answer) { return answer.id; }, decisions.at(0).response);
            pool.requestSlot("n1", slotRequest(++id), now);
        });
        processorByWaiting.push_back({ static_cast<double>(waiting), microseconds });
    }
    results.push_back(recordSlope("home processor a place by engines", "engine of the pool", "us", processorByEngines));
    results.push_back(recordSlope("home processor a place by waiting", "waiting ask", "us", processorByWaiting));
    results.push_back(recordSlope("home memory", "engine of the pool", "MB", memory));
}

json makeConfiguration(int upstreams)
{
    json entries { { "tier/t0", { { "rank", 0 } } } };
    for (int i = 0; i < upstreams; ++i) {
        entries["upstream/engine-" + std::to_string(i)]
            = { { "kind", "engine" }, { "address", "10.20." + std::to_string(i / 250 % 250) + "." + std::to_string(i % 250) + ":8000" },
                  { "data_centre", "dc" + std::to_string(i % 14) }, { "model", "model-" + std::to_string(i % 25) }, { "version", "v1" },
                  { "slots", 16 } };
    }
    for (int i = 0; i < 260; ++i)
        entries["organisation/organisation-" + std::to_string(i)] = { { "weight", 1 } };
    for (int i = 0; i < 25; ++i)
        entries["route/route-" + std::to_string(i)]
            = { { "kind", "engine" }, { "model", "model-" + std::to_string(i) }, { "tier", "t0" }, { "version", "v1" } };
    return entries;
}

// Cost of the configuration on each node by upstreams: memory of the state, processor time of one change and size of a snapshot.
void measureConfiguration(json& results)
{
    std::vector<Point> perChange;
    std::vector<Point> memory;
    std::vector<Point> snapshot;
    for (const int upstreams : { 100, 1000, 4000, 12000 }) {
        const double before = heapMegabytes();
        LedgerState state;
        ChangeRecord first { "first", "a", 0, {} };
        first.delta = ConfigDocument().differenceTo(*ConfigDocument::fromJson(makeConfiguration(upstreams)));
        state.apply({ 1, 0, toJson(ControlRecord(first)) });
        const auto configuration = Configuration::create(state.document(), state.revision());
        first.delta = {};
        memory.push_back({ static_cast<double>(upstreams), heapMegabytes() - before });
        int64_t offset = 1;
        constexpr int changes = 5;
        const double microseconds = meanMicroseconds(changes, [&](int i) {
            ChangeRecord change { "c" + std::to_string(i), "a", state.revision(), {} };
            change.delta.upserts[{ "upstream", "engine-1" }] = makeConfiguration(2)["upstream/engine-1"];
            change.delta.upserts[{ "upstream", "engine-1" }]["slots"] = 17 + i;
            LedgerState next(state);
            next.apply({ ++offset, 0, toJson(ControlRecord(change)) });
            state = std::move(next);
            const auto created = Configuration::create(state.document(), state.revision());
            if (!created)
                std::cerr << "configuration has findings\n";
        });
        perChange.push_back({ static_cast<double>(upstreams), microseconds / 1000 });
        snapshot.push_back({ static_cast<double>(upstreams), static_cast<double>(state.toJson().dump().size()) / (1 << 20) });
    }
    results.push_back(recordSlope("configuration processor a change", "upstream", "ms", perChange));
    results.push_back(recordSlope("configuration memory", "upstream", "MB", memory));
    results.push_back(recordSlope("snapshot size", "upstream", "MB", snapshot));
}

// Cost of the owner of a claim partition by keys: memory, processor time and bytes in the log.
void measureClaims(json& results)
{
    std::vector<Point> memory;
    std::vector<Point> processor;
    std::vector<Point> bytes;
    for (const int keys : { 1000, 5000, 20000, 100000 }) {
        const double before = heapMegabytes();
        ClaimPartition partition;
        ClaimBatch takeover;
        takeover.id = "take";
        takeover.ownership = OwnershipRecord { "n1#1", 0, 0 };
        partition.apply({ 1, 0, toJson(takeover) });
        double size = 0;
        const double microseconds = meanMicroseconds(keys, [&](int i) {
            ClaimBatch batch;
            batch.id = std::to_string(i);
            batch.term = 1;
            batch.owner = "n1#1";
            const auto key = "organisation-12/sign-off/2f6b0c1e-8f0e-4d7a-9c36-" + std::to_string(i);
            batch.claims.push_back({ key, "0123456789abcdef0123456789abcdef", "n1", 3600000 });
            batch.outcomes.push_back({ key, "0123456789abcdef0123456789abcdef", 200, "application/json", R"({"hinge":7,"done":true})" });
            const auto value = toJson(batch);
            size += static_cast<double>(value.dump().size());
            partition.apply({ i + 2, 0, value });
        });
        memory.push_back({ static_cast<double>(keys), heapMegabytes() - before });
        processor.push_back({ static_cast<double>(keys), microseconds * keys });
        bytes.push_back({ static_cast<double>(keys), size });
    }
    results.push_back(recordSlope("claim memory", "key", "MB", memory));
    results.push_back(recordSlope("claim processor", "claim", "us", processor));
    results.push_back(recordSlope("claim bytes in the log", "claim", "B", bytes));
}

// Size of the messages between an entry node and a pool's home for one request, by the number of prefix hashes.
void measureMessages(json& results)
{
    std::vector<Point> perPrefix;
    for (const int prefixes : { 0, 2, 4, 8 }) {
        SlotRequest slotRequest { 123456789, "log-reader", "entry-check", "organisation-12", 1, 600, 40, 9000, {}, {}, false };
        for (int i = 0; i < prefixes; ++i)
            slotRequest.prefixes.push_back(promptPrefixes(std::string(256, static_cast<char>('a' + i))).at(0));
        const auto bytes = encode(slotRequest).size() + encode(SlotGrant { slotRequest.id, "log-reader-1234", "v12", "" }).size()
            + encode(SlotRelease { slotRequest.id, DispatchOutcome::Completed, 120, 24000, 40, 512 }).size();
        perPrefix.push_back({ static_cast<double>(prefixes), static_cast<double>(bytes) });
    }
    results.push_back(recordSlope("place bytes a request", "prefix hash", "B", perPrefix));
}

} // namespace

int measureSlopes(unsigned seed)
{
    json results = json::array();
    measureMessages(results);
    measureConfiguration(results);
    measureClaims(results);
    measureHome(results);
    measureEntry(results);
    measureIdleNodes(results);
    std::cout << json { { "seed", seed }, { "slopes", results } }.dump(1) << "\n";
    return 0;
}

} // namespace bronzeswitch::measure
