#pragma once

#include "agreement/replicator.h"
#include "base/clock.h"
#include "control/confirmation.h"
#include "control/edit_service.h"
#include "control/instance_registry.h"
#include "link.grpc.pb.h"

#include <string>

namespace buckthorngrade {

// Serves wire::instance_link: reports, probes and keyed requests of entry instances.
class instance_service final : public wire::instance_link::Service
{
public:
    // All references must outlive this.
    instance_service(std::string cluster, const replicator &log, edit_service &edits,
                     instance_registry &registry, const confirmation &confirmed,
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
    std::string m_cluster;
    const replicator &m_log;
    edit_service &m_edits;
    instance_registry &m_registry;
    const confirmation &m_confirmed;
    const clock_source &m_clock;
};

} // namespace buckthorngrade
