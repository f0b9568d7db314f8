#include <metrics/Metrics.h>

#include <prometheus/text_serializer.h>

namespace bronzeswitch {

namespace {

const prometheus::Histogram::BucketBoundaries latencyBucketBounds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
    20 }; // Upper bounds in seconds.

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(
          prometheus::BuildCounter().Name("bronzeswitch_requests_total").Help("Caller requests by rank and result.").Register(*m_registry))
    , m_incidents(prometheus::BuildCounter().Name("bronzeswitch_incidents_total").Help("Incidents by kind.").Register(*m_registry))
    , m_gauges(prometheus::BuildGauge().Name("bronzeswitch_state").Help("State of the node by name.").Register(*m_registry))
    , m_latencies(
          prometheus::BuildHistogram().Name("bronzeswitch_latency_seconds").Help("Latencies by what was measured.").Register(*m_registry))
{
}

void Metrics::countRequest(int rank, const std::string& result)
{
    m_requests.Add({ { "rank", std::to_string(rank) }, { "result", result } }).Increment();
}

void Metrics::countIncident(const std::string& kind, int count) { m_incidents.Add({ { "kind", kind } }).Increment(count); }

void Metrics::setGauge(const std::string& name, double value) { m_gauges.Add({ { "name", name } }).Set(value); }

void Metrics::observeLatency(const std::string& name, const std::string& subject, double seconds)
{
    m_latencies.Add({ { "name", name }, { "of", subject } }, latencyBucketBounds).Observe(seconds);
}

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(m_registry->Collect()); }

} // namespace bronzeswitch
