#include <algorithm>
#include <base/Hash.h>
#include <standin/EngineModel.h>

namespace bronzeswitch {

namespace {

constexpr int charactersPerToken = 4;
constexpr int tokensPerBlock = 64;
constexpr int prefillChunkTokens = 512;
constexpr size_t maxFinishedSequences = 2000;
constexpr size_t maxCacheEvents = 4096;

// Hashes each full block of the prompt together with all blocks before it, so that equal hashes mean equal prefixes.
std::vector<uint64_t> computeBlockHashes(const std::string& prompt)
{
    constexpr size_t charactersPerBlock = static_cast<size_t>(tokensPerBlock) * charactersPerToken;
    std::vector<uint64_t> blocks;
    uint64_t chainedHash = 0;
    for (size_t start = 0; start + charactersPerBlock <= prompt.size(); start += charactersPerBlock) {
        chainedHash = stableHash(std::string_view(prompt).substr(start, charactersPerBlock), chainedHash);
        blocks.push_back(chainedHash);
    }
    return blocks;
}

} // namespace

EngineModel::EngineModel(const EngineParameters& parameters)
    : m_parameters(parameters)
    , m_thread([this] { run(); })
{
}

EngineModel::~EngineModel()
{
    {
        std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

int EngineModel::countTokens(const std::string& text) { return static_cast<int>(text.size()) / charactersPerToken + 1; }

void EngineModel::submit(const std::string& id, const std::string& prompt, int maxTokens)
{
    auto sequence = std::make_shared<Sequence>();
    sequence->blockHashes = computeBlockHashes(prompt);
    sequence->promptTokens = countTokens(prompt);
    sequence->maxTokens = std::max(1, maxTokens);
    std::lock_guard lock(m_mutex);
    m_sequences[id] = sequence;
    m_queue.push_back(id);
    m_changed.notify_all();
}

bool EngineModel::cancel(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    const auto found = m_sequences.find(id);
    if (found == m_sequences.end() || found->second->isDone)
        return false;
    found->second->isDone = true;
    found->second->isCancelled = true;
    m_counters.wastedPrefillTokens += found->second->prefilledTokens;
    std::erase(m_queue, id);
    std::erase(m_batch, id);
    m_finishedIds.push_back(id);
    m_changed.notify_all();
    return true;
}

EngineModel::Progress EngineModel::waitForProgress(const std::string& id, int tokens, std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    const auto found = m_sequences.find(id);
    if (found == m_sequences.end())
        return { 0, false, false, false, 0 };
    const auto sequence = found->second;
    m_changed.wait_for(lock, timeout, [&] { return sequence->tokens > tokens || sequence->isDone || m_isStopping; });
    return { sequence->tokens, sequence->isDone, sequence->isCancelled || m_isStopping, true, sequence->cachedTokens };
}

void EngineModel::setSlowness(double factor)
{
    std::lock_guard lock(m_mutex);
    m_slowness = factor;
}

int EngineModel::running() const
{
    std::lock_guard lock(m_mutex);
    return static_cast<int>(m_batch.size());
}

int EngineModel::waiting() const
{
    std::lock_guard lock(m_mutex);
    return static_cast<int>(m_queue.size());
}

EngineCounters EngineModel::counters() const
{
    std::lock_guard lock(m_mutex);
    return m_counters;
}

std::vector<CacheEvent> EngineModel::cacheEvents(int64_t from) const
{
    std::lock_guard lock(m_mutex);
    std::vector<CacheEvent> result;
    std::copy_if(m_cacheEvents.begin(), m_cacheEvents.end(), std::back_inserter(result),
        [&](const CacheEvent& event) { return event.sequence >= from; });
    return result;
}

void EngineModel::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        admit();
        if (m_batch.empty()) {
            m_changed.wait(lock, [&] { return m_isStopping || !m_queue.empty(); });
            continue;
        }
        const auto seconds = step();
        const auto deadline = std::chrono::steady_clock::now()
            + std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds));
        m_changed.wait_until(lock, deadline, [&] { return m_isStopping; });
        while (std::chrono::steady_clock::now() < deadline && !m_isStopping)
            m_changed.wait_until(lock, deadline);
        discardOldSequences();
    }
}

