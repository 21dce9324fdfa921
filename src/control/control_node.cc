#include "control/control_node.h"

#include "base/ipv4.h"
#include "control/grpc_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <random>
#include <ranges>
#include <string>
#include <vector>

namespace buckthorngrade {

namespace {

constexpr const char *clusterName = "buckthorngrade";
// Requests to a leaving upstream must stop within seconds after the list marks it as leaving. A
// shorter period would cost more, because every read of the list is charged.
constexpr std::chrono::milliseconds listReadPeriod{700};
// Limits the calls to the leader while the pages of a long list change one after the other.
constexpr std::chrono::milliseconds minListFollowPeriod{100};
// The stream to a peer is reopened on a new connection if the peer is silent for this long.
// Heartbeats are sent every 150 ms, and the one-way delay of a link is at most 55 ms.
constexpr std::chrono::milliseconds peerSilenceLimit{1'200};

// Four heartbeat periods and a round trip between regions. The timeout is short because routing
// changes, reads of the list of upstreams and the restart of the whole group wait for an election.
constexpr std::chrono::milliseconds electionTimeout{700};

// Value of the metric buckthorngrade_routing_version if no document has been accepted.
constexpr double noRoutingVersion = -1;

std::string replicaAddress(const node_settings &settings, replica_id id)
{
    return fmt::format("{}:{}", ipv4ToString(id), settings.replicaPort());
}

grpc_peer_transport::settings linkSettings(const node_settings &settings)
{
    grpc_peer_transport::settings result;
    result.cluster = clusterName;
    result.self = ipv4FromString(settings.host);
    result.addressOf = [settings](replica_id id) { return replicaAddress(settings, id); };
    result.silenceTimeout = peerSilenceLimit;
    return result;
}

replica_settings replicaSettings(const node_settings &settings)
{
    replica_settings result;
    result.cluster = clusterName;
    result.self = ipv4FromString(settings.host);
    std::ranges::transform(settings.seedHosts, std::back_inserter(result.members), ipv4FromString);
    result.folder = settings.dataFolder;
    result.initialize = settings.isFirstStart
        && std::ranges::find(result.members, result.self) != result.members.end();
    result.allowInitialized = true;
    result.autoJoinMaxMembers = control_node::maxMembers;
    // A majority of these voters remains after the loss of so many disks.
    result.minVoters = 2 * settings.toleratedDiskLosses + 1;
    result.electionTimeout = electionTimeout;
    return result;
}

std::uint64_t newEpoch()
{
    std::random_device random;
    return (std::uint64_t{random()} << 32U | random()) | 1U;
}

std::vector<std::string> failureDomains(const node_settings &settings)
{
    std::vector<std::string> result;
    std::ranges::copy(settings.regionOfDomain | std::views::keys, std::back_inserter(result));
    return result;
}

} // namespace

control_node::control_node(const node_settings &settings, const routing_codec &codec,
                           listing_source &upstreamSource, const clock_source &clock,
                           event_log &events, metric_registry &metrics,
                           std::function<void(const std::string &)> onFailure)
    : m_link(linkSettings(settings), events, metrics)
    , m_replica(std::make_unique<replica>(replicaSettings(settings), m_files, m_state, m_link,
                                          clock, events, metrics))
    , m_peerLinkService(
          clusterName, ipv4FromString(settings.host),
          [this](replica_id from, std::string bytes) {
              m_link.recordReceived(from);
              m_replica->receive(std::move(bytes));
          },
          events)
    , m_upstreamLimits(newEpoch())
    , m_listReader(upstreamSource, failureDomains(settings), *m_replica, clock, events, metrics)
    , m_syncService(*m_replica, m_state, m_listReader, m_entryInstances, m_upstreamLimits, clock)
    , m_listingLinkService(m_listReader, clock)
    , m_listFollower(
          m_listReader, *m_replica,
          [settings](replica_id id) { return replicaAddress(settings, id); }, clock, events)
    , m_routing(*m_replica, m_state, codec, events)
    , m_server(startGrpcServer(replicaAddress(settings, ipv4FromString(settings.host)),
                               {&m_peerLinkService, &m_syncService, &m_listingLinkService}))
    , m_listReadThread(
          "upstream list", listReadPeriod, [this] { m_listReader.run(); }, events)
    , m_listFollowThread(
          "upstream list copy", minListFollowPeriod, [this] { m_listFollower.run(); }, events)
{
    m_replica->start(std::move(onFailure));
    // Connects in advance. Otherwise the first election after a restart of the whole group would
    // time out while the connections between the voters are established in both directions.
    for (const member_status &member : m_replica->membership().members)
        m_link.connect(member.id);
    metrics.gauge("buckthorngrade_is_leader", "",
                  [this] { return m_replica->view().isLeader ? 1.0 : 0.0; });
    metrics.gauge("buckthorngrade_routing_version", "", [this] {
        const auto version = m_state.routingVersion();
        return version ? static_cast<double>(*version) : noRoutingVersion;
    });
}

control_node::~control_node()
{
    m_replica->stop();
    m_link.stop();
    m_server->Shutdown(std::chrono::system_clock::now() + grpcShutdownTimeout);
}

} // namespace buckthorngrade
