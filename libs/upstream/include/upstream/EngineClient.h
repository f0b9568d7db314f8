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

/** One completion to run on one engine. */
struct EngineCall {
    std::string authority;
    std::string requestId; /**< Identifier that the caller knows. */
    std::string dispatchId; /**< Identifies the dispatch at the engine; every chunk must name it. */
    std::string route;
    std::string model;
    std::string version;
    std::string prompt;
    int maxTokens = 1;
    Duration timeout { 60000 };

    bool operator==(const EngineCall&) const = default;
};

/** How a completion ended. */
struct EngineResult {
    DispatchOutcome outcome = DispatchOutcome::Failed;
    int status = 0; /**< Status of a refusal by the engine, else 0. */
    int tokens = 0;
    int cachedTokens = 0;
    int resumeCount = 0; /**< How often the stream was resumed. */
    int mismatchedChunks = 0; /**< Chunks that named another request. */
    Duration firstToken { 0 };
    std::chrono::microseconds betweenTokens { 0 };
    std::string message;

    bool operator==(const EngineResult&) const = default;
};

/** Load and version that an engine reports. */
struct EngineLoadReport {
    int running = 0;
    int waiting = 0;
    Duration age { 0 };
    std::string version;

    bool operator==(const EngineLoadReport&) const = default;
};

/** One event of an engine's prefix cache. */
struct EngineCacheEvent {
    int64_t sequence = 0;
    bool isStored = false;
    uint64_t prefix = 0;

    bool operator==(const EngineCacheEvent&) const = default;
};

/** State of an engine after an order. */
struct EngineState {
    std::string version;
    int64_t fencingNumber = 0;

    bool operator==(const EngineState&) const = default;
};

/**
 * Speaks to model engines.
 *
 * A completion is dispatched once. A stream that is cut, goes silent or carries foreign chunks is resumed at the same
 * engine from the next token, never dispatched again.
 */
class EngineClient {
public:
    /** Takes each piece of text in order; false means that the caller has left. */
    using OnText = std::function<bool(std::string_view text)>;
    using IsCancelled = std::function<bool()>;

    /** @param silence a stream without a byte for this long is resumed; engines send a heartbeat more often. */
    explicit EngineClient(Duration silence = Duration(3000));

    /** Runs a completion to its end. */
    EngineResult run(const EngineCall&, const OnText&, const IsCancelled&) const;

    /** @return what an engine reports of itself. */
    Result<EngineLoadReport> fetchLoadReport(const std::string& authority) const;

    /** @return cache events from a sequence number on. */
    Result<std::vector<EngineCacheEvent>> fetchCacheEvents(const std::string& authority, int64_t from) const;

    /** Orders an engine to load a version. @return its state after, or Stale when it refuses the fencing number. */
    Result<EngineState> loadVersion(const std::string& authority, const std::string& version, int64_t fencingNumber) const;

    /** @return an engine's version and highest fencing number. */
    Result<EngineState> fetchState(const std::string& authority) const;

private:
    Duration m_silence;
};

} // namespace bronzeswitch
