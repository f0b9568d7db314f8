#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace bronzeswitch {

using Duration = std::chrono::milliseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;

inline constexpr double millisecondsPerSecond = 1000;

/** Converts a duration to seconds with a fraction. */
double toSeconds(TimePoint::duration);

/** @return a duration in milliseconds. */
double toMilliseconds(TimePoint::duration);

/**
 * Provides monotonic time and periodic callbacks.
 *
 * A callback is called once per period until its subscription is destroyed. The system service follows the steady clock and runs
 * callbacks on a thread of its own. In the manual service, time moves only when a test calls advance().
 *
 *     auto timers = TimerService::createSystem();
 *     auto subscription = timers->subscribe(Duration(500), [] { sendHeartbeat(); });
 */
class TimerService {
public:
    using Callback = std::function<void()>;

    /**
     * Handle of a periodic callback, which is removed when the handle is destroyed.
     * The destructor waits for a callback that is running, unless it is called from a callback itself.
     */
    class Subscription {
    public:
        virtual ~Subscription() = default;
    };

    /** Creates a service that follows the steady clock. */
    static std::shared_ptr<TimerService> createSystem();

    /** Creates a service for tests whose time moves only by advance(). */
    static std::shared_ptr<TimerService> createManual();

    ~TimerService();

    /** @return the current monotonic time. */
    TimePoint now() const;

    /**
     * Calls a function periodically, for the first time after one period.
     * @param period time between calls in milliseconds; less than 1 ms counts as 1 ms.
     * @param callback runs on the service's thread, or in advance() of a manual service, and must not block for long.
     * @return a handle that ends the calls when it is destroyed.
     */
    std::unique_ptr<Subscription> subscribe(Duration period, Callback callback);

    /** Advances a manual service and runs the callbacks that become due, in the order of their due times. */
    void advance(Duration);

    TimerService(const TimerService&) = delete;
    TimerService& operator=(const TimerService&) = delete;

private:
    class Impl;
    explicit TimerService(std::shared_ptr<Impl>);
    std::shared_ptr<Impl> m_impl;
};

} // namespace bronzeswitch
