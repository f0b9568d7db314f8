#include <base/TimerService.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace bronzeswitch {

double toSeconds(TimePoint::duration duration) { return std::chrono::duration<double>(duration).count(); }

double toMilliseconds(TimePoint::duration duration) { return toSeconds(duration) * millisecondsPerSecond; }

class TimerService::Impl {
public:
    explicit Impl(bool isManual)
        : m_isManual(isManual)
        , m_manualTime(std::chrono::steady_clock::now())
    {
        if (!isManual)
            m_thread = std::thread([this] { runThread(); });
    }

    ~Impl() { stop(); }

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

    TimePoint now() const
    {
        if (!m_isManual)
            return std::chrono::steady_clock::now();
        std::lock_guard lock(m_mutex);
        return m_manualTime;
    }

    uint64_t add(Duration period, Callback callback)
    {
        const auto start = now();
        std::lock_guard lock(m_mutex);
        const auto id = ++m_lastId;
        m_entries.emplace(id, Entry { std::max(period, Duration(1)), start + period, std::move(callback) });
        m_changed.notify_all();
        return id;
    }

    void remove(uint64_t id)
    {
        std::unique_lock lock(m_mutex);
        m_entries.erase(id);
        if (m_callbackThread == std::this_thread::get_id())
            return;
        m_changed.wait(lock, [&] { return m_runningId != id; });
    }

    void advance(Duration duration)
    {
        std::unique_lock lock(m_mutex);
        const auto target = m_manualTime + duration;
        while (auto id = nextDue(target)) {
            m_manualTime = std::max(m_manualTime, m_entries.at(*id).due);
            runEntry(*id, lock);
        }
        m_manualTime = target;
    }

private:
    struct Entry {
        Duration period;
        TimePoint due;
        Callback callback;
    };

    std::optional<uint64_t> nextDue(TimePoint limit) const
    {
        std::optional<uint64_t> earliest;
        for (const auto& [id, entry] : m_entries) {
            const bool isEarlier = !earliest || entry.due < m_entries.at(*earliest).due;
            if (entry.due <= limit && isEarlier)
                earliest = id;
        }
        return earliest;
    }

    void runEntry(uint64_t id, std::unique_lock<std::mutex>& lock)
    {
        auto& entry = m_entries.at(id);
        entry.due += entry.period;
        const auto callback = entry.callback;
        m_runningId = id;
        m_callbackThread = std::this_thread::get_id();
        lock.unlock();
        callback();
        lock.lock();
        m_runningId = 0;
        m_callbackThread = {};
        m_changed.notify_all();
    }

    void runThread()
    {
        std::unique_lock lock(m_mutex);
        while (!m_isStopping) {
            const auto currentTime = std::chrono::steady_clock::now();
            if (const auto id = nextDue(currentTime)) {
                skipMissedPeriods(m_entries.at(*id), currentTime);
                runEntry(*id, lock);
                continue;
            }
            const auto next = nextDue(TimePoint::max());
            if (next)
                m_changed.wait_until(lock, m_entries.at(*next).due);
            else
                m_changed.wait(lock);
        }
    }

    // After a pause of the process, a callback runs once and not once for each missed period.
    static void skipMissedPeriods(Entry& entry, TimePoint currentTime)
    {
        if (currentTime - entry.due > entry.period)
            entry.due = currentTime;
    }

    const bool m_isManual;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<uint64_t, Entry> m_entries;
    TimePoint m_manualTime; // Current time of a manual service.
    uint64_t m_lastId = 0;
    uint64_t m_runningId = 0; // Entry whose callback is running, or 0.
    std::thread::id m_callbackThread; // Thread that runs it.
    bool m_isStopping = false;
    std::thread m_thread;
};

namespace {

class SubscriptionImpl final : public TimerService::Subscription {
public:
    explicit SubscriptionImpl(std::function<void()> cancel)
        : m_cancel(std::move(cancel))
    {
    }
    ~SubscriptionImpl() override { m_cancel(); }
    SubscriptionImpl(const SubscriptionImpl&) = delete;
    SubscriptionImpl& operator=(const SubscriptionImpl&) = delete;

private:
    std::function<void()> m_cancel;
};

} // namespace

std::shared_ptr<TimerService> TimerService::createSystem()
{
    return std::shared_ptr<TimerService>(new TimerService(std::make_shared<Impl>(false)));
}

std::shared_ptr<TimerService> TimerService::createManual()
{
    return std::shared_ptr<TimerService>(new TimerService(std::make_shared<Impl>(true)));
}

TimerService::TimerService(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

TimerService::~TimerService() { m_impl->stop(); }

TimePoint TimerService::now() const { return m_impl->now(); }

std::unique_ptr<TimerService::Subscription> TimerService::subscribe(Duration period, Callback callback)
{
    const auto id = m_impl->add(period, std::move(callback));
    return std::make_unique<SubscriptionImpl>([impl = m_impl, id] { impl->remove(id); });
}

void TimerService::advance(Duration duration) { m_impl->advance(duration); }

} // namespace bronzeswitch
