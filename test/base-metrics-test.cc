#include "turmericpier/base/metrics.h"

#include <catch2/catch.hpp>

using namespace turmericpier;

// Guards against metrics that are missing from the Prometheus text or have a wrong name or value there.
TEST_CASE("metrics appear in the Prometheus text", "[base]")
{
    Metrics metrics;
    metrics.counter("requests_total").increment(3);
    metrics.gauge("queue").set(-1);
    metrics.latency("wait_seconds").record(std::chrono::milliseconds(500));
    const auto text = metrics.toPrometheusText();
    CHECK(text.find("turmericpier_requests_total 3\n") != std::string::npos);
    CHECK(text.find("turmericpier_queue -1\n") != std::string::npos);
    CHECK(text.find("turmericpier_wait_seconds_sum 0.5\n") != std::string::npos);
    CHECK(text.find("turmericpier_wait_seconds_count 1\n") != std::string::npos);
}

// Guards against a second look-up of a name that returns another counter and so loses counts.
TEST_CASE("a name always refers to the same counter", "[base]")
{
    Metrics metrics;
    metrics.counter("a").increment();
    metrics.counter("a").increment();
    CHECK(metrics.counter("a").value() == 2);
}
