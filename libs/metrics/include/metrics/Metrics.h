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

    /** Counts a caller's request by rank and result, such as "completed" or a refusal's reason. */
    void countRequest(int rank, const std::string& result);

    /** Counts an incident by kind, such as "resumed" or "dropped-chunk". */
    void countIncident(const std::string& kind, int count = 1);

    /** Sets a gauge such as "revision" or "members". */
    void setGauge(const std::string& name, double value);

    /** Takes a latency. @param name what was measured, such as "first-byte". @param of what it was measured of, such as a route. */
    void observeLatency(const std::string& name, const std::string& of, double seconds);

    /** @return the metrics in the text format of Prometheus. */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_incidents;
    prometheus::Family<prometheus::Gauge>& m_gauges;
    prometheus::Family<prometheus::Histogram>& m_latencies;
};

} // namespace bronzeswitch
