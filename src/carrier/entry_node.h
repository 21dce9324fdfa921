#pragma once

#include "carrier/control_client.h"
#include "carrier/details_host_selector.h"
#include "carrier/evacuation_tracker.h"
#include "carrier/listing_tracker.h"
#include "carrier/poll_schedule.h"
#include "carrier/reverse_proxy.h"
#include "model/node_settings.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace buckthorngrade {

// An entry instance of a deployment that uses service discovery. It forwards callers' requests,
// receives the routing document, upstreams and evacuations from the control instances, and reports
// its own state to them.
//
// It applies only data that is newer than its own. After its start it is not ready until a majority
// of the control instances has responded, because a single one may be partitioned and have an
// outdated routing document.
class entry_node
{
public:
    // All references must outlive this object. Throws net_error if an address can't be bound.
    entry_node(event_loop &loop, node_settings settings, const proxy_header_names &headerNames,
               const routing_codec &codec, event_log &events, metric_registry &metrics);

    bool isReady() const { return m_isReady && !m_isStopping; }
    // Applies the settings that may change while the process runs: the seed hosts.
    void reload(const node_settings &settings);
    // Shuts down gracefully: the directory sends callers to other instances, and `onStopped` is
    // called when the requests in progress have finished, or else shortly before the stop limit.
    void stop(std::function<void()> onStopped);

private:
    void poll();
    void applyView(const std::string &host, const wire::node_view &view);
    void applyRouting(const wire::node_view &view, const std::string &host);
    // Decodes a document that control instances have accepted. Logs a fault for which they would
    // reject it as a new one. Throws settings_error if it can't be read.
    routing_document decodeRouting(const std::string &text);
    void applyEvacuations(const wire::node_view &view);
    void updateReadiness();
    // Sends a report to all control instances and asks one of them for the details.
    void sendReports();
    wire::node_report report() const;
    void checkStopped(steady_time since);

    event_loop &m_loop;
    node_settings m_settings;
    const routing_codec &m_codec;
    event_log &m_events;
    peer_view m_peers;
    reverse_proxy m_proxy;
    control_client m_control;
    std::set<std::string> m_voterHosts;
    std::set<std::string> m_respondedHosts; // control instances that responded since the start
    std::uint64_t m_incarnation;
    poll_schedule m_schedule;
    details_host_selector m_detailsHost;
    std::optional<std::uint64_t> m_routingVersion; // in force; nullopt: none
    std::optional<std::uint64_t> m_requestedRouting; // version that was requested last
    steady_time m_routingRequestedAt{};
    evacuation_tracker m_evacuations;
    listing_tracker m_listing;
    bool m_isReady = false;
    bool m_isStopping = false;
    std::function<void()> m_onStopped;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<http_server> m_readyServer;
};

} // namespace buckthorngrade
