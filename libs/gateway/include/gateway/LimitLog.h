#pragma once

#include <base/TimerService.h>
#include <gateway/DecisionLog.h>
#include <metrics/Metrics.h>

#include <map>
#include <string>

namespace bronzeswitch {

/**
 * Counts how often the limits on callers, peers and datagrams are reached, and logs it.
 *
 * Load pattern: a flood that reaches the same limit thousands of times a second. Each limit gets at most one line a second, with the number
 * of times since its last line; the metrics have all.
 *
 *     limits.onReached("connections", { { "open", 1168 } }, now);
 */
class LimitLog {
public:
    LimitLog(DecisionLog& log, Metrics& metrics)
        : m_log(log)
        , m_metrics(metrics)
    {
    }

    /** Counts that a limit was reached. @param limit its name. @param inputs what the node decided on. */
    void onReached(const std::string& limit, nlohmann::json inputs, TimePoint now);

private:
    struct Entry {
        TimePoint loggedAt {};
        int64_t times = 0; /**< Since the last line. */
    };

    DecisionLog& m_log;
    Metrics& m_metrics;
    std::map<std::string, Entry> m_entries; /**< By limit; there are as many as the code names. */
};

} // namespace bronzeswitch
