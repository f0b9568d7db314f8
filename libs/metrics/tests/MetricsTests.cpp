#include <catch2/catch.hpp>
#include <metrics/Metrics.h>

using namespace bronzeswitch;

TEST_CASE("counters and latency histograms are exported in the Prometheus text format")
{
    Metrics metrics;
    metrics.countRequest(0, "completed");
    metrics.observeLatency("first-byte", "orders", 0.02);
    const auto text = metrics.text();
    CHECK(text.find("bronzeswitch_requests_total{rank=\"0\",result=\"completed\"} 1") != std::string::npos);
    CHECK(text.find("bronzeswitch_latency_seconds_bucket{name=\"first-byte\",of=\"orders\",le=\"0.025\"} 1") != std::string::npos);
}
