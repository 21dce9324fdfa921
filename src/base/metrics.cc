#include "base/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace buckthorngrade {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 3> quantileLevels = {0.5, 0.99, 0.999};

std::string formatLabels(const std::string &labels, const std::string &extra = {})
{
    const std::string joined
        = labels.empty() || extra.empty() ? labels + extra : labels + "," + extra;
    return joined.empty() ? joined : "{" + joined + "}";
}

// Writes a `# TYPE` line if `name` differs from `last`. Names must be passed in sorted order.
void writeType(std::string &out, std::string &last, const std::string &name, std::string_view type)
{
    if (name == last)
        return;
    last = name;
    fmt::format_to(std::back_inserter(out), "# TYPE {} {}\n", name, type);
}

} // namespace

metric_summary::metric_summary()
    : m_accumulator(acc::extended_p_square_probabilities = quantileLevels)
{ }

void metric_summary::add(std::chrono::nanoseconds value)
{
    const std::lock_guard lock(m_mutex);
    m_accumulator(std::chrono::duration<double>(value).count());
}

metric_summary::snapshot metric_summary::read() const
{
    const std::lock_guard lock(m_mutex);
    snapshot result;
    result.count = acc::count(m_accumulator);
    result.quantiles.assign(quantileLevels.size(), 0.0);
    if (result.count == 0)
        return result;
    result.sumSeconds = acc::sum(m_accumulator);
    result.maxSeconds = acc::max(m_accumulator);
    const auto estimates = acc::extended_p_square(m_accumulator);
    std::copy(estimates.begin(), estimates.end(), result.quantiles.begin());
    return result;
}

metric_counter &metric_registry::counter(const std::string &name, const std::string &labels)
{
    const std::lock_guard lock(m_mutex);
    auto &slot = m_counters[{name, labels}];
    if (!slot)
        slot = std::make_unique<metric_counter>();
    return *slot;
}

metric_summary &metric_registry::summary(const std::string &name, const std::string &labels)
{
    const std::lock_guard lock(m_mutex);
    auto &slot = m_summaries[{name, labels}];
    if (!slot)
        slot = std::make_unique<metric_summary>();
    return *slot;
}

void metric_registry::gauge(const std::string &name, const std::string &labels,
                            std::function<double()> read)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[{name, labels}] = std::move(read);
}

std::string metric_registry::render() const
{
    const std::lock_guard lock(m_mutex);
    std::string out;
    std::string last;
    const auto to = std::back_inserter(out);
    for (const auto &[id, value] : m_counters) {
        writeType(out, last, id.first, "counter");
        fmt::format_to(to, "{}{} {}\n", id.first, formatLabels(id.second), value->value());
    }
    for (const auto &[id, read] : m_gauges) {
        writeType(out, last, id.first, "gauge");
        fmt::format_to(to, "{}{} {}\n", id.first, formatLabels(id.second), read());
    }
    for (const auto &[id, value] : m_summaries) {
        writeType(out, last, id.first, "summary");
        const auto read = value->read();
        for (std::size_t i = 0; i < quantileLevels.size(); ++i)
            fmt::format_to(
                to, "{}{} {}\n", id.first,
                formatLabels(id.second, fmt::format("quantile=\"{}\"", quantileLevels[i])),
                read.quantiles[i]);
        fmt::format_to(to, "{}_sum{} {}\n", id.first, formatLabels(id.second), read.sumSeconds);
        fmt::format_to(to, "{}_count{} {}\n", id.first, formatLabels(id.second), read.count);
    }
    return out;
}

std::string escapeLabel(std::string_view value)
{
    std::string out;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            out += '\\';
        if (c == '\n')
            out += "\\n";
        else
            out += c;
    }
    return out;
}

} // namespace buckthorngrade
