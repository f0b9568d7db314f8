#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace bronzeswitch {

using Duration = std::chrono::milliseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

inline constexpr double millisecondsPerSecond = 1000;

/** Converts a duration between two points to fractional seconds. */
double toSeconds(TimePoint::duration);

/**
 * The one source of monotonic time and of periodic calls.
 *
 * Parts subscribe to a period; the service calls them until the subscription is destroyed. A system service runs on the
 * steady clock with a thread of its own, a driven service only moves when a test calls advance().
 *
 *     auto timers = TimerService::createSystem();
 *     auto subscription = timers->subscribe(Duration(500), [] { sendHeartbeat(); });
 */
class TimerService {
public:
    using Callback = std::function<void()>;

    /** Ends the periodic calls when destroyed; does not return while a call of its own is running. */
    class Subscription {
    public:
        virtual ~Subscription() = default;
    };

    static std::shared_ptr<TimerService> createSystem();
    static std::shared_ptr<TimerService> createManual();

    ~TimerService();

    /** @return the current monotonic time. */
    TimePoint now() const;

    /**
     * Calls a function periodically.
     * @param period time between calls, at least 1 ms.
     * @param callback runs on the service's thread and must not block for long.
     * @return a handle that ends the calls when destroyed.
     */
    std::unique_ptr<Subscription> subscribe(Duration period, Callback callback);

    /** Moves a driven service forward and runs the calls that fall due, in order of their time. */
    void advance(Duration);

    TimerService(const TimerService&) = delete;
    TimerService& operator=(const TimerService&) = delete;

private:
    class Impl;
    explicit TimerService(std::shared_ptr<Impl>);
    std::shared_ptr<Impl> m_impl;
};

} // namespace bronzeswitch
