#include "entry/freshness_client.h"

#include "base/socket_stream.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <grpcpp/completion_queue.h>

#include <algorithm>
#include <memory>

#include <poll.h>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds probePeriod{1'000};
constexpr std::chrono::milliseconds probeTimeout{800};
// A TCP handshake between regions takes 110 ms.
constexpr std::chrono::milliseconds connectTimeout{500};

// A pending probe of one voter.
struct voter_probe
{
    std::uint32_t voter = 0;
    steady_time sentAt;
    grpc::ClientContext context;
    wire::probe_reply reply;
    grpc::Status status;
    std::unique_ptr<grpc::ClientAsyncResponseReader<wire::probe_reply>> reader;
};

} // namespace

std::vector<connect_outcome> tryConnect(const std::vector<std::string> &addresses,
                                        std::chrono::milliseconds timeout)
{
    std::vector<connect_outcome> result(addresses.size(), connect_outcome::no_response);
    std::vector<Poco::Net::StreamSocket> sockets(addresses.size());
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        try {
            sockets[i].connectNB(Poco::Net::SocketAddress(addresses[i]));
        } catch (const Poco::Net::ConnectionRefusedException &) {
            result[i] = connect_outcome::refused;
        } catch (const Poco::Exception &) { // such as no route: tells nothing about the process
        }
    }
    const steady_time deadline = std::chrono::steady_clock::now() + timeout;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        if (result[i] != connect_outcome::no_response || !sockets[i].impl()->initialized())
            continue;
        if (waitForEvents(sockets[i].impl()->sockfd(), POLLOUT, deadline) == 0)
            continue;
        const int failure = sockets[i].impl()->socketError();
        if (failure == 0)
            result[i] = connect_outcome::connected;
        else if (failure == ECONNREFUSED)
            result[i] = connect_outcome::refused;
    }
    return result;
}

freshness_client::freshness_client(const settings &config, const control_channels &channels,
                                   const feed_client &feed, const config_store &store,
                                   leader_hint &leader, const clock_source &clock,
                                   event_log &events,
                                   std::function<void(steady_time)> onNoQuorumProof)
    : m_settings(config)
    , m_channels(channels)
    , m_feed(feed)
    , m_store(store)
    , m_leader(leader)
    , m_clock(clock)
    , m_events(events)
    , m_onNoQuorumProof(std::move(onNoQuorumProof))
    , m_rule(config.members.size())
    , m_thread(
          "freshness", probePeriod, [this] { run(); }, events)
{ }

freshness_decision freshness_client::decide() const
{
    const std::lock_guard lock(m_mutex);
    m_rule.recordApplied(m_store.current()->revision);
    return m_rule.decide(m_clock.now());
}

bool freshness_client::isReady() const
{
    return m_store.current()->revision > 0 && decide().state != freshness::isolated;
}

void freshness_client::run()
{
    probeFeedServer();
    if (decide().state != freshness::current)
        probeAllVoters();
    const freshness_decision decision = decide();
    if (decision.state == freshness::no_quorum_proven && decision.provenAt)
        m_onNoQuorumProof(*decision.provenAt);
    if (decision.state != m_lastState)
        m_events.write(event_id::freshness_changed,
                       {{"state", toString(decision.state)}, {"rule", decision.rule}});
    m_lastState = decision.state;
}

bool freshness_client::probeFeedServer()
{
    const control_channels::member &member = m_channels.members()[m_feed.memberInUse()];
    const steady_time sentAt = m_clock.now();
    grpc::ClientContext context;
    context.set_wait_for_ready(true);
    context.set_deadline(std::chrono::system_clock::now() + probeTimeout);
    wire::probe_request request;
    request.set_cluster(m_settings.cluster);
    wire::probe_reply reply;
    if (!member.link->Probe(&context, request, &reply).ok())
        return false;
    m_leader.observe(reply.leader());
    if (!reply.confirmed())
        return false;
    const std::lock_guard lock(m_mutex);
    m_rule.recordStamp(reply.confirmed_revision(),
                       sentAt - std::chrono::milliseconds(reply.confirmed_age_ms()));
    return true;
}

void freshness_client::probeAllVoters()
{
    std::vector<std::string> addresses;
    std::ranges::transform(m_settings.members, std::back_inserter(addresses),
                           &control_member::grpcAddress);
    const steady_time start = m_clock.now();
    const auto connected = tryConnect(addresses, connectTimeout);

    grpc::CompletionQueue queue;
    std::vector<std::unique_ptr<voter_probe>> probes;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        const std::uint32_t voter = m_settings.members[i].id;
        if (connected[i] == connect_outcome::refused) {
            const std::lock_guard lock(m_mutex);
            m_rule.recordProbe(voter, probe_answer::refused, start);
        }
        const auto *member = m_channels.find(voter);
        if (connected[i] != connect_outcome::connected || !member)
            continue;
        probes.push_back(std::make_unique<voter_probe>());
        voter_probe &probe = *probes.back();
        probe.voter = voter;
        probe.sentAt = m_clock.now();
        probe.context.set_wait_for_ready(true);
        probe.context.set_deadline(std::chrono::system_clock::now() + probeTimeout);
        wire::probe_request request;
        request.set_cluster(m_settings.cluster);
        probe.reader = member->link->AsyncProbe(&probe.context, request, &queue);
        probe.reader->Finish(&probe.reply, &probe.status, &probe);
    }
    for (std::size_t pending = probes.size(); pending > 0; --pending) {
        void *tag = nullptr;
        bool isOk = false;
        if (!queue.Next(&tag, &isOk))
            break;
        const voter_probe &probe = *static_cast<voter_probe *>(tag);
        if (!isOk || !probe.status.ok())
            continue;
        m_leader.observe(probe.reply.leader());
        const std::lock_guard lock(m_mutex);
        m_rule.recordProbe(probe.voter,
                           probe.reply.leader() != 0 ? probe_answer::has_leader
                                                     : probe_answer::no_leader,
                           probe.sentAt);
        if (probe.reply.confirmed())
            m_rule.recordStamp(probe.reply.confirmed_revision(),
                               probe.sentAt
                                   - std::chrono::milliseconds(probe.reply.confirmed_age_ms()));
    }
    queue.Shutdown();
    void *tag = nullptr;
    bool isOk = false;
    while (queue.Next(&tag, &isOk)) { }
}

} // namespace buckthorngrade
