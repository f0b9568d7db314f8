#include "LoadCodec.h"

#include <algorithm>
#include <cmath>

namespace bronzeswitch {

namespace {

constexpr double percentOfUsual = 100;
constexpr double microsecondsPerMillisecond = 1000;

} // namespace

NodeLoad toNodeLoad(const UpstreamLoad& load)
{
    NodeLoad result { load.running, load.backlogMs / millisecondsPerSecond, load.betweenTokensUs / microsecondsPerMillisecond,
        load.heldTokens };
    if (load.pacePercent > 0)
        result.pace = PaceEstimate::Report { load.pacePercent / percentOfUsual, Duration(std::max(0, load.paceAgeMs)) };
    for (std::size_t level = 0; level < std::min(load.serviceUs.size(), result.serviceMs.size()); ++level)
        result.serviceMs.at(level) = std::max(0, load.serviceUs[level]) / microsecondsPerMillisecond;
    return result;
}

void addEstimates(UpstreamLoad& entry, const NodeLoad& load)
{
    entry.backlogMs = static_cast<int>(load.backlogSeconds * millisecondsPerSecond);
    entry.betweenTokensUs = static_cast<int>(load.betweenTokensMs * microsecondsPerMillisecond);
    if (load.pace) {
        entry.pacePercent = static_cast<int>(std::lround(load.pace->pace * percentOfUsual));
        entry.paceAgeMs = static_cast<int>(load.pace->age.count());
    }
    if (load.serviceMs == CapacityEstimate::Levels {})
        return;
    for (const double time : load.serviceMs)
        entry.serviceUs.push_back(static_cast<int>(std::lround(time * microsecondsPerMillisecond)));
}

} // namespace bronzeswitch
