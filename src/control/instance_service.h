#pragma once

#include "agreement/replicator.h"
#include "base/clock.h"
#include "control/allocation_service.h"
#include "control/edit_service.h"
#include "control/instance_registry.h"
#include "control/leader_confirmation.h"
#include "link.grpc.pb.h"

#include <memory>
#include <mutex>
#include <string>

namespace buckthorngrade {

// Serves wire::instance_link: reports, probes and requests with idempotency keys that entry
// instances send.
class instance_service final : public wire::instance_link::Service
{
public:
    // All references must outlive this object.
    instance_service(std::string cluster, const replicator &log, edit_service &edits,
                     const control_state &state, instance_registry &registry,
                     allocation_service &allocations, const leader_confirmation &confirmed,
                     const clock_source &clock);

    grpc::Status Report(grpc::ServerContext *context, const wire::report_request *request,
                        wire::report_reply *reply) override;
    grpc::Status BeginRequest(grpc::ServerContext *context, const wire::begin_request *request,
                              wire::begin_reply *reply) override;
    grpc::Status FinishRequest(grpc::ServerContext *context, const wire::finish_request *request,
                               wire::finish_reply *reply) override;
    grpc::Status Probe(grpc::ServerContext *context, const wire::probe_request *request,
                       wire::probe_reply *reply) override;

private:
    void addInstances(wire::report_reply &reply);

    std::string m_cluster;
    const replicator &m_log;
    edit_service &m_edits;
    const control_state &m_state;
    instance_registry &m_registry;
    allocation_service &m_allocations;
    const leader_confirmation &m_confirmed;
    const clock_source &m_clock;
    std::mutex m_instanceTableMutex;
    steady_time m_instanceTableBuiltAt;
    std::shared_ptr<const wire::report_reply> m_instanceTable;
};

} // namespace buckthorngrade
