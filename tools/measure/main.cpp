// Measures real nodes on loopback against stand-ins and prints Markdown tables or, for slopes, JSON.

#include "Rollouts.h"
#include "Scheduling.h"
#include "Slopes.h"

#include <csignal>
#include <docopt/docopt.h>
#include <iostream>

namespace {

constexpr const char* usage = R"(bronzeswitch-measure: measures the system on loopback.

Usage:
  bronzeswitch-measure scheduling [--user NAME] [--scenario NAME] [--policies LIST] [--seconds S] [--seed N]
  bronzeswitch-measure rollouts [--repeats N] [--kind NAME] [--seed N]
  bronzeswitch-measure faults [--outage S] [--seed N]
  bronzeswitch-measure slopes [--seed N]
  bronzeswitch-measure capacity FILE
  bronzeswitch-measure (-h | --help)

Options:
  -h --help          Show this text.
  --user NAME        engrasadora, uzwj or both [default: both].
  --scenario NAME    One scenario, or all [default: all].
  --policies LIST    Scheduling policies, separated by commas, baselines first [default: round-robin,least-outstanding,home].
  --seconds S        Length of a run in seconds [default: 10].
  --repeats N        Rollouts of each kind of version [default: 3].
  --kind NAME        One kind of version, or all [default: all].
  --outage S         Length of the log's outage in seconds [default: 60].
  --seed N           Seed of the random traffic [default: 20261204].
)";

constexpr int exitUsage = 2;

} // namespace

int main(int argc, char** argv)
{
    signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    for (const auto& argument : arguments) {
        if (argument == "-h" || argument == "--help") {
            std::cout << usage;
            return 0;
        }
    }
    try {
        const auto options = docopt::docopt_parse(usage, arguments, false, false);
        const auto seconds = std::stod(options.at("--seconds").asString());
        const auto seed = static_cast<unsigned>(options.at("--seed").asLong());
        if (options.at("rollouts").asBool())
            return bronzeswitch::measure::measureRollouts(
                static_cast<int>(options.at("--repeats").asLong()), options.at("--kind").asString(), seed);
        if (options.at("slopes").asBool())
            return bronzeswitch::measure::measureSlopes(seed);
        if (options.at("capacity").asBool())
            return bronzeswitch::measure::printCapacity(options.at("FILE").asString());
        if (options.at("faults").asBool())
            return bronzeswitch::measure::measureFaults(std::stod(options.at("--outage").asString()), seed);
        return bronzeswitch::measure::measureScheduling(
            options.at("--user").asString(), options.at("--scenario").asString(), options.at("--policies").asString(), seconds, seed);
    } catch (const std::exception& error) {
        std::cerr << "bronzeswitch-measure: " << error.what() << "; see --help\n";
        return exitUsage;
    }
}
