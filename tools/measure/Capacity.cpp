#include "LoadGenerator.h"
#include "Slopes.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace bronzeswitch::measure {

namespace {

using nlohmann::json;

// Size of a deployment, and the load per node and pool that follows from it. The defaults are the target in two years.
struct SystemSize {
    double nodes = 430;
    double dataCentres = 14;
    double engines = 12000;
    double requestsPerSecond = 7500;
    double tokensPerSecond = 3e6;
    double models = 25;
    double changesPerDay = 11000;
    double restartsPerDay = 3300;
    double claimShare = 0.1; // Share of requests that carry an idempotency key and are not idempotent. A given figure, not a measured one.
    double claimPartitions = 64;
    double claimValiditySeconds = 3600;
    double prefixHashes = 4;

    double nodesPerDataCentre() const { return nodes / dataCentres; }
    double requestsPerNode() const { return requestsPerSecond / nodes; }
    double tokensPerNode() const { return tokensPerSecond / nodes; }
    double poolsPerNode() const { return models * dataCentres / nodes; }
    double enginesPerPool() const { return engines / (models * dataCentres); }
    double claimsPerSecond() const { return requestsPerSecond * claimShare; }
};

// Recorded lines by name; at() is the value of a line at x.
struct RecordedSlopes {
    std::map<std::string, json> byName;

