#pragma once

#include <http/HttpServer.h>
#include <infra/VmList.h>
#include <standin/MemoryLog.h>

#include <memory>

namespace bronzeswitch {

/**
 * The services of the platform on one HTTP port, with injectable faults: the log, the VM list and the weight store.
 *
 * POST /faults takes {"log_down", "log_delay_ms", "log_lost_answers", "log_silent", "vms_down", "weights_per_second"};
 * POST /vms replaces the VM list; POST /trim takes {"stream", "first"}.
 */
class PlatformStandin {
public:
    /** @param port 0 lets the kernel pick. */
    static Result<std::unique_ptr<PlatformStandin>> create(uint16_t port = 0);

    ~PlatformStandin();
    PlatformStandin(const PlatformStandin&) = delete;
    PlatformStandin& operator=(const PlatformStandin&) = delete;

    uint16_t port() const { return m_server->port(); }
    std::string authority() const { return "127.0.0.1:" + std::to_string(port()); }
    MemoryLog& log() { return m_log; }

    /** Replaces the VM list. */
    void setVms(std::vector<Vm>);

    /** Makes calls to the log hang without a response, until it is reset. */
    void setLogSilent(bool);

private:
    PlatformStandin() = default;

    void handle(const HttpRequest&, HttpResponder&);
    void handleStream(const HttpRequest&, HttpResponder&);
    void handleVms(const HttpRequest&, HttpResponder&);
    void handleTicket(HttpResponder&);
    void handleFaults(const HttpRequest&, HttpResponder&);

    MemoryLog m_log;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Vm> m_vms;
    bool m_isLogSilent = false;
    bool m_isVmListDown = false;
    bool m_isStopping = false;
    double m_ticketsPerSecond = 1000; // Rate limit of the weight store.
    std::chrono::steady_clock::time_point m_nextTicketTime {};
    int m_ticketCount = 0;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace bronzeswitch
