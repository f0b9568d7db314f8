#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace bronzeswitch {

/** The metrics of one node. */
class Metrics {
public:
    Metrics();

    /** Counts a request from a caller. @param rank rank of its priority tier. @param result "completed" or the reason of a failure. */
    void countRequest(int rank, const std::string& result);

    /** Counts incidents of a kind, such as "resumed" or "dropped-chunk". */
    void countIncident(const std::string& kind, int count = 1);

    /** Sets a gauge, such as "revision" or "members". */
    void setGauge(const std::string& name, double value);

    /** Records a latency. @param name what was measured, such as "first-byte". @param subject what it was measured for, such as a route. */
    void observeLatency(const std::string& name, const std::string& subject, double seconds);

    /** @return all metrics in the Prometheus text format. */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_incidents;
    prometheus::Family<prometheus::Gauge>& m_gauges;
    prometheus::Family<prometheus::Histogram>& m_latencies;
};

} // namespace bronzeswitch
