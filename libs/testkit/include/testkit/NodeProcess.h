#pragma once

#include <base/Error.h>

#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace bronzeswitch {

/** A bronzeswitchd process for system tests and measurements. It is killed when the object is destroyed. */
class NodeProcess {
public:
    /**
     * Starts bronzeswitchd on ports that the kernel picks and waits until it has reported them.
     * @param name the node's name. @param arguments further command-line arguments. @param logFile receives standard error; empty discards
     * it.
     */
    static Result<std::unique_ptr<NodeProcess>> start(
        const std::string& name, const std::vector<std::string>& arguments, const std::string& logFile = {});

    ~NodeProcess();
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;

    const std::string& name() const { return m_name; }
    pid_t processId() const { return m_processId; }
    std::string callerAuthority() const { return authority(m_callerPort); }
    std::string nodeAuthority() const { return authority(m_nodePort); }
    std::string operatorAuthority() const { return authority(m_operatorPort); }

    /** Sends a signal to the process, if it is running. */
    void signal(int number) const;

    /** Ends the process with SIGKILL, as a crash would, and waits for its end. */
    void kill();

    /** Waits for the end of the process. @return its exit code, or -1 if a signal ended it or it was not running. */
    int wait();

    bool isRunning() const { return m_processId > 0; }

private:
    NodeProcess() = default;

    static std::string authority(int port) { return "127.0.0.1:" + std::to_string(port); }

    std::string m_name;
    pid_t m_processId = -1;
    int m_callerPort = 0;
    int m_nodePort = 0;
    int m_operatorPort = 0;
};

} // namespace bronzeswitch
