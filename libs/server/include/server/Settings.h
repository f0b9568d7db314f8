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

/** How the node that received a request chooses the upstream for it. */
enum class PlacementPolicy {
    Home, /**< The home of the pool chooses, and queues the request if necessary. */
    RoundRobin, /**< Baseline for measurements: the next upstream in turn, without a queue. */
    LeastOutstanding, /**< Baseline: the upstream with the fewest requests of this node, without a queue. */
};

/** Settings of one node, from the command line and environment variables. */
struct Settings {
    std::string node; /**< Name of this node, unique in the system. */
    std::string dataCentre;
    std::string address = "127.0.0.1"; /**< IPv4 address that all ports listen on. */
    uint16_t callerPort = 0; /**< Ports: 0 lets the kernel choose one. */
    uint16_t nodePort = 0;
    uint16_t operatorPort = 0;
    std::string logAuthority; /**< Authorities are "address:port" of a service of the platform. */
    std::string vmListAuthority;
    std::string weightStoreAuthority;
    Duration drainLimit { 30000 };
    Duration silenceTimeout { 3000 }; /**< An engine's stream that sends nothing for this long is resumed. */
    int maxTasks = 4096; /**< Limit of concurrent caller requests. */
    int claimPartitions = 4; /**< Partitions of the idempotency keys. Must be the same on every node. */
    int64_t recordsBetweenSnapshots = 500; /**< Of the control stream. */
    ClaimTiming claims;
    Duration listLag { 10000 }; /**< A VM that has run for this long is in the VM list that every node reads. */
    PlacementPolicy policy = PlacementPolicy::Home;
    MeshTiming mesh;

    bool operator==(const Settings&) const = default;
};

/** Result of parsing a valid command line. */
struct ParsedCommandLine {
    std::optional<Settings> settings; /**< Unset if the help or the version was requested. */
    std::string text; /**< Help or version to print, else empty. */
};

/** Looks up an environment variable. @return its value, or nothing if it is not set. */
using Environment = std::function<std::optional<std::string>(const std::string& name)>;

/**
 * Parses the settings. A flag takes precedence over its environment variable.
 * @param arguments the command line without the program's name.
 * @return the settings, or all findings, each with the flag or variable that it refers to.
 */
tl::expected<ParsedCommandLine, Findings> parseSettings(const std::vector<std::string>& arguments, const Environment&);

/** @return the help text, which states units and defaults. */
const char* settingsUsage();

} // namespace bronzeswitch
