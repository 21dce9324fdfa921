#pragma once

#include "agreement/replicator.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/http_listener.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "control/admin_server.h"
#include "control/allocation_service.h"
#include "control/config_publisher.h"
#include "control/control_state.h"
#include "control/edit_service.h"
#include "control/feed_service.h"
#include "control/instance_maintainer.h"
#include "control/instance_registry.h"
#include "control/instance_service.h"
#include "control/leader_confirmation.h"
#include "control/leader_confirmation_updater.h"
#include "control/membership_manager.h"
#include "model/settings.h"

#include <grpcpp/server.h>

#include <memory>
#include <vector>

namespace buckthorngrade {

// A running control instance. The constructor starts it and the destructor stops it.
class control_instance
{
public:
    // All references must outlive this. `state` must be the state machine of `log`. `extraServices`
    // are served on the same gRPC address. If `members` is null, operators can't change the control
    // group. Throws control_error if an address can't be bound.
    control_instance(const settings &config, replicator &log, control_state &state,
                     config_publisher &hub, const clock_source &clock, event_log &events,
                     metric_registry &metrics, const json_tracer &tracer,
                     const std::vector<grpc::Service *> &extraServices = {},
                     membership_manager *members = nullptr);
    ~control_instance();
    control_instance(const control_instance &) = delete;
    control_instance &operator=(const control_instance &) = delete;

private:
    edit_service m_edits;
    instance_registry m_registry;
    leader_confirmation m_confirmation;
    allocation_service m_allocations;
    instance_service m_instanceService;
    feed_service m_feedService;
    admin_server m_admin;
    std::unique_ptr<grpc::Server> m_grpcServer;
    http_listener m_http;
    leader_confirmation_updater m_confirmationDuty;
    instance_maintainer m_instanceMaintainer;
};

} // namespace buckthorngrade
