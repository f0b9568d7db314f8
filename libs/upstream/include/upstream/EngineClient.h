#pragma once

#include <base/Error.h>
#include <base/TimerService.h>
#include <protocol/Messages.h>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bronzeswitch {

/** A completion to run at one engine. */
struct EngineCall {
    std::string authority; /**< Address and port of the engine. */
    std::string requestId; /**< Identifier by which the caller knows the request. */
    std::string dispatchId; /**< Identifies this dispatch at the engine; every chunk must carry it. */
    std::string route;
    std::string model;
    std::string version;
    std::string prompt;
    int maxTokens = 1;
    Duration timeout { 60000 }; /**< Limit on the whole completion, including all resumed streams. */

    bool operator==(const EngineCall&) const = default;
};

/** Outcome and measurements of a completion. */
struct EngineResult {
    DispatchOutcome outcome = DispatchOutcome::Failed;
    int status = 0; /**< HTTP status with which the engine refused the dispatch, else 0. */
    int tokens = 0; /**< Tokens received, without duplicates. */
    int cachedTokens = 0; /**< Prompt tokens that the engine had in its prefix cache. */
    int resumeCount = 0; /**< Number of attempts to resume the stream. */
    int mismatchedChunks = 0; /**< Chunks that carried the identifier of another dispatch and were discarded. */
    Duration firstToken { 0 }; /**< Time to the first token, 0 if there was none. */
    std::chrono::microseconds betweenTokens { 0 }; /**< Mean time between tokens, 0 for fewer than two. */
    std::string message; /**< Why the completion failed or was cancelled. */

    bool operator==(const EngineResult&) const = default;
};

/** Load report of an engine. */
struct EngineLoadReport {
    int running = 0; /**< Requests that the engine is running. */
    int waiting = 0; /**< Requests that are queued at the engine. */
    Duration age { 0 }; /**< Time since the engine measured its load. */
    std::string version; /**< Loaded model version, empty if the engine does not report it. */

    bool operator==(const EngineLoadReport&) const = default;
};

/** A change of an engine's prefix cache. */
struct EngineCacheEvent {
    int64_t sequence = 0; /**< Sequence number of the event at the engine. */
    bool isStored = false; /**< True if the prefix was stored, false if it was evicted. */
    uint64_t prefix = 0; /**< Hash of the prefix. */

    bool operator==(const EngineCacheEvent&) const = default;
};

/** State of an engine that orders can change. */
struct EngineState {
    std::string version; /**< Loaded model version. */
    int64_t fencingNumber = 0; /**< Highest fencing number of an order that the engine has accepted. */

    bool operator==(const EngineState&) const = default;
};

/**
 * Runs completions at model engines and uses their control interface.
 *
 * A completion is dispatched once. A stream that breaks off, stalls or carries chunks of another dispatch is resumed at the
 * same engine from the next token; the completion is never dispatched again.
 */
class EngineClient {
public:
    /** Receives the pieces of text in order. Returns false if the caller has disconnected. */
    using OnText = std::function<bool(std::string_view text)>;
    /** Returns true once the completion should be cancelled. */
    using IsCancelled = std::function<bool()>;

    /** @param idleTimeout a stream without a byte for this long is resumed; engines send heartbeats more often than that. */
    explicit EngineClient(Duration idleTimeout = Duration(3000));

    /**
     * Runs a completion. Blocks until it has ended; one that does not complete is cancelled at the engine.
     * @return the outcome, Unreachable if the request was never sent.
     */
    EngineResult run(const EngineCall&, const OnText&, const IsCancelled&) const;

    /** @return an engine's load report. */
    Result<EngineLoadReport> fetchLoadReport(const std::string& authority) const;

    /** @return the events of an engine's prefix cache from a sequence number on. */
    Result<std::vector<EngineCacheEvent>> fetchCacheEvents(const std::string& authority, int64_t from) const;

    /** Orders an engine to load a model version. @return the engine's new state, or Stale if it refuses the fencing number. */
    Result<EngineState> loadVersion(const std::string& authority, const std::string& version, int64_t fencingNumber) const;

    /** @return an engine's loaded version and highest accepted fencing number. */
    Result<EngineState> fetchState(const std::string& authority) const;

private:
    Duration m_idleTimeout;
};

} // namespace bronzeswitch
