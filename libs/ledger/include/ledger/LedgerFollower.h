#pragma once

#include <ledger/LedgerState.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace bronzeswitch {

/**
 * Reads the control stream and keeps the newest state that it defines.
 *
 * The state never goes back: a peer's copy is adopted only if it is newer. If the log has trimmed records that were not
 * read yet, the follower rebuilds the state from a confirmed snapshot and keeps serving the old state until that succeeds.
 * Listeners are called on the thread that reads the log or calls adopt(), one at a time.
 *
 *     LedgerFollower<HttpAppendLog> follower(log);
 *     follower.subscribe([](const std::shared_ptr<const LedgerState>& state) { apply(*state); });
 *     follower.start();
 */
template <AppendLog Log> class LedgerFollower {
public:
    using StatePointer = std::shared_ptr<const LedgerState>;
    using Listener = std::function<void(const StatePointer&)>;

    explicit LedgerFollower(std::shared_ptr<Log> log)
        : m_log(std::move(log))
        , m_state(std::make_shared<LedgerState>())
    {
    }

    ~LedgerFollower() { stop(); }
    LedgerFollower(const LedgerFollower&) = delete;
    LedgerFollower& operator=(const LedgerFollower&) = delete;

    /** Adds a listener for new states; call before start(). */
    void subscribe(Listener listener) { m_listeners.push_back(std::move(listener)); }

    /** Starts the thread that reads the log. */
    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    /** Stops the thread and ends all waits. */
    void stop()
    {
        {
            std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_changed.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

    /** @return the newest state; incomplete until isReady(). */
    StatePointer state() const
    {
        std::lock_guard lock(m_mutex);
        return m_state;
    }

    /** @return true once the log was read to its end, a snapshot was recovered or a peer's state was adopted. */
    bool isReady() const
    {
        std::lock_guard lock(m_mutex);
        return m_isReady;
    }

    /** @return false if the last read of the log failed. */
    bool isLogReachable() const
    {
        std::lock_guard lock(m_mutex);
        return m_isLogReachable;
    }

    /** Replaces the state by a peer's if that is newer. */
    void adopt(const LedgerState& state)
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_isReady && state.nextOffset() <= m_state->nextOffset())
                return;
        }
        publish(std::make_shared<LedgerState>(state));
    }

    /** Waits until the record at an offset has been applied. @return false after the timeout or stop(). */
    bool waitForOffset(int64_t offset, Duration timeout) const
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, timeout, [&] { return m_state->nextOffset() > offset || m_isStopping; }) && !m_isStopping;
    }

    /** Waits until the record with an ID has been applied. @return its result, or nothing after the timeout or stop(). */
    std::optional<RecordResult> waitForRecord(const std::string& id, Duration timeout) const
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, timeout, [&] { return m_state->findRecord(id) || m_isStopping; });
        return m_state->findRecord(id);
    }

    /**
     * Reads one page of the log and applies it, or rebuilds the state if the log has trimmed the next record.
     * @param wait how long the log may wait for new records.
     * @return false if the log could not be read or the state could not be rebuilt.
     */
    bool readOnce(Duration wait)
    {
        const auto current = state();
        const auto page = m_log->read(controlStream, current->nextOffset(), pageSize, wait);
        setReachable(page.has_value());
        if (!page)
            return false;
        if (page->firstOffset > current->nextOffset())
            return recover(page->firstOffset);
        if (page->records.empty() && isReady())
            return true;
        auto next = std::make_shared<LedgerState>(*current);
        for (const auto& record : page->records)
            next->apply(record);
        const bool hasReachedEnd = next->nextOffset() >= page->nextOffset;
        if (hasReachedEnd || isReady())
            publish(next);
        else
            storeUnreadyState(next);
        return true;
    }

private:
    static constexpr int pageSize = 256;
    static constexpr Duration pollWait { 1000 };
    static constexpr Duration retryDelay { 200 };

    void run()
    {
        while (!isStopping()) {
            if (!readOnce(pollWait))
                pause(retryDelay);
        }
    }

    // Rebuilds the state by reading the log from its oldest record to its end. Fails if that holds no confirmed snapshot.
    bool recover(int64_t first)
    {
        LedgerRecovery recovery(first);
        for (;;) {
            const auto page = m_log->read(controlStream, recovery.nextOffset(), pageSize, Duration(0));
            if (!page || page->firstOffset > recovery.nextOffset())
                return false;
            for (const auto& record : page->records)
                recovery.apply(record);
            if (recovery.nextOffset() >= page->nextOffset)
                break;
        }
        if (!recovery.isComplete())
            return false;
        adopt(recovery.state());
        return true;
    }

    void publish(const StatePointer& next)
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_isReady && next->nextOffset() < m_state->nextOffset())
                return;
            m_state = next;
            m_isReady = true;
        }
        m_changed.notify_all();
        std::lock_guard listenerLock(m_listenerMutex);
        for (const auto& listener : m_listeners)
            listener(state());
    }

    // Keeps the progress of the first read. Listeners get the state only once the end of the log has been reached.
    void storeUnreadyState(const StatePointer& next)
    {
        std::lock_guard lock(m_mutex);
        m_state = next;
    }

    void setReachable(bool isReachable)
    {
        std::lock_guard lock(m_mutex);
        m_isLogReachable = isReachable;
    }

    bool isStopping() const
    {
        std::lock_guard lock(m_mutex);
        return m_isStopping;
    }

    void pause(Duration duration)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, duration, [this] { return m_isStopping; });
    }

    std::shared_ptr<Log> m_log;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::mutex m_listenerMutex;
    std::vector<Listener> m_listeners;
    StatePointer m_state;
    bool m_isReady = false;
    bool m_isLogReachable = true;
    bool m_isStopping = false;
    std::thread m_thread;
};

/**
 * Appends a record to the control stream and waits until the follower has applied it. If the log's response was lost, the
 * record is found by its ID; it is not appended again.
 * @return the record's offset and whether it was accepted; Unavailable if it was certainly not appended; Timeout if it may
 *         have been.
 */
template <AppendLog Log>
Result<RecordResult> submit(Log& log, const LedgerFollower<Log>& follower, const ControlRecord& record, Duration timeout)
{
    const auto offset = log.append(controlStream, toJson(record));
    if (!offset && offset.error().code == ErrorCode::Unavailable)
        return tl::unexpected(offset.error());
    const auto result = follower.waitForRecord(idOf(record), timeout);
    if (!result)
        return fail(ErrorCode::Timeout, "not known yet whether the record was accepted; its ID is " + idOf(record));
    return *result;
}

} // namespace bronzeswitch
