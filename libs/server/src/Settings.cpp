#include <arpa/inet.h>
#include <charconv>
#include <docopt/docopt.h>
#include <map>
#include <server/Settings.h>

namespace bronzeswitch {

namespace {

constexpr const char* usage = R"(bronzeswitchd: a node of the bronzeswitch request scheduler.

Usage:
  bronzeswitchd [options]
  bronzeswitchd (-h | --help)
  bronzeswitchd --version

Each option can also be set by an environment variable: BRONZESWITCH_ and the
option's name in capitals, such as BRONZESWITCH_LOG_ADDRESS. An option takes
precedence over its variable.

Options:
  -h --help                    Show this text.
  --version                    Show the version.
  --node NAME                  Name of this node, unique in the system. Required.
  --data-centre NAME           Data centre of this node. Required.
  --address IP                 IPv4 address to listen on [default: 127.0.0.1].
  --caller-port PORT           Port for callers, 0 for any free port [default: 8080].
  --node-port PORT             Port for other nodes, 0 for any free port [default: 8081].
  --operator-port PORT         Port for operators, metrics and health, 0 for any free port [default: 8082].
  --log-address IP:PORT        The platform's append-only log. Required.
  --vm-list-address IP:PORT    The platform's VM list. Required.
  --weight-store-address IP:PORT  The platform's weight store. Required.
  --drain-limit SECONDS        Time limit of a graceful shutdown, 1 to 3600 [default: 30].
  --silence MS                 Engine streams that send nothing for this long are resumed, 100 to 600000 [default: 3000].
  --max-tasks COUNT            Limit of concurrent caller requests, 1 to 100000 [default: 4096].
  --claim-partitions COUNT     Partitions of the idempotency keys, the same on every node, 1 to 1024 [default: 4].
  --claim-lease MS             Lease of a key partition's owner, 500 to 600000 [default: 5000].
  --list-lag MS                Time until all nodes see a new VM in the VM list, 0 to 600000 [default: 10000].
  --snapshot-records COUNT     Control records between two snapshots, 10 to 1000000 [default: 500].
  --heartbeat MS               Time between heartbeats to a peer, 10 to 60000 [default: 500].
  --dead-after MS              A peer that is silent for this long counts as dead, 50 to 600000 [default: 2000].
  --policy NAME                home, round-robin or least-outstanding; the last two are baselines for measurements [default: home].
)";

constexpr const char* version = "bronzeswitch 0.1.0";
constexpr int64_t maxPort = 65535;

std::string variableName(const std::string& option)
{
    std::string name = "BRONZESWITCH_";
    for (const char c : option.substr(2))
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

// Reads the options one by one and collects all findings.
class SettingsReader {
public:
    SettingsReader(std::map<std::string, docopt::value> options, const std::vector<std::string>& arguments, const Environment& environment)
        : m_options(std::move(options))
        , m_arguments(arguments)
        , m_environment(environment)
    {
    }

    tl::expected<Settings, Findings> read()
    {
        Settings settings;
        settings.node = required("--node");
        settings.dataCentre = required("--data-centre");
        settings.address = ipAddress("--address");
        settings.callerPort = static_cast<uint16_t>(number("--caller-port", 0, maxPort));
        settings.nodePort = static_cast<uint16_t>(number("--node-port", 0, maxPort));
        settings.operatorPort = static_cast<uint16_t>(number("--operator-port", 0, maxPort));
        settings.logAuthority = authority("--log-address");
        settings.vmListAuthority = authority("--vm-list-address");
        settings.weightStoreAuthority = authority("--weight-store-address");
        settings.drainLimit = std::chrono::seconds(number("--drain-limit", 1, 3600));
        settings.silenceTimeout = Duration(number("--silence", 100, 600000));
        settings.maxTasks = static_cast<int>(number("--max-tasks", 1, 100000));
        settings.claimPartitions = static_cast<int>(number("--claim-partitions", 1, 1024));
        settings.claims.leaseDuration = Duration(number("--claim-lease", 500, 600000));
        settings.listLag = Duration(number("--list-lag", 0, 600000));
        settings.recordsBetweenSnapshots = number("--snapshot-records", 10, 1000000);
        settings.mesh.heartbeatInterval = Duration(number("--heartbeat", 10, 60000));
        settings.mesh.deadAfter = Duration(number("--dead-after", 50, 600000));
        settings.policy = policy("--policy");
        if (settings.mesh.deadAfter < 2 * settings.mesh.heartbeatInterval)
            addFinding("--dead-after", "must be at least twice --heartbeat");
        if (!m_findings.empty())
            return tl::unexpected(m_findings);
        return settings;
    }

private:
    // Returns where an option's value came from: the flag if it was given, else the variable if it is set, else the flag.
    std::string placeOf(const std::string& option) const
    {
        const auto name = variableName(option);
        return !isGiven(option) && m_environment(name) ? name : option;
    }

    bool isGiven(const std::string& option) const
    {
        for (const auto& argument : m_arguments) {
            if (argument == option || argument.starts_with(option + "="))
                return true;
        }
        return false;
    }

    void addFinding(const std::string& option, const std::string& message) { m_findings.push_back({ placeOf(option), message }); }

    std::string text(const std::string& option) const
    {
        if (!isGiven(option)) {
            if (const auto value = m_environment(variableName(option)))
                return *value;
        }
        const auto found = m_options.find(option);
        return found != m_options.end() && found->second.isString() ? found->second.asString() : std::string();
    }

    std::string required(const std::string& option)
    {
        auto value = text(option);
        if (value.empty())
            addFinding(option, "is required; pass it or set " + variableName(option));
        return value;
    }

    std::string ipAddress(const std::string& option)
    {
        auto value = text(option);
        in_addr parsed {};
        if (inet_pton(AF_INET, value.c_str(), &parsed) != 1)
            addFinding(option, "'" + value + "' is not an IPv4 address");
        return value;
    }

    std::string authority(const std::string& option)
    {
        auto value = required(option);
        if (value.empty())
            return value;
        const auto colon = value.rfind(':');
        in_addr parsed {};
        const bool isIp = colon != std::string::npos && inet_pton(AF_INET, value.substr(0, colon).c_str(), &parsed) == 1;
        const auto port = isIp ? parse(value.substr(colon + 1)) : std::nullopt;
        if (!port || *port < 1 || *port > maxPort)
            addFinding(option, "'" + value + "' is not an IPv4 address with a port, such as 127.0.0.1:7000");
        return value;
    }

    static std::optional<int64_t> parse(const std::string& value)
    {
        int64_t result = 0;
        const auto end = value.data() + value.size();
        const auto parsed = std::from_chars(value.data(), end, result);
        return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(result) : std::nullopt;
    }

    int64_t number(const std::string& option, int64_t min, int64_t max)
    {
        const auto value = text(option);
        const auto result = parse(value);
        if (result && *result >= min && *result <= max)
            return *result;
        addFinding(option, "'" + value + "' is not a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return min;
    }

    PlacementPolicy policy(const std::string& option)
    {
        const auto value = text(option);
        if (value == "home")
            return PlacementPolicy::Home;
        if (value == "round-robin")
            return PlacementPolicy::RoundRobin;
        if (value == "least-outstanding")
            return PlacementPolicy::LeastOutstanding;
        addFinding(option, "'" + value + "' is not one of home, round-robin and least-outstanding");
        return PlacementPolicy::Home;
    }

    const std::map<std::string, docopt::value> m_options;
    const std::vector<std::string>& m_arguments;
    const Environment& m_environment;
    Findings m_findings;
};

} // namespace

const char* settingsUsage() { return usage; }

tl::expected<ParsedCommandLine, Findings> parseSettings(const std::vector<std::string>& arguments, const Environment& environment)
{
    for (const auto& argument : arguments) {
        if (argument == "-h" || argument == "--help")
            return ParsedCommandLine { std::nullopt, usage };
        if (argument == "--version")
            return ParsedCommandLine { std::nullopt, version };
    }
    try {
        const auto options = docopt::docopt_parse(usage, arguments, false, false);
        const auto settings = SettingsReader(options, arguments, environment).read();
        if (!settings)
            return tl::unexpected(settings.error());
        return ParsedCommandLine { *settings, "" };
    } catch (const std::exception& error) {
        return tl::unexpected(Findings { { "command line", std::string(error.what()) + "; see --help" } });
    }
}

} // namespace bronzeswitch