void EngineModel::admit()
{
    while (!m_queue.empty() && static_cast<int>(m_batch.size()) < m_parameters.slots) {
        const auto id = m_queue.front();
        m_queue.pop_front();
        auto& sequence = *m_sequences.at(id);
        sequence.cachedTokens = findCachedPrefix(sequence);
        sequence.remainingPrefillTokens = sequence.promptTokens - sequence.cachedTokens;
        m_counters.cachedTokens += sequence.cachedTokens;
        ++m_counters.admitted;
        m_batch.push_back(id);
    }
}

// Runs one step: prefills up to one chunk and decodes one token for each other sequence. Returns the step's duration in seconds.
double EngineModel::step()
{
    int prefillBudget = prefillChunkTokens;
    int prefilledTokens = 0;
    int decodingSequences = 0;
    const auto batch = m_batch;
    for (const auto& id : batch) {
        auto& sequence = *m_sequences.at(id);
        if (sequence.remainingPrefillTokens > 0) {
            const int tokens = std::min(prefillBudget, sequence.remainingPrefillTokens);
            prefillBudget -= tokens;
            prefilledTokens += tokens;
            sequence.remainingPrefillTokens -= tokens;
            sequence.prefilledTokens += tokens;
            if (!sequence.remainingPrefillTokens)
                cachePrefix(sequence);
            continue;
        }
        ++decodingSequences;
        ++sequence.tokens;
        if (sequence.tokens >= sequence.maxTokens)
            finish(id);
    }
    m_counters.prefilledTokens += prefilledTokens;
    m_counters.decodedTokens += decodingSequences;
    m_changed.notify_all();
    constexpr double millisecondsPerSecond = 1000;
    const double decodeMs = m_parameters.stepMs + m_parameters.stepMsPerSequence * decodingSequences;
    return m_slowness * (decodeMs / millisecondsPerSecond + prefilledTokens / m_parameters.prefillTokensPerSecond);
}

int EngineModel::findCachedPrefix(const Sequence& sequence)
{
    int tokens = 0;
    for (const auto block : sequence.blockHashes) {
        const auto found = m_cachedBlocks.find(block);
        if (found == m_cachedBlocks.end())
            break;
        m_recentlyUsedBlocks.splice(m_recentlyUsedBlocks.begin(), m_recentlyUsedBlocks, found->second);
        tokens += tokensPerBlock;
    }
    return tokens;
}

void EngineModel::cachePrefix(const Sequence& sequence)
{
    for (const auto block : sequence.blockHashes) {
        if (m_cachedBlocks.contains(block))
            continue;
        m_recentlyUsedBlocks.push_front(block);
        m_cachedBlocks[block] = m_recentlyUsedBlocks.begin();
        m_cacheEvents.push_back({ ++m_lastCacheEvent, true, block });
    }
    while (static_cast<int64_t>(m_cachedBlocks.size()) * tokensPerBlock > m_parameters.cacheTokens) {
        m_cacheEvents.push_back({ ++m_lastCacheEvent, false, m_recentlyUsedBlocks.back() });
        m_cachedBlocks.erase(m_recentlyUsedBlocks.back());
        m_recentlyUsedBlocks.pop_back();
    }
    while (m_cacheEvents.size() > maxCacheEvents)
        m_cacheEvents.pop_front();
}

void EngineModel::finish(const std::string& id)
{
    m_sequences.at(id)->isDone = true;
    ++m_counters.completed;
    std::erase(m_batch, id);
    m_finishedIds.push_back(id);
}

void EngineModel::discardOldSequences()
{
    while (m_finishedIds.size() > maxFinishedSequences) {
        m_sequences.erase(m_finishedIds.front());
        m_finishedIds.pop_front();
    }
}

} // namespace bronzeswitch
