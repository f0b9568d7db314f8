#pragma once

#include <gateway/DecisionLog.h>
#include <metrics/Metrics.h>
#include <sched/AdmissionControl.h>

#include <map>
#include <string>

namespace bronzeswitch {

/**
 * Shows operators what the admission control of the pools does: logs when refusals for overload begin and end, and counts them.
 *
 * Refusals come in waves, so a pool counts as overloaded until a short time after the last one; the log has two lines for a burst.
 *
 *     monitor.update("reader", scheduler.admissionStatus(now), scheduler.waiting());
 */
class AdmissionMonitor {
public:
    AdmissionMonitor(DecisionLog&, Metrics&);

    /** Processes the present state of a pool. Call at a regular interval. @param waiting number of queued requests. */
    void update(const std::string& pool, const AdmissionStatus&, std::size_t waiting);

private:
    void count(const AdmissionStatus& before, const AdmissionStatus&);

    DecisionLog& m_log;
    Metrics& m_metrics;
    std::map<std::string, AdmissionStatus> m_pools; /**< The last state of each pool. */
    std::map<std::string, AdmissionStatus> m_beginnings; /**< The state in which the overload of a pool began. */
};

} // namespace bronzeswitch
