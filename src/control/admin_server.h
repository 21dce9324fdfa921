#pragma once

#include "base/http_listener.h"
#include "base/trace.h"
#include "control/control_state.h"
#include "control/edit_service.h"
#include "control/instance_registry.h"
#include "model/settings.h"

#include <string>

namespace buckthorngrade {

// The operators' HTTP interface of a control instance: profiles, drains, status, health and
// metrics. Answers are JSON except profile texts (YAML) and metrics. docs/operators.md lists the
// paths. An edit that reaches an instance that does not lead is answered 421 with a Leader header.
class admin_server final : public http_handler
{
public:
    // All references must outlive this.
    admin_server(const settings &config, const control_state &state, edit_service &edits,
                 const replicator &log, const instance_registry &registry,
                 const clock_source &clock, const metric_registry &metrics,
                 const json_tracer &tracer);

    void handle(Poco::Net::HTTPServerRequest &request,
                Poco::Net::HTTPServerResponse &response) override;

private:
    struct target
    {
        std::string path;
        std::map<std::string, std::string> query;
    };
    void route(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
               const target &asked);
    void listProfiles(Poco::Net::HTTPServerResponse &response);
    void getProfile(Poco::Net::HTTPServerResponse &response, const std::string &name,
                    const target &asked);
    void getHistory(Poco::Net::HTTPServerResponse &response, const std::string &name);
    void putProfile(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                    const std::string &name, const target &asked);
    void listDrains(Poco::Net::HTTPServerResponse &response);
    void announceDrain(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response);
    void cancelDrain(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response,
                     const std::string &id);
    void getStatus(Poco::Net::HTTPServerResponse &response);
    void getReadiness(Poco::Net::HTTPServerResponse &response);
    void answerEdit(Poco::Net::HTTPServerResponse &response, const wire::edit &edit);

    const settings &m_settings;
    const control_state &m_state;
    edit_service &m_edits;
    const replicator &m_log;
    const instance_registry &m_registry;
    const clock_source &m_clock;
    const metric_registry &m_metrics;
    const json_tracer &m_tracer;
};

} // namespace buckthorngrade
