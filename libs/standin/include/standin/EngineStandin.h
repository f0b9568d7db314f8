#pragma once

#include <http/HttpServer.h>
#include <standin/EngineModel.h>

#include <atomic>
#include <nlohmann/json.hpp>

namespace bronzeswitch {

/** Faults of an engine stand-in; those of a version act only while the engine runs that version. */
struct EngineFaults {
    std::string version; /**< Version that the faults belong to; empty for every version. */
    std::string route; /**< Route that they are bound to; empty for every route. */
    double errorShare = 0; /**< Share of requests answered with status 500. */
    double slowness = 1;
    int afterRequests = 0; /**< Faults start after so many requests. */
    int whenRunningAtLeast = 0; /**< Faults act only with so many requests running. */
    int truncateAfterTokens = 0; /**< Ends a stream early with no finish mark. */
    int silentAfterTokens = 0; /**< Stops to send and keeps the connection open. */
    int silentStreams = 1000000; /**< Number of streams that go silent. */
    bool shortAnswers = false; /**< Finishes after a tenth of the tokens. */
    bool crossedAnswers = false; /**< Sends chunks that name another request. */

    bool operator==(const EngineFaults&) const = default;
};

/** Reads faults from the body of POST /faults. */
EngineFaults engineFaultsFromJson(const nlohmann::json&);

/**
 * A model engine over HTTP for tests, the demo and measurements.
 *
 * Paths: POST /v1/completions, /v1/resume, /v1/cancel, /orders, /faults; GET /load, /cache/events, /state, /stats.
 */
class EngineStandin {
public:
    struct Options {
        uint16_t port = 0;
        std::string version = "v1";
        EngineParameters engine;
        std::chrono::milliseconds reportLag { 0 };
        bool checksFencing = true;
    };

    static Result<std::unique_ptr<EngineStandin>> create(const Options&);

    ~EngineStandin();
    EngineStandin(const EngineStandin&) = delete;
    EngineStandin& operator=(const EngineStandin&) = delete;

    uint16_t port() const { return m_server->port(); }
    std::string authority() const { return "127.0.0.1:" + std::to_string(port()); }
    EngineModel& model() { return m_model; }
    void setFaults(const EngineFaults&);

    /** @return how often each request identifier has been dispatched here. */
    std::map<std::string, int> dispatchCounts() const;

    /** @return the number of requests served by a version. */
    int requestCount(const std::string& version) const;

    /** @return the time of the last request that a version got. */
    std::chrono::steady_clock::time_point lastRequestTime(const std::string& version) const;

private:
    explicit EngineStandin(const Options&);

    void handle(const HttpRequest&, HttpResponder&);
    void handleCompletion(const HttpRequest&, HttpResponder&);
    void handleResume(const HttpRequest&, HttpResponder&);
    void handleOrder(const HttpRequest&, HttpResponder&);
    void stream(const std::string& id, int position, const EngineFaults&, HttpResponder&);
    nlohmann::json loadReport();
    nlohmann::json stats() const;
    EngineFaults activeFaults(const std::string& route);

    const Options m_options;
    EngineModel m_model;
    mutable std::mutex m_mutex;
    EngineFaults m_faults;
    std::string m_version;
    int64_t m_highestFencingNumber = 0;
    int m_requestsSinceFaults = 0;
    double m_accumulatedErrorShare = 0;
    int m_silentStreamCount = 0;
    std::map<std::string, int> m_dispatchCounts;
    std::map<std::string, int> m_requestCounts;
    std::map<std::string, std::chrono::steady_clock::time_point> m_lastRequestTimes;
    nlohmann::json m_loadReport;
    std::chrono::steady_clock::time_point m_loadReportTime {};
    std::atomic<bool> m_isStopping = false;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace bronzeswitch
