#include "control/entry_instance_table.h"

#include <algorithm>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr int missedReportsUntilSilent = 3;
// The one-way delay between regions with its jitter.
constexpr std::chrono::milliseconds maxReportDelay{100};

} // namespace

void entry_instance_table::update(const wire::node_report &report, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    record &known = m_records[report.instance()];
    // A delayed report of an earlier process must not replace that of the current one.
    if (report.incarnation() < known.incarnation)
        return;
    known.incarnation = report.incarnation();
    known.last = {report.instance(), report.entry_address(), report.region(),
                  report.failure_domain(), report.ready() && !report.leaving()};
    known.loads.assign(report.loads().begin(), report.loads().end());
    known.lastReportAt = now;
    known.silenceLimit = std::clamp(
        missedReportsUntilSilent * std::chrono::milliseconds(report.period_ms()) + maxReportDelay,
        minSilenceLimit, maxSilenceLimit);
    std::erase_if(m_records,
                  [&](const auto &item) { return now - item.second.lastReportAt > forgetAfter; });
}

std::vector<entry_instance_table::entry> entry_instance_table::live(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<entry> result;
    for (const auto &[name, known] : m_records)
        if (now - known.lastReportAt <= known.silenceLimit)
            result.push_back(known.last);
    return result;
}

std::vector<wire::region_load> entry_instance_table::loads(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::pair<std::string, std::string>, double> sums;
    for (const auto &[name, known] : m_records)
        if (now - known.lastReportAt <= known.silenceLimit)
            for (const wire::region_load &load : known.loads)
                sums[{load.service(), load.region()}] += load.requests();
    std::vector<wire::region_load> result;
    for (const auto &[key, requests] : sums) {
        wire::region_load &load = result.emplace_back();
        load.set_service(key.first);
        load.set_region(key.second);
        load.set_requests(requests);
    }
    return result;
}

} // namespace buckthorngrade
