#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// Monotonic counter that starts at 0 when the process starts. Thread-safe.
class metric_counter
{
public:
    void add(std::uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

// Summary of durations: count, sum, maximum, and quantiles estimated with the P-square algorithm.
// Thread-safe.
class metric_summary
{
public:
    metric_summary();
    void add(std::chrono::nanoseconds value);

    struct snapshot
    {
        std::uint64_t count = 0;
        double sumSeconds = 0;
        double maxSeconds = 0;
        // Quantiles 0.5, 0.99 and 0.999 in seconds, or 0 if there are no samples.
        std::vector<double> quantiles;
    };
    snapshot read() const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max,
                                   boost::accumulators::tag::extended_p_square>>;
    mutable std::mutex m_mutex;
    accumulator m_accumulator;
};

// Owns the metrics of a process and renders them as Prometheus text. Names are full Prometheus
// names. `labels` is the text between the braces, for example `service="stock"`, and must come from
// a bounded set of values. Returned references are valid for the lifetime of the registry.
// Thread-safe.
class metric_registry
{
public:
    metric_counter &counter(const std::string &name, const std::string &labels = {});
    metric_summary &summary(const std::string &name, const std::string &labels = {});
    // Registers a gauge whose value is read when the metrics are rendered. Whatever `read` refers
    // to must outlive the registry.
    void gauge(const std::string &name, const std::string &labels, std::function<double()> read);

    // Renders the Prometheus text exposition format, version 0.0.4.
    std::string render() const;

private:
    using key = std::pair<std::string, std::string>;
    mutable std::mutex m_mutex;
    std::map<key, std::unique_ptr<metric_counter>> m_counters;
    std::map<key, std::unique_ptr<metric_summary>> m_summaries;
    std::map<key, std::function<double()>> m_gauges;
};

// Escapes backslashes, quotes and newlines in a label value.
std::string escapeLabel(std::string_view value);

} // namespace buckthorngrade
