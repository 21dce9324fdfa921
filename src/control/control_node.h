#pragma once

#include "agreement/posix_file_system.h"
#include "agreement/replica.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "base/periodic_thread.h"
#include "control/control_state.h"
#include "control/entry_instance_table.h"
#include "control/grpc_peer_transport.h"
#include "control/listing_follower.h"
#include "control/listing_link_service.h"
#include "control/node_sync_service.h"
#include "control/routing_service.h"
#include "control/upstream_limit_table.h"
#include "control/upstream_list_reader.h"
#include "model/node_settings.h"

#include <grpcpp/server.h>

#include <functional>
#include <memory>
#include <string>

namespace buckthorngrade {

// A control instance of a deployment whose instances discover each other through seeds.
//
// At the first start of the deployment the seeds form the control group. Every other instance asks
// to join, and the leader adds it while the group has fewer than maxMembers members. An instance
// that restarts with an empty data folder joins again and has no vote until its log has caught up.
// One that joins while a member is silent takes that member's place, and a member that stays silent
// is removed, so machines that were replaced do not count for a majority.
// The id of a replica is its IPv4 address.
class control_node
{
public:
    // The largest deployments have nine failure domains with one control instance each. With this
    // limit a quorum is a majority of all control machines, and no instance stays outside the
    // group.
    static constexpr std::size_t maxMembers = 9;

    // All references must outlive this object. `onFailure` is called on a thread of this object
    // when the replica has stopped because of a disk failure. Throws agreement_error if the data
    // folder is damaged and control_error if the address can't be bound.
    control_node(const node_settings &settings, const routing_codec &codec,
                 listing_source &upstreamSource, const clock_source &clock, event_log &events,
                 metric_registry &metrics, std::function<void(const std::string &)> onFailure);
    ~control_node();
    control_node(const control_node &) = delete;
    control_node &operator=(const control_node &) = delete;

    routing_service &routing() { return m_routing; }
    const entry_instance_table &entryInstances() const { return m_entryInstances; }
    const control_state &state() const { return m_state; }
    role_view view() const { return m_replica->view(); }

private:
    control_state m_state;
    posix_file_system m_files;
    grpc_peer_transport m_link;
    std::unique_ptr<replica> m_replica;
    grpc_peer_service m_peerLinkService;
    entry_instance_table m_entryInstances;
    upstream_limit_table m_upstreamLimits;
    upstream_list_reader m_listReader;
    node_sync_service m_syncService;
    listing_link_service m_listingLinkService;
    listing_follower m_listFollower;
    routing_service m_routing;
    std::unique_ptr<grpc::Server> m_server;
    periodic_thread m_listReadThread;
    periodic_thread m_listFollowThread;
};

} // namespace buckthorngrade
