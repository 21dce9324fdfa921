#pragma once

#include "agreement/posix_file_system.h"
#include "agreement/replica.h"
#include "base/clock.h"
#include "base/duty_thread.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "control/control_state.h"
#include "control/node_roster.h"
#include "control/node_sync_service.h"
#include "control/peer_link.h"
#include "control/routing_service.h"
#include "control/upstream_lister.h"
#include "model/node_settings.h"

#include <grpcpp/server.h>

#include <functional>
#include <memory>
#include <string>

namespace buckthorngrade {

// A control instance of a deployment that discovers its parts.
//
// At the first start of the deployment the seeds found the control group; every other instance
// asks to join, and the leader adds it while there are fewer than maxMembers. An instance that
// comes back with an empty data folder joins anew and has no vote before it has caught up. A
// replica's id is its IPv4 address.
class control_node
{
public:
    // One for each failure domain of the largest deployments: a quorum is then a majority of the
    // machines that the deployment counts, and no instance stays outside the group.
    static constexpr std::size_t maxMembers = 9;

    // All references must outlive this. `onFailure` is called on a thread of this when the replica
    // has stopped because of its disk. Throws agreement_error for a damaged data folder and
    // control_error for an address that can't be bound.
    control_node(const node_settings &settings, const routing_codec &codec,
                 listing_source &upstreamSource, const clock_source &clock, event_log &events,
                 metric_registry &metrics, std::function<void(const std::string &)> onFailure);
    ~control_node();
    control_node(const control_node &) = delete;
    control_node &operator=(const control_node &) = delete;

    routing_service &routing() { return m_routing; }
    const node_roster &roster() const { return m_roster; }
    const control_state &state() const { return m_state; }
    role_view view() const { return m_replica->view(); }

private:
    control_state m_state;
    posix_file_system m_files;
    peer_link m_link;
    std::unique_ptr<replica> m_replica;
    peer_link_service m_deliver;
    node_roster m_roster;
    upstream_lister m_lister;
    node_sync_service m_sync;
    routing_service m_routing;
    std::unique_ptr<grpc::Server> m_server;
    duty_thread m_listDuty;
};

} // namespace buckthorngrade
