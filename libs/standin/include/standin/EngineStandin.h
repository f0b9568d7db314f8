#pragma once

#include <http/HttpServer.h>
#include <standin/EngineModel.h>

#include <atomic>
#include <nlohmann/json.hpp>

namespace bronzeswitch {

/** Faults that an engine stand-in injects. */
struct EngineFaults {
    std::string version; /**< Faults act only while the engine runs this version; empty for any. */
    std::string route; /**< Faults other than slowness act only on requests of this route; empty for any. */
    double errorShare = 0; /**< Share of requests that fail with status 500, spread evenly. */
    double slowness = 1; /**< Factor for all durations of the engine; setFaults() applies it if the version matches then. */
    int afterRequests = 0; /**< Number of requests after which the faults begin to act; 0 for at once. */
    int whenRunningAtLeast = 0; /**< Faults act only while at least this number of requests is running. */
    int truncateAfterTokens = 0; /**< Number of tokens after which a stream ends without a finish reason; 0 for never. */
    int silentAfterTokens = 0; /**< Number of tokens after which a stream stops sending with its connection open; 0 for never. */
    int silentStreams = 1000000; /**< Largest number of streams that stop sending. */
    bool shortAnswers = false; /**< Finishes a response after a tenth of its tokens. */
    bool crossedAnswers = false; /**< Sends chunks that carry the identifier of another request. */

    bool operator==(const EngineFaults&) const = default;
};

/** Reads faults from the body of POST /faults; absent fields keep their defaults. */
EngineFaults engineFaultsFromJson(const nlohmann::json&);

/**
 * An engine simulated by EngineModel, behind the HTTP interface of a real one.
 *
 * Endpoints: POST /v1/completions, /v1/resume, /v1/cancel, /orders, /faults; GET /load, /cache/events, /state, /stats.
 */
class EngineStandin {
public:
    struct Options {
        uint16_t port = 0; /**< 0 lets the kernel pick. */
        std::string version = "v1"; /**< Model version that the engine runs at the start. */
        EngineParameters engine;
        std::chrono::milliseconds reportLag { 0 }; /**< How long GET /load returns the same report before it takes a new one. */
        bool checksFencing = true; /**< Refuses orders with a fencing number lower than the highest one seen. */
    };

    /** Starts the engine and its HTTP server on 127.0.0.1. */
    static Result<std::unique_ptr<EngineStandin>> create(const Options&);

    ~EngineStandin();
    EngineStandin(const EngineStandin&) = delete;
    EngineStandin& operator=(const EngineStandin&) = delete;

    uint16_t port() const { return m_server->port(); }
    std::string authority() const { return "127.0.0.1:" + std::to_string(port()); }
    EngineModel& model() { return m_model; }

    /** Replaces the injected faults and restarts the counts that they depend on. */
    void setFaults(const EngineFaults&);

    /** @return the number of dispatches to this engine by request identifier. */
    std::map<std::string, int> dispatchCounts() const;

    /** @return the number of requests that arrived while the engine ran a version. */
    int requestCount(const std::string& version) const;

    /** @return the arrival time of the last request while the engine ran a version, or the epoch if there was none. */
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