    double intercept(const std::string& name) const { return byName.at(name)["intercept"]; }
    double slope(const std::string& name) const { return byName.at(name)["slope"]; }
    double at(const std::string& name, double x) const { return intercept(name) + slope(name) * x; }
};

std::string formatAgainstLimit(double value, double limit, int decimals, const std::string& unit)
{
    return format(value, decimals) + " " + unit + (value > limit ? " **over**" : "");
}

void printControlRows(const RecordedSlopes& slopes, const SystemSize& size)
{
    constexpr double secondsPerDay = 86400;
    const double peers = size.nodesPerDataCentre() - 1;
    const double meshBytes = slopes.at("mesh bytes a second", peers);
    const double slotMessageBytes = slopes.at("place bytes a request", size.prefixHashes) * size.requestsPerNode();
    const double changesPerSecond = size.changesPerDay / secondsPerDay;
    const double changeBytes = changesPerSecond * 400;
    const double claimBytes = slopes.slope("claim bytes in the log") * size.claimsPerSecond() / size.nodes * 2;
    printRow({ "member (links within the data centre)",
        "mesh bytes = " + format(slopes.intercept("mesh bytes a second"), 1) + " + " + format(slopes.slope("mesh bytes a second"), 1)
            + " x peers",
        format(peers, 1) + " peers", formatAgainstLimit(meshBytes, 4096, 0, "B/s") });
    printRow({ "entry and home (ask, grant, done)", "bytes = place bytes x requests a node",
        format(size.requestsPerNode(), 1) + " requests/s", formatAgainstLimit(slotMessageBytes, 4096, 0, "B/s") });
    printRow({ "configuration reader", "bytes = changes a second x 400 B", format(changesPerSecond, 3) + " changes/s",
        formatAgainstLimit(changeBytes, 4096, 0, "B/s") });
    printRow({ "claim owner (append and read back, spread over the nodes)", "bytes = claim bytes x claims a second / nodes x 2",
        format(size.claimsPerSecond(), 0) + " claims/s in all", formatAgainstLimit(claimBytes, 4096, 0, "B/s") });
    printRow({ "**control bytes a node, all roles**", "sum", "",
        formatAgainstLimit(meshBytes + slotMessageBytes + changeBytes + claimBytes, 4096, 0, "B/s") });
}

void printProcessorRows(const RecordedSlopes& slopes, const SystemSize& size)
{
    constexpr double microsecondsPerPercent = 1e4;
    constexpr double secondsPerDay = 86400;
    const double peers = size.nodesPerDataCentre() - 1;
    const double idlePercent = slopes.at("idle node processor", peers);
    const double homePercent
        = slopes.at("home processor a place by engines", size.enginesPerPool()) * size.requestsPerNode() / microsecondsPerPercent;
    const double configurationPercent
        = slopes.at("configuration processor a change", size.engines) * 1000 * size.changesPerDay / secondsPerDay / microsecondsPerPercent;
    const double claimPercent = slopes.slope("claim processor") * size.claimsPerSecond() / size.nodes / microsecondsPerPercent;
    printRow({ "member, log reader and housekeeping",
        "processor = " + format(slopes.intercept("idle node processor"), 2) + " + " + format(slopes.slope("idle node processor"), 3)
            + " x peers",
        format(peers, 1) + " peers", formatAgainstLimit(idlePercent, 1.7, 2, "% of a core") });
    printRow({ "home of a pool",
        "processor = (" + format(slopes.intercept("home processor a place by engines"), 1) + " + "
            + format(slopes.slope("home processor a place by engines"), 2) + " x engines of the pool) us x requests a node",
        format(size.enginesPerPool(), 0) + " engines, " + format(size.requestsPerNode(), 1) + " requests/s",
        formatAgainstLimit(homePercent, 1.7, 2, "% of a core") });
    printRow({ "configuration reader",
        "processor = " + format(slopes.slope("configuration processor a change") * 1000, 2) + " us x upstreams x changes a second",
        format(size.engines, 0) + " upstreams", formatAgainstLimit(configurationPercent, 1.7, 2, "% of a core") });
    printRow({ "claim owner", "processor = " + format(slopes.slope("claim processor"), 1) + " us x claims a second / nodes",
        format(size.claimsPerSecond() / size.nodes, 2) + " claims/s", formatAgainstLimit(claimPercent, 1.7, 3, "% of a core") });
    printRow({ "**control processor a node, all roles**", "sum", "",
        formatAgainstLimit(idlePercent + homePercent + configurationPercent + claimPercent, 1.7, 2, "% of a core") });
    const double microsecondsPerToken = slopes.slope("entry processor a request by its tokens");
    const double microsecondsPerRequest = slopes.slope("entry processor by requests");
    printRow({ "entry, traffic (not control)",
        "processor = " + format(microsecondsPerToken, 1) + " us x tokens + " + format(microsecondsPerRequest, 0) + " us x requests",
        format(size.tokensPerNode(), 0) + " tokens/s, " + format(size.requestsPerNode(), 1) + " requests/s",
        format((microsecondsPerToken * size.tokensPerNode() + microsecondsPerRequest * size.requestsPerNode()) / microsecondsPerPercent, 1)
            + " % of a core" });
}

void printMemoryRows(const RecordedSlopes& slopes, const SystemSize& size)
{
    const double peers = size.nodesPerDataCentre() - 1;
    const double nodeMegabytes = slopes.at("idle node memory", peers);
    const double configurationMegabytes = slopes.at("configuration memory", size.engines);
    const double homeMegabytes = slopes.at("home memory", size.enginesPerPool()) * std::max(1.0, size.poolsPerNode());
    const double keysPerPartition = size.claimsPerSecond() * size.claimValiditySeconds / size.claimPartitions;
    const double claimMegabytes = std::max(0.0, slopes.at("claim memory", keysPerPartition));
    printRow({ "process with its links",
        "memory = " + format(slopes.intercept("idle node memory"), 1) + " + " + format(slopes.slope("idle node memory"), 3) + " x peers",
        format(peers, 1) + " peers", formatAgainstLimit(nodeMegabytes, 128, 1, "MB") });
    printRow({ "configuration reader", "memory = " + format(slopes.slope("configuration memory") * 1024, 2) + " KB x upstreams",
        format(size.engines, 0) + " upstreams", formatAgainstLimit(configurationMegabytes, 128, 1, "MB") });
    printRow({ "home of a pool", "memory by engines of the pool", format(size.enginesPerPool(), 0) + " engines",
        formatAgainstLimit(homeMegabytes, 128, 2, "MB") });
    printRow({ "claim owner", "memory = " + format(slopes.slope("claim memory") * 1024, 2) + " KB x keys of a partition",
        format(keysPerPartition, 0) + " keys", formatAgainstLimit(claimMegabytes, 128, 1, "MB") });
    printRow({ "**control memory of a node, all roles**", "sum", "",
        formatAgainstLimit(nodeMegabytes + configurationMegabytes + homeMegabytes + claimMegabytes, 128, 1, "MB") });
}

void printLogRows(const RecordedSlopes& slopes, const SystemSize& size)
{
    constexpr double secondsPerDay = 86400;
    constexpr double renewalsPerSecond = 0.6;
    constexpr double commitsPerSecond = 3; // A partition commits as a group what arrived during its last append.
    const double claimAppendsPerSecond = size.claimPartitions * (renewalsPerSecond + commitsPerSecond);
    const double changesPerSecond = size.changesPerDay / secondsPerDay;
    printRow({ "claim partitions", format(size.claimPartitions, 0) + " partitions x (0.6 renewals + at most 3 group commits a second)", "",
        formatAgainstLimit(claimAppendsPerSecond, 300, 0, "appends/s") });
    printRow({ "configuration, rollout steps, leases", "changes a day / 86400, plus steps and renewals", "",
        formatAgainstLimit(changesPerSecond + 2, 300, 1, "appends/s") });
    printRow({ "snapshots of the ledger", "one for every 500 records", format(slopes.at("snapshot size", size.engines), 1) + " MB each",
        formatAgainstLimit((changesPerSecond + 2) / 500, 300, 4, "appends/s") });
    printRow({ "**all appends**", "sum", "", formatAgainstLimit(claimAppendsPerSecond + changesPerSecond + 2, 300, 0, "appends/s") });
    printRow({ "reads of the control stream", "nodes x 1 long poll a second", "", formatAgainstLimit(size.nodes, 300, 0, "reads/s") });
    printRow({ "restarts", "restarts a day x snapshot size / 86400", "",
        format(size.restartsPerDay * slopes.at("snapshot size", size.engines) / secondsPerDay * 1024, 0)
            + " KB/s from the log or peers, in all" });
}

// A site of one of the first users: nine nodes that are all connected to each other, twelve engines of one model, four claim partitions.
SystemSize currentSize()
{
    SystemSize size;
    size.nodes = 9;
    size.dataCentres = 1;
    size.engines = 12;
    size.requestsPerSecond = 60;
    size.tokensPerSecond = 2500;
    size.models = 1;
    size.changesPerDay = 50;
    size.restartsPerDay = 18;
    size.claimPartitions = 4;
    return size;
}

void printTables(const std::string& title, const RecordedSlopes& slopes, const SystemSize& size)
{
    std::cout << "\n### " << title << "\n\n"
              << "Bound: 4096 B/s, 1.7 % of a core and 128 MB a node for control; the log is taken to carry 300 appends a second.\n\n";
    printHeader({ "role", "formula", "at this size", "result" });
    printControlRows(slopes, size);
    printProcessorRows(slopes, size);
    printMemoryRows(slopes, size);
    printLogRows(slopes, size);
}

} // namespace

int printCapacity(const std::string& file)
{
    std::ifstream stream(file);
    const auto recorded = json::parse(stream, nullptr, false);
    if (!recorded.is_object()) {
        std::cerr << file << " does not contain recorded slopes\n";
        return 1;
    }
    RecordedSlopes slopes;
    for (const auto& slope : recorded["slopes"])
        slopes.byName[slope["name"]] = slope;
    std::cout << "### Measured slopes\n\n";
    printHeader({ "what", "driver", "sizes", "at 0", "for each", "unit", "r2" });
    for (const auto& slope : recorded["slopes"]) {
        std::string sizes;
        for (const auto& point : slope["points"])
            sizes += (sizes.empty() ? "" : ", ") + format(point[0], 0);
        printRow({ slope["name"], slope["driver"], sizes, format(slope["intercept"], 3), format(slope["slope"], 6), slope["unit"],
            format(slope["r2"], 3) });
    }
    printTables("Today (one site)", slopes, currentSize());
    printTables("At the two-year size", slopes, SystemSize());
    return 0;
}

} // namespace bronzeswitch::measure
