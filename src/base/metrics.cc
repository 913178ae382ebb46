#include "turmericpier/base/metrics.h"

#include <absl/strings/str_cat.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

namespace turmericpier {

namespace {
    namespace acc = boost::accumulators;

    template <typename T>
    T& findOrCreate(std::map<std::string, std::unique_ptr<T>, std::less<>>& metrics, std::string_view name)
    {
        auto found = metrics.find(name);
        if (found == metrics.end())
            found = metrics.emplace(std::string(name), std::make_unique<T>()).first;
        return *found->second;
    }

    std::string withPrefix(std::string_view name)
    {
        return absl::StrCat("turmericpier_", absl::string_view(name.data(), name.size()));
    }
} // namespace

struct Latency::Impl {
    using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>> totals;
    Quantile p50 { acc::quantile_probability = 0.5 };
    Quantile p99 { acc::quantile_probability = 0.99 };
};

Latency::Latency()
    : m_impl(std::make_unique<Impl>())
{
}

Latency::~Latency() = default;

void Latency::record(Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    std::lock_guard lock(m_mutex);
    m_impl->totals(seconds);
    m_impl->p50(seconds);
    m_impl->p99(seconds);
}

void Latency::appendPrometheusText(std::string& out, std::string_view name) const
{
    const auto fullName = withPrefix(name);
    std::lock_guard lock(m_mutex);
    const auto count = acc::count(m_impl->totals);
    absl::StrAppend(&out, "# TYPE ", fullName, " summary\n");
    if (count > 0) {
        absl::StrAppend(&out, fullName, "{quantile=\"0.5\"} ", acc::p_square_quantile(m_impl->p50), "\n");
        absl::StrAppend(&out, fullName, "{quantile=\"0.99\"} ", acc::p_square_quantile(m_impl->p99), "\n");
        absl::StrAppend(&out, fullName, "{quantile=\"1\"} ", acc::max(m_impl->totals), "\n");
    }
    absl::StrAppend(&out, fullName, "_sum ", acc::sum(m_impl->totals), "\n", fullName, "_count ", count, "\n");
}

Counter& Metrics::counter(std::string_view name)
{
    std::lock_guard lock(m_mutex);
    return findOrCreate(m_counters, name);
}

Gauge& Metrics::gauge(std::string_view name)
{
    std::lock_guard lock(m_mutex);
    return findOrCreate(m_gauges, name);
}

Latency& Metrics::latency(std::string_view name)
{
    std::lock_guard lock(m_mutex);
    return findOrCreate(m_latencies, name);
}

std::string Metrics::toPrometheusText() const
{
    std::string out;
    std::lock_guard lock(m_mutex);
    for (const auto& [name, counter] : m_counters)
        absl::StrAppend(&out, "# TYPE ", withPrefix(name), " counter\n", withPrefix(name), " ", counter->value(), "\n");
    for (const auto& [name, gauge] : m_gauges)
        absl::StrAppend(&out, "# TYPE ", withPrefix(name), " gauge\n", withPrefix(name), " ", gauge->value(), "\n");
    for (const auto& [name, latency] : m_latencies)
        latency->appendPrometheusText(out, name);
    return out;
}

} // namespace turmericpier
