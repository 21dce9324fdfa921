#pragma once

#include "agreement/replica.h"
#include "base/clock.h"
#include "control/control_state.h"
#include "control/entry_instance_table.h"
#include "control/upstream_limit_table.h"
#include "control/upstream_list_reader.h"
#include "link.grpc.pb.h"

namespace buckthorngrade {

// Serves wire::node_link: records the report of an entry instance and replies with the information
// that the report shows to be missing there.
class node_sync_service final : public wire::node_link::Service
{
public:
    // All references must outlive this object.
    node_sync_service(const replica &log, const control_state &state,
                      const upstream_list_reader &listReader, entry_instance_table &entryInstances,
                      upstream_limit_table &limits, const clock_source &clock);

    grpc::Status Sync(grpc::ServerContext *context, const wire::node_report *report,
                      wire::node_view *view) override;

private:
    // Adds the version of the routing document and, if it is asked for and newer there, its text.
    void addRouting(const wire::node_report &report, wire::node_view &view) const;
    void addInstances(steady_time now, wire::node_view &view) const;

    const replica &m_log;
    const control_state &m_state;
    const upstream_list_reader &m_listReader;
    entry_instance_table &m_entryInstances;
    upstream_limit_table &m_limits;
    const clock_source &m_clock;
};

} // namespace buckthorngrade
