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

// The two-year target and what follows from it.
struct Target {
    double nodes = 430;
    double dataCentres = 14;
    double engines = 12000;
    double requests = 7500;
    double tokens = 3e6;
    double models = 25;
    double changesADay = 11000;
    double restartsADay = 3300;
    double claimShare = 0.1; // Share of requests that carry a key and may not be repeated; stated, not measured.
    double claimPartitions = 64;
    double claimValiditySeconds = 3600;
    double prefixes = 4;

    double nodesPerCentre() const { return nodes / dataCentres; }
    double requestsPerNode() const { return requests / nodes; }
    double tokensPerNode() const { return tokens / nodes; }
    double poolsPerNode() const { return models * dataCentres / nodes; }
    double enginesPerPool() const { return engines / (models * dataCentres); }
    double claimsPerSecond() const { return requests * claimShare; }
};

struct Slopes {
    std::map<std::string, json> byName;

    double intercept(const std::string& name) const { return byName.at(name)["intercept"]; }
    double slope(const std::string& name) const { return byName.at(name)["slope"]; }
    double at(const std::string& name, double x) const { return intercept(name) + slope(name) * x; }
};

std::string judged(double value, double bound, int decimals, const std::string& unit)
{
    return format(value, decimals) + " " + unit + (value > bound ? " **over**" : "");
}

void printControlRows(const Slopes& slopes, const Target& target)
{
    constexpr double secondsADay = 86400;
    const double peers = target.nodesPerCentre() - 1;
    const double meshBytes = slopes.at("mesh bytes a second", peers);
    const double placeBytes = slopes.at("place bytes a request", target.prefixes) * target.requestsPerNode();
    const double changesPerSecond = target.changesADay / secondsADay;
    const double changeBytes = changesPerSecond * 400;
    const double claimBytes = slopes.slope("claim bytes in the log") * target.claimsPerSecond() / target.nodes * 2;
    printRow({ "member (links within the data centre)",
        "mesh bytes = " + format(slopes.intercept("mesh bytes a second"), 1) + " + " + format(slopes.slope("mesh bytes a second"), 1)
            + " x peers",
        format(peers, 1) + " peers", judged(meshBytes, 4096, 0, "B/s") });
    printRow({ "entry and home (ask, grant, done)", "bytes = place bytes x requests a node",
        format(target.requestsPerNode(), 1) + " requests/s", judged(placeBytes, 4096, 0, "B/s") });
    printRow({ "configuration reader", "bytes = changes a second x 400 B", format(changesPerSecond, 3) + " changes/s",
        judged(changeBytes, 4096, 0, "B/s") });
    printRow({ "claim owner (append and read back, spread over the nodes)", "bytes = claim bytes x claims a second / nodes x 2",
        format(target.claimsPerSecond(), 0) + " claims/s in all", judged(claimBytes, 4096, 0, "B/s") });
    printRow(
        { "**control bytes a node, all roles**", "sum", "", judged(meshBytes + placeBytes + changeBytes + claimBytes, 4096, 0, "B/s") });
}

void printProcessorRows(const Slopes& slopes, const Target& target)
{
    constexpr double microsecondsPerPercent = 1e4;
    constexpr double secondsADay = 86400;
    const double peers = target.nodesPerCentre() - 1;
    const double mesh = slopes.at("idle node processor", peers);
    const double home
        = slopes.at("home processor a place by engines", target.enginesPerPool()) * target.requestsPerNode() / microsecondsPerPercent;
    const double changes
        = slopes.at("configuration processor a change", target.engines) * 1000 * target.changesADay / secondsADay / microsecondsPerPercent;
    const double claims = slopes.slope("claim processor") * target.claimsPerSecond() / target.nodes / microsecondsPerPercent;
    printRow({ "member, log reader and housekeeping",
        "processor = " + format(slopes.intercept("idle node processor"), 2) + " + " + format(slopes.slope("idle node processor"), 3)
            + " x peers",
        format(peers, 1) + " peers", judged(mesh, 1.7, 2, "% of a core") });
    printRow({ "home of a pool",
        "processor = (" + format(slopes.intercept("home processor a place by engines"), 1) + " + "
            + format(slopes.slope("home processor a place by engines"), 2) + " x engines of the pool) us x requests a node",
        format(target.enginesPerPool(), 0) + " engines, " + format(target.requestsPerNode(), 1) + " requests/s",
        judged(home, 1.7, 2, "% of a core") });
    printRow({ "configuration reader",
        "processor = " + format(slopes.slope("configuration processor a change") * 1000, 2) + " us x upstreams x changes a second",
        format(target.engines, 0) + " upstreams", judged(changes, 1.7, 2, "% of a core") });
    printRow({ "claim owner", "processor = " + format(slopes.slope("claim processor"), 1) + " us x claims a second / nodes",
        format(target.claimsPerSecond() / target.nodes, 2) + " claims/s", judged(claims, 1.7, 3, "% of a core") });
    printRow({ "**control processor a node, all roles**", "sum", "", judged(mesh + home + changes + claims, 1.7, 2, "% of a core") });
    const double perToken = slopes.slope("entry processor a request by its tokens");
    const double perRequest = slopes.slope("entry processor by requests");
    printRow({ "entry, traffic (not control)",
        "processor = " + format(perToken, 1) + " us x tokens + " + format(perRequest, 0) + " us x requests",
        format(target.tokensPerNode(), 0) + " tokens/s, " + format(target.requestsPerNode(), 1) + " requests/s",
        format((perToken * target.tokensPerNode() + perRequest * target.requestsPerNode()) / microsecondsPerPercent, 1) + " % of a core" });
}

