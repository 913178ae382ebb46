#pragma once

#include "turmericpier/base/clock.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

/// Counters, gauges and latency summaries in the Prometheus text format.
namespace turmericpier {

/// A monotonically increasing counter.
class Counter {
public:
    void increment(uint64_t by = 1) { m_value.fetch_add(by, std::memory_order_relaxed); }
    uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> m_value { 0 };
};

/// A value that can go up and down.
class Gauge {
public:
    void set(int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<int64_t> m_value { 0 };
};

/// Summary of a duration: count, sum and maximum, and p50 and p99 as Boost.Accumulators estimates them.
class Latency {
public:
    Latency();
    ~Latency();
    void record(Duration duration);
    /// Appends a Prometheus summary, in seconds. `name` is without the prefix `turmericpier_`.
    void appendPrometheusText(std::string& out, std::string_view name) const;

private:
    struct Impl;
    mutable std::mutex m_mutex;
    std::unique_ptr<Impl> m_impl;
};

/// The metrics of one process, created on first use. Names are Prometheus names without the prefix `turmericpier_`.
/// References that are returned stay valid as long as this object. All functions may be called from any thread.
class Metrics {
public:
    Counter& counter(std::string_view name);
    Gauge& gauge(std::string_view name);
    Latency& latency(std::string_view name);
    std::string toPrometheusText() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Counter>, std::less<>> m_counters;
    std::map<std::string, std::unique_ptr<Gauge>, std::less<>> m_gauges;
    std::map<std::string, std::unique_ptr<Latency>, std::less<>> m_latencies;
};

} // namespace turmericpier
