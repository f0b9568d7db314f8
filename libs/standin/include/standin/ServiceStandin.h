#pragma once

#include <http/HttpServer.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>

namespace bronzeswitch {

/** Faults that a service stand-in injects. */
struct ServiceFaults {
    bool loseAnswers = false; /**< Runs the request and sends no response on the open connection. */
    bool fail = false; /**< Runs the request and responds with status 500. */
    std::chrono::milliseconds delay { 0 }; /**< Delay of each response. */

    bool operator==(const ServiceFaults&) const = default;
};

/**
 * A simulated service over HTTP that counts how often it ran the request of each idempotency key.
 *
 * Each path except /load, /counts and /faults runs the request. GET /counts returns the counts. POST /faults takes {"lose_answers", "fail",
 * "delay_ms"}.
 */
class ServiceStandin {
public:
    /** Starts the HTTP server on 127.0.0.1. @param port 0 lets the kernel pick. */
    static Result<std::unique_ptr<ServiceStandin>> create(uint16_t port = 0);

    ~ServiceStandin();
    ServiceStandin(const ServiceStandin&) = delete;
    ServiceStandin& operator=(const ServiceStandin&) = delete;

    uint16_t port() const { return m_server->port(); }
    std::string authority() const { return "127.0.0.1:" + std::to_string(port()); }

    /** Replaces the injected faults. */
    void setFaults(const ServiceFaults&);

    /** @return the number of runs by idempotency key. */
    std::map<std::string, int> runCounts() const;

private:
    ServiceStandin() = default;

    void handle(const HttpRequest&, HttpResponder&);
    void run(const HttpRequest&, HttpResponder&);

    mutable std::mutex m_mutex;
    std::condition_variable m_stopped;
    ServiceFaults m_faults;
    std::map<std::string, int> m_runCounts;
    bool m_isStopping = false;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace bronzeswitch
