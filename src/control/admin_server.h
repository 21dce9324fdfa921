#pragma once

#include "base/event_log.h"
#include "base/http_listener.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "control/control_state.h"
#include "control/edit_service.h"
#include "control/instance_registry.h"
#include "control/leader_confirmation.h"
#include "control/membership_manager.h"
#include "model/settings.h"

#include <Poco/JSON/Object.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// HTTP interface of a control instance for operators: profiles, drains, members, status, health and
// metrics. docs/operators.md lists the paths. Responses are JSON, except for profile texts (YAML),
// health, readiness and metrics (plain text). An instance that is not the leader answers an edit
// with status 421 and a Leader header, or with 503 if no leader is known. Reads return the state
// applied on this instance; Confirmed-Age-Ms is the time since a quorum last confirmed the leader,
// as far as this instance knows. Unknown or repeated parameters, headers and keys are rejected, so
// that a misspelled one is never ignored.
class admin_server final : public http_handler
{
public:
    // All references must outlive this. If `members` is null, operators can't change the control
    // group.
    admin_server(const settings &config, const control_state &state, edit_service &edits,
                 const replicator &log, membership_manager *members, instance_registry &registry,
                 const leader_confirmation &confirmed, const clock_source &clock, event_log &events,
                 const metric_registry &metrics, const json_tracer &tracer);

    void handle(Poco::Net::HTTPServerRequest &request,
                Poco::Net::HTTPServerResponse &response) override;

private:
    struct request_target
    {
        std::string path;
        std::map<std::string, std::string> query;
    };
    struct route_entry
    {
        std::string_view method;
        std::string_view prefix;
        std::string_view suffix; // of the path, after NAME
        bool hasName; // the path is prefix, NAME and suffix; otherwise the prefix alone
        std::set<std::string> parameters;
        bool isEdit;
        void (admin_server::*handler)(Poco::Net::HTTPServerRequest &request,
                                      Poco::Net::HTTPServerResponse &response,
                                      const std::string &name, const request_target &target);
    };
    static const std::vector<route_entry> &routes();
    void route(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
               const request_target &target);
    void listProfiles(Poco::Net::HTTPServerRequest &request,
                      Poco::Net::HTTPServerResponse &response, const std::string &name,
                      const request_target &target);
    void getProfile(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                    const std::string &name, const request_target &target);
    void getHistory(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                    const std::string &name, const request_target &target);
    void putProfile(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                    const std::string &name, const request_target &target);
    void listDrains(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                    const std::string &name, const request_target &target);
    void announceDrain(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response, const std::string &name,
                       const request_target &target);
    void cancelDrain(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                     const std::string &name, const request_target &target);
    void removeInstance(Poco::Net::HTTPServerRequest &request,
                        Poco::Net::HTTPServerResponse &response, const std::string &name,
                        const request_target &target);
    void changeMembers(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response, const std::string &name,
                       const request_target &target);
    void getStatus(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                   const std::string &name, const request_target &target);
    void getReadiness(Poco::Net::HTTPServerRequest &request,
                      Poco::Net::HTTPServerResponse &response, const std::string &name,
                      const request_target &target);
    void getHealth(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                   const std::string &name, const request_target &target);
    void getMetrics(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                    const std::string &name, const request_target &target);
    void submitAndRespond(Poco::Net::HTTPServerResponse &response, const wire::edit &edit);
    void sendNotLeader(Poco::Net::HTTPServerResponse &response, replica_id leader);
    void addMembers(Poco::JSON::Object &status) const;
    void addInstances(Poco::JSON::Object &status, bool isConfirmedLeader);

    const settings &m_settings;
    const control_state &m_state;
    edit_service &m_edits;
    const replicator &m_log;
    membership_manager *m_members;
    instance_registry &m_registry;
    const leader_confirmation &m_confirmed;
    const clock_source &m_clock;
    event_log &m_events;
    const metric_registry &m_metrics;
    const json_tracer &m_tracer;
};

} // namespace buckthorngrade
