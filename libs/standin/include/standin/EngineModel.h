#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace bronzeswitch {

/** Speed and size of a modelled engine. */
struct EngineParameters {
    double prefillTokensPerSecond = 20000;
    double stepMs = 8; /**< Duration of a decode step with one sequence. */
    double stepMsPerSequence = 0.5; /**< Added for each further sequence. */
    int slots = 16;
    int64_t cacheTokens = 65536;

    bool operator==(const EngineParameters&) const = default;
};

/** Counters of a modelled engine. */
struct EngineCounters {
    int64_t prefilledTokens = 0;
    int64_t wastedPrefillTokens = 0; /**< Prefill of sequences that were cancelled or dropped. */
    int64_t cachedTokens = 0; /**< Prompt tokens found in the prefix cache. */
    int64_t decodedTokens = 0;
    int64_t admitted = 0;
    int64_t completed = 0;

    bool operator==(const EngineCounters&) const = default;
};

/** One change of the prefix cache. */
struct CacheEvent {
    int64_t sequence = 0;
    bool stored = false;
    uint64_t prefix = 0;

    bool operator==(const CacheEvent&) const = default;
};

/**
 * A small model of a continuous-batching engine: first-in first-out admission, chunked prefill, one token a sequence and
 * step, and a prefix cache with least-recently-used eviction.
 */
class EngineModel {
public:
    /** What a reader of a sequence got. */
    struct Progress {
        int tokens = 0; /**< Tokens produced so far. */
        bool isDone = false;
        bool isCancelled = false;
        bool isKnown = true;
        int cachedTokens = 0;
    };

    explicit EngineModel(const EngineParameters&);
    ~EngineModel();
    EngineModel(const EngineModel&) = delete;
    EngineModel& operator=(const EngineModel&) = delete;

    /** Adds a sequence at the end of the admission queue. */
    void submit(const std::string& id, const std::string& prompt, int maxTokens);

    /** Ends a sequence. @return false if it is not known or already done. */
    bool cancel(const std::string& id);

    /** Waits until a sequence has more than a number of tokens, is done, or the time is over. */
    Progress waitForProgress(const std::string& id, int tokens, std::chrono::milliseconds limit);

    /** Multiplies all durations; 4 makes the engine four times slower. */
    void setSlowness(double factor);

    int running() const;
    int waiting() const;
    EngineCounters counters() const;
    EngineParameters parameters() const { return m_parameters; }

    /** @return the cache events from a sequence number on, oldest first. */
    std::vector<CacheEvent> cacheEvents(int64_t from) const;

    /** @return the number of tokens of a text in this model. */
    static int countTokens(const std::string& text);

private:
    struct Sequence {
        std::vector<uint64_t> blocks;
        int promptTokens = 0;
        int remainingPrefillTokens = 0;
        int prefilled = 0;
        int cachedTokens = 0;
        int maxTokens = 0;
        int tokens = 0;
        bool isDone = false;
        bool isCancelled = false;
    };

    void run();
    void admit();
    double step();
    int findCachedPrefix(const Sequence&);
    void cachePrefix(const Sequence&);
    void finish(const std::string& id);
    void discardOldSequences();

    const EngineParameters m_parameters;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::unordered_map<std::string, std::shared_ptr<Sequence>> m_sequences;
    std::deque<std::string> m_queue;
    std::vector<std::string> m_batch;
    std::deque<std::string> m_finished;
    std::list<uint64_t> m_cacheOrder;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_cache;
    std::deque<CacheEvent> m_events;
    int64_t m_lastEvent = 0;
    EngineCounters m_counters;
    double m_slowness = 1;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace bronzeswitch