void printMemoryRows(const Slopes& slopes, const Target& target)
{
    const double peers = target.nodesPerCentre() - 1;
    const double node = slopes.at("idle node memory", peers);
    const double configuration = slopes.at("configuration memory", target.engines);
    const double home = slopes.at("home memory", target.enginesPerPool()) * std::max(1.0, target.poolsPerNode());
    const double keys = target.claimsPerSecond() * target.claimValiditySeconds / target.claimPartitions;
    const double claims = std::max(0.0, slopes.at("claim memory", keys));
    printRow({ "process with its links",
        "memory = " + format(slopes.intercept("idle node memory"), 1) + " + " + format(slopes.slope("idle node memory"), 3) + " x peers",
        format(peers, 1) + " peers", judged(node, 128, 1, "MB") });
    printRow({ "configuration reader", "memory = " + format(slopes.slope("configuration memory") * 1024, 2) + " KB x upstreams",
        format(target.engines, 0) + " upstreams", judged(configuration, 128, 1, "MB") });
    printRow(
        { "home of a pool", "memory by engines of the pool", format(target.enginesPerPool(), 0) + " engines", judged(home, 128, 2, "MB") });
    printRow({ "claim owner", "memory = " + format(slopes.slope("claim memory") * 1024, 2) + " KB x keys of a partition",
        format(keys, 0) + " keys", judged(claims, 128, 1, "MB") });
    printRow({ "**control memory of a node, all roles**", "sum", "", judged(node + configuration + home + claims, 128, 1, "MB") });
}

void printLogRows(const Slopes& slopes, const Target& target)
{
    constexpr double secondsADay = 86400;
    constexpr double renewalsPerSecond = 0.6;
    constexpr double commitsPerSecond = 3; // A partition commits what came in while its last append was on its way.
    const double claims = target.claimPartitions * (renewalsPerSecond + commitsPerSecond);
    const double changes = target.changesADay / secondsADay;
    printRow({ "claim partitions", format(target.claimPartitions, 0) + " partitions x (0.6 renewals + at most 3 group commits a second)",
        "", judged(claims, 300, 0, "appends/s") });
    printRow({ "configuration, rollout steps, leases", "changes a day / 86400, plus steps and renewals", "",
        judged(changes + 2, 300, 1, "appends/s") });
    printRow({ "snapshots of the ledger", "one for every 500 records", format(slopes.at("snapshot size", target.engines), 1) + " MB each",
        judged((changes + 2) / 500, 300, 4, "appends/s") });
    printRow({ "**all appends**", "sum", "", judged(claims + changes + 2, 300, 0, "appends/s") });
    printRow({ "reads of the control stream", "nodes x 1 long poll a second", "", judged(target.nodes, 300, 0, "reads/s") });
    printRow({ "restarts", "restarts a day x snapshot size / 86400", "",
        format(target.restartsADay * slopes.at("snapshot size", target.engines) / secondsADay * 1024, 0)
            + " KB/s from the log or peers, in all" });
}

// A site of the first users: nine nodes that all link to each other, twelve engines of one model, four claim partitions.
Target todaySite()
{
    Target today;
    today.nodes = 9;
    today.dataCentres = 1;
    today.engines = 12;
    today.requests = 60;
    today.tokens = 2500;
    today.models = 1;
    today.changesADay = 50;
    today.restartsADay = 18;
    today.claimPartitions = 4;
    return today;
}

void printTarget(const std::string& title, const Slopes& slopes, const Target& target)
{
    std::cout << "\n### " << title << "\n\n"
              << "Bound: 4096 B/s, 1.7 % of a core and 128 MB a node for control; the log is taken to carry 300 appends a second.\n\n";
    printHeader({ "role", "formula", "at this size", "result" });
    printControlRows(slopes, target);
    printProcessorRows(slopes, target);
    printMemoryRows(slopes, target);
    printLogRows(slopes, target);
}

} // namespace

int printCapacity(const std::string& file)
{
    std::ifstream stream(file);
    const auto recorded = json::parse(stream, nullptr, false);
    if (!recorded.is_object()) {
        std::cerr << file << " holds no recorded slopes\n";
        return 1;
    }
    Slopes slopes;
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
    printTarget("Today (one site)", slopes, todaySite());
    printTarget("At the two-year size", slopes, Target());
    return 0;
}

} // namespace bronzeswitch::measure
