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

/** Speed and capacity of a simulated engine. */
struct EngineParameters {
    double prefillTokensPerSecond = 20000;
    double stepMs = 8; /**< Duration of a decode step without sequences, in milliseconds. */
    double stepMsPerSequence = 0.5; /**< Milliseconds that each decoding sequence adds to a step. */
    int slots = 16; /**< Largest number of sequences in the batch. */
    int64_t cacheTokens = 65536; /**< Size of the prefix cache. */

    bool operator==(const EngineParameters&) const = default;
};

/** Counters of a simulated engine since its start. */
struct EngineCounters {
    int64_t prefilledTokens = 0;
    int64_t wastedPrefillTokens = 0; /**< Prefilled tokens of sequences that were cancelled. */
    int64_t cachedTokens = 0; /**< Prompt tokens found in the prefix cache. */
    int64_t decodedTokens = 0;
    int64_t admitted = 0; /**< Sequences that entered the batch. */
    int64_t completed = 0; /**< Sequences that produced all their tokens. */

    bool operator==(const EngineCounters&) const = default;
};

/** One change of the prefix cache: a block was stored or evicted. */
struct CacheEvent {
    int64_t sequence = 0; /**< Number of the event, from 1 on. */
    bool stored = false; /**< False when the block was evicted. */
    uint64_t prefix = 0; /**< Hash of the prompt up to the end of the block. */

    bool operator==(const CacheEvent&) const = default;
};

/**
 * A simulation of an inference engine with continuous batching: admission in order of arrival, chunked prefill, one token per
 * sequence and step, and a prefix cache that evicts the least recently used block. It runs in real time on a thread of its own.
 */
class EngineModel {
public:
    /** State of a sequence as one call of waitForProgress() found it. */
    struct Progress {
        int tokens = 0; /**< Tokens produced so far. */
        bool isDone = false;
        bool isCancelled = false; /**< Cancelled by a call, or because the model stops. */
        bool isKnown = true; /**< False if there is no such sequence, or no longer. */
        int cachedTokens = 0; /**< Prompt tokens found in the prefix cache. */
    };

    explicit EngineModel(const EngineParameters&);
    ~EngineModel();
    EngineModel(const EngineModel&) = delete;
    EngineModel& operator=(const EngineModel&) = delete;

    /** Appends a sequence to the admission queue. */
    void submit(const std::string& id, const std::string& prompt, int maxTokens);

    /** Cancels a sequence. @return false if it does not exist or has ended. */
    bool cancel(const std::string& id);

    /** Waits until a sequence has more than the given number of tokens, has ended, or the timeout has passed. */
    Progress waitForProgress(const std::string& id, int tokens, std::chrono::milliseconds timeout);

    /** Sets the factor by which all durations are multiplied; 4 makes the engine four times slower. */
    void setSlowness(double factor);

    /** @return the number of sequences in the batch. */
    int running() const;

    /** @return the number of sequences in the admission queue. */
    int waiting() const;

    EngineCounters counters() const;
    EngineParameters parameters() const { return m_parameters; }

    /** @return the cache events from an event number on, oldest first. Only the newest 4096 are kept. */
    std::vector<CacheEvent> cacheEvents(int64_t from) const;

    /** @return the number of tokens of a text in this model, four characters per token. */
    static int countTokens(const std::string& text);

private:
    struct Sequence {
        std::vector<uint64_t> blockHashes;
        int promptTokens = 0;
        int remainingPrefillTokens = 0;
        int prefilledTokens = 0;
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
    std::deque<std::string> m_finishedIds;
    std::list<uint64_t> m_recentlyUsedBlocks;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_cachedBlocks;
    std::deque<CacheEvent> m_cacheEvents;
    int64_t m_lastCacheEvent = 0;
    EngineCounters m_counters;
    double m_slowness = 1;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace bronzeswitch
