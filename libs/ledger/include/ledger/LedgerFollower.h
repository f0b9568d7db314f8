#pragma once

#include <ledger/LedgerState.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace bronzeswitch {

/**
 * Follows the control stream and holds the newest state.
 *
 * The state only moves forward: a peer's copy is adopted when it is newer, never when it is older. When the log has
 * forgotten records that were not read in time, the follower rebuilds the state from a confirmed snapshot and goes on
 * with the old one until then.
 *
 *     LedgerFollower<HttpLog> follower(log);
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

    /** Starts the task that reads the log. */
    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

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

    /** @return the newest state. */
    StatePointer state() const
    {
        std::lock_guard lock(m_mutex);
        return m_state;
    }

    /** @return true once a state from the log or from a peer is held. */
    bool isReady() const
    {
        std::lock_guard lock(m_mutex);
        return m_isReady;
    }

    /** @return false while the last read of the log failed. */
    bool isLogReachable() const
    {
        std::lock_guard lock(m_mutex);
        return m_isLogReachable;
    }

    /** Takes a peer's state if it is newer than the one held. */
    void adopt(const LedgerState& state)
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_isReady && state.nextOffset() <= m_state->nextOffset())
                return;
        }
        replace(std::make_shared<LedgerState>(state));
    }

    /** Waits until the record at an offset has been applied. @return false when the time was over first. */
    bool waitForOffset(int64_t offset, Duration limit) const
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, limit, [&] { return m_state->nextOffset() > offset || m_isStopping; }) && !m_isStopping;
    }

    /** Waits until a record with an identifier has been applied. @return its fate, or nothing when the time was over. */
    std::optional<RecordResult> waitForRecord(const std::string& id, Duration limit) const
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, limit, [&] { return m_state->findRecord(id) || m_isStopping; });
        return m_state->findRecord(id);
    }

    /** Reads one page and applies it. @return false when the log could not be read. */
    bool readOnce(Duration wait)
    {
        const auto current = state();
        const auto page = m_log->read(controlStream, current->nextOffset(), pageSize, wait);
        setReachable(page.has_value());
        if (!page)
            return false;
        if (page->first > current->nextOffset())
            return recover(page->first);
        if (page->records.empty() && isReady())
            return true;
        auto next = std::make_shared<LedgerState>(*current);
        for (const auto& record : page->records)
            next->apply(record);
        const bool hasReachedEnd = next->nextOffset() >= page->next;
        if (hasReachedEnd || isReady())
            replace(next);
        else
            keepUnready(next);
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

    // Reads the log from its oldest record until a confirmed snapshot gives a state that can be trusted.
    bool recover(int64_t first)
    {
        LedgerRecovery recovery(first);
        for (;;) {
            const auto page = m_log->read(controlStream, recovery.nextOffset(), pageSize, Duration(0));
            if (!page || page->first > recovery.nextOffset())
                return false;
            for (const auto& record : page->records)
                recovery.apply(record);
            if (recovery.nextOffset() >= page->next)
                break;
        }
        if (!recovery.isComplete())
            return false;
        adopt(recovery.state());
        return true;
    }

    void replace(const StatePointer& next)
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

    void keepUnready(const StatePointer& next)
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
 * Appends a record to the control stream and waits for its fate. An append whose answer was lost is found by its
 * identifier and is not written again.
 * @return whether the log order accepted the record; Unavailable when it was surely not written; Timeout when unknown.
 */
template <AppendLog Log>
Result<RecordResult> submit(Log& log, const LedgerFollower<Log>& follower, const ControlRecord& record, Duration limit)
{
    const auto offset = log.append(controlStream, toJson(record));
    if (!offset && offset.error().code == ErrorCode::Unavailable)
        return tl::unexpected(offset.error());
    const auto fate = follower.waitForRecord(idOf(record), limit);
    if (!fate)
        return fail(ErrorCode::Timeout, "the record's fate is not known yet; its identifier is " + idOf(record));
    return *fate;
}

} // namespace bronzeswitch
