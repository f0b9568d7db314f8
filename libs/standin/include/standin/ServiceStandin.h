#pragma once

#include <http/HttpServer.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>

namespace bronzeswitch {

/** Faults of a service stand-in. */
struct ServiceFaults {
    bool loseAnswers = false; /**< Runs the request and leaves its connection silent. */
    bool fail = false; /**< Answers with status 500 after running. */
    std::chrono::milliseconds delay { 0 };

    bool operator==(const ServiceFaults&) const = default;
};

/**
 * A record application over HTTP that counts how often each idempotency key was run.
 *
 * Every path but /faults and /counts runs the request. POST /faults takes {"lose_answers", "fail", "delay_ms"}.
 */
class ServiceStandin {
public:
    static Result<std::unique_ptr<ServiceStandin>> create(uint16_t port = 0);

    ~ServiceStandin();
    ServiceStandin(const ServiceStandin&) = delete;
    ServiceStandin& operator=(const ServiceStandin&) = delete;

    uint16_t port() const { return m_server->port(); }
    std::string authority() const { return "127.0.0.1:" + std::to_string(port()); }
    void setFaults(const ServiceFaults&);

    /** @return how often each key was run. */
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
