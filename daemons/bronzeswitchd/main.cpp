// The scheduler's daemon, one on each VM: reads its settings, runs a node, and drains it on SIGTERM or SIGINT.

#include <base/EventLog.h>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <server/Node.h>

namespace {

constexpr int exitUsage = 2;

std::optional<std::string> environmentVariable(const std::string& name)
{
    const char* value = std::getenv(name.c_str());
    return value ? std::optional<std::string>(value) : std::nullopt;
}

sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

int runNode(const bronzeswitch::Settings& settings)
{
    const auto signals = blockStopSignals();
    bronzeswitch::EventLog::enable();
    const auto node = bronzeswitch::Node::create(settings);
    if (!node) {
        std::cerr << "bronzeswitchd: " << node.error().message << "\n";
        return EXIT_FAILURE;
    }
    // Tells the ports to programs that let the kernel choose them.
    std::cout << R"({"caller":)" << (*node)->callerPort() << R"(,"node":)" << (*node)->nodePort() << R"(,"operator":)"
              << (*node)->operatorPort() << "}" << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return (*node)->drain() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    const auto parsed = bronzeswitch::parseSettings({ argv + 1, argv + argc }, environmentVariable);
    if (!parsed) {
        std::cerr << "bronzeswitchd: invalid settings:\n" << bronzeswitch::format(parsed.error());
        return exitUsage;
    }
    if (!parsed->settings) {
        std::cout << parsed->text << "\n";
        return EXIT_SUCCESS;
    }
    return runNode(*parsed->settings);
}
