#pragma once

#include <base/Error.h>
#include <base/TimerService.h>
#include <claims/ClaimOwnership.h>
#include <node/Mesh.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bronzeswitch {

/** How an entry node finds a place for a request. */
enum class PlacementPolicy {
    Home, /**< Asks the home of the pool. */
    RoundRobin, /**< Baseline: next upstream, no queue. */
    LeastOutstanding, /**< Baseline: upstream with the fewest requests of this node, no queue. */
};

/** Settings of one node, from flags and environment variables. */
struct Settings {
    std::string node;
    std::string dataCentre;
    std::string address = "127.0.0.1"; /**< IP number that all ports listen on. */
    uint16_t callerPort = 0;
    uint16_t nodePort = 0;
    uint16_t operatorPort = 0;
    std::string logAuthority;
    std::string vmListAuthority;
    std::string weightStoreAuthority;
    Duration drainLimit { 30000 };
    Duration silence { 3000 }; /**< An engine stream without a byte for this long is resumed. */
    int maxTasks = 4096; /**< Caller requests at the same time. */
    int claimPartitions = 4;
    int64_t recordsBetweenSnapshots = 500;
    ClaimTiming claims;
    Duration listLag { 10000 }; /**< A VM of this age is in the platform's list everywhere. */
    PlacementPolicy policy = PlacementPolicy::Home;
    MeshTiming mesh;

    bool operator==(const Settings&) const = default;
};

/** What the command line asks for. */
struct ParsedCommandLine {
    std::optional<Settings> settings; /**< Nothing when only help or the version was asked for. */
    std::string text; /**< Help or version text to print. */
};

/** Looks up an environment variable. @return its value, if it is set. */
using Environment = std::function<std::optional<std::string>(const std::string& name)>;

/**
 * Reads the settings; a flag goes before its environment variable.
 * @param arguments without the program's name.
 * @return the settings or every finding, each with the flag or variable that it belongs to.
 */
tl::expected<ParsedCommandLine, Findings> parseSettings(const std::vector<std::string>& arguments, const Environment&);

/** @return the help text with units and defaults. */
const char* settingsUsage();

} // namespace bronzeswitch
