// Runs one stand-in for the platform, an engine or a service until SIGTERM or SIGINT, for the demo and for manual tests.

#include <csignal>
#include <docopt/docopt.h>
#include <iostream>
#include <standin/EngineStandin.h>
#include <standin/PlatformStandin.h>
#include <standin/ServiceStandin.h>

namespace {

using namespace bronzeswitch;
using Arguments = std::map<std::string, docopt::value>;

constexpr const char* usage = R"(bronzeswitch-standin: simulates the platform, an engine or a service; keeps all state in memory.

Usage:
  bronzeswitch-standin platform [--port PORT]
  bronzeswitch-standin engine [--port PORT] [--model-version NAME] [--slots COUNT] [--step-ms MS] [--report-lag MS] [--ignore-fencing]
  bronzeswitch-standin service [--port PORT]
  bronzeswitch-standin (-h | --help)

Options:
  -h --help             Show this text.
  --port PORT           Port on 127.0.0.1; 0 lets the kernel pick [default: 0].
  --model-version NAME  Model version that the engine runs [default: v1].
  --slots COUNT         Largest number of requests in a batch [default: 16].
  --step-ms MS          Duration of a decode step in milliseconds [default: 8].
  --report-lag MS       Largest age of load reports in milliseconds [default: 0].
  --ignore-fencing      Accept orders with an outdated fencing number.
)";

constexpr int exitUsage = 2;

// Prints the port and blocks until a stop signal arrives.
int waitForStop(const sigset_t& signals, uint16_t port)
{
    std::cout << R"({"port":)" << port << "}" << std::endl;
    int receivedSignal = 0;
    sigwait(&signals, &receivedSignal);
    return EXIT_SUCCESS;
}

template <typename Standin> int serve(const Result<std::unique_ptr<Standin>>& standin, const sigset_t& signals)
{
    if (standin)
        return waitForStop(signals, (*standin)->port());
    std::cerr << "bronzeswitch-standin: " << standin.error().message << "\n";
    return EXIT_FAILURE;
}

EngineStandin::Options engineOptions(const Arguments& arguments, uint16_t port)
{
    EngineStandin::Options options;
    options.port = port;
    options.version = arguments.at("--model-version").asString();
    options.engine.slots = static_cast<int>(arguments.at("--slots").asLong());
    options.engine.stepMs = std::stod(arguments.at("--step-ms").asString());
    options.reportLag = std::chrono::milliseconds(arguments.at("--report-lag").asLong());
    options.checksFencing = !arguments.at("--ignore-fencing").asBool();
    return options;
}

int run(const Arguments& arguments, const sigset_t& signals)
{
    const auto port = static_cast<uint16_t>(arguments.at("--port").asLong());
    if (arguments.at("platform").asBool())
        return serve(PlatformStandin::create(port), signals);
    if (arguments.at("service").asBool())
        return serve(ServiceStandin::create(port), signals);
    return serve(EngineStandin::create(engineOptions(arguments, port)), signals);
}

} // namespace

int main(int argc, char** argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    for (const auto& argument : arguments) {
        if (argument == "-h" || argument == "--help") {
            std::cout << usage;
            return EXIT_SUCCESS;
        }
    }
    try {
        return run(docopt::docopt_parse(usage, arguments, false, false), signals);
    } catch (const std::exception& error) {
        std::cerr << "bronzeswitch-standin: wrong usage, see --help: " << error.what() << "\n";
        return exitUsage;
    }
}
