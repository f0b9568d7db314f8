#include <array>
#include <csignal>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <testkit/NodeProcess.h>
#include <unistd.h>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace bronzeswitch {

namespace {

std::string readLine(int descriptor)
{
    std::string line;
    char character = 0;
    while (read(descriptor, &character, 1) == 1 && character != '\n')
        line += character;
    return line;
}

std::vector<char*> argumentPointers(std::vector<std::string>& arguments)
{
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (auto& argument : arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

Result<std::unique_ptr<NodeProcess>> NodeProcess::start(
    const std::string& name, const std::vector<std::string>& arguments, const std::string& logFile)
{
    std::array<int, 2> output {};
    if (pipe2(output.data(), O_CLOEXEC) != 0)
        return fail(ErrorCode::Unavailable, "the output pipe of the node could not be created");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    constexpr int logMode = 0644;
    posix_spawn_file_actions_addopen(
        &actions, STDERR_FILENO, logFile.empty() ? "/dev/null" : logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, logMode);
    std::vector<std::string> all { BRONZESWITCHD_PATH, "--node", name, "--caller-port", "0", "--node-port", "0", "--operator-port", "0" };
    all.insert(all.end(), arguments.begin(), arguments.end());
    auto pointers = argumentPointers(all);
    std::unique_ptr<NodeProcess> process(new NodeProcess());
    const int result = posix_spawn(&process->m_processId, BRONZESWITCHD_PATH, &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(output[1]);
    const auto line = result == 0 ? readLine(output[0]) : std::string();
    close(output[0]);
    const auto ports = nlohmann::json::parse(line, nullptr, false);
    if (!ports.is_object())
        return fail(ErrorCode::Unavailable, "node " + name + " did not start");
    process->m_name = name;
    process->m_callerPort = ports.value("caller", 0);
    process->m_nodePort = ports.value("node", 0);
    process->m_operatorPort = ports.value("operator", 0);
    return process;
}

NodeProcess::~NodeProcess() { kill(); }

void NodeProcess::signal(int number) const
{
    if (m_processId > 0)
        ::kill(m_processId, number);
}

void NodeProcess::kill()
{
    if (m_processId <= 0)
        return;
    signal(SIGKILL);
    wait();
}

int NodeProcess::wait()
{
    if (m_processId <= 0)
        return -1;
    int status = 0;
    waitpid(m_processId, &status, 0);
    m_processId = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace bronzeswitch
