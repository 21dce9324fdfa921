#pragma once

#include "carrier/carrier.h"
#include "carrier/control_client.h"
#include "carrier/evacuation_follower.h"
#include "carrier/listing_follower.h"
#include "carrier/poll_schedule.h"
#include "model/node_settings.h"
#include "net/http_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace buckthorngrade {

// An entry instance of a deployment that discovers its parts. It carries callers' requests, learns
// routing, upstreams and evacuations from the control instances, and reports itself to them.
//
// It takes only what is newer than what it has. After its start it is not ready before a majority
// of the control instances has answered, because a single one may have been cut off and know only
// an old routing document.
class entry_node
{
public:
    // `isReadyRequest` tells a request of the deployment that asks for readiness from others. All
    // references must outlive this. Throws net_error if an address can't be bound.
    entry_node(event_loop &loop, node_settings settings, const carry_protocol &protocol,
               const routing_codec &codec, event_log &events, metric_registry &metrics);

    bool isReady() const { return m_isReady && !m_isStopping; }
    // Settings that may change while the process runs: the seeds.
    void reload(const node_settings &settings);
    // Leaves gracefully: callers are sent elsewhere, requests under way are finished, and then
    // `onStopped` is called, within the stop limit.
    void stop(std::function<void()> onStopped);

private:
    void poll();
    void applyView(const std::string &host, const wire::node_view &view);
    void applyRouting(const wire::node_view &view, const std::string &host);
    void applyEvacuations(const wire::node_view &view);
    void updateReadiness();
    std::string nearestControl() const;
    wire::node_report report() const;
    void checkStopped(steady_time since);

    event_loop &m_loop;
    node_settings m_settings;
    const routing_codec &m_codec;
    event_log &m_events;
    peer_view m_peers;
    carrier m_carrier;
    control_client m_control;
    std::set<std::string> m_voterHosts;
    std::set<std::string> m_heard; // control instances that answered since the start
    std::uint64_t m_incarnation;
    poll_schedule m_schedule;
    std::uint64_t m_routingVersion = 0;
    evacuation_follower m_evacuations;
    listing_follower m_listing;
    bool m_isReady = false;
    bool m_isStopping = false;
    std::function<void()> m_onStopped;
    std::unique_ptr<http_server> m_server;
    std::unique_ptr<http_server> m_readyServer;
};

} // namespace buckthorngrade
