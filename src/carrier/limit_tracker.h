#pragma once

#include "carrier/upstream_table.h"
#include "link.pb.h"

#include <cstdint>

namespace buckthorngrade {

// Exchanges the request limits of upstreams with the other entry instances, through the views of
// control instances.
class limit_tracker
{
public:
    // Bounds the size of a report. The rest follows with the next reports.
    static constexpr int maxReportedLimits = 64;

    // Adds what upstreams said to this instance and the control instances do not know yet.
    void describe(const upstream_table &upstreams, steady_time now,
                  wire::node_report &report) const;
    // Applies what upstreams said to other instances.
    void apply(const wire::node_view &view, steady_time now, upstream_table &upstreams);

private:
    std::uint64_t m_epoch = 0; // of the control instance that m_version is of; 0: none
    std::uint64_t m_version = 0;
};

} // namespace buckthorngrade
