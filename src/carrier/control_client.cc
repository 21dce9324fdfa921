#include "carrier/control_client.h"

#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/byte_buffer.h>
#include <grpcpp/support/channel_arguments.h>

#include <thread>
#include <utility>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

// Minimum duration of a gRPC connection attempt: three round trips between regions and one
// retransmitted packet.
constexpr int minConnectMs = 700;
constexpr int firstBackoffMs = 100;
constexpr int maxBackoffMs = 500;
constexpr int maxMessageBytes = 4 << 20;
constexpr const char *syncMethod = "/buckthorngrade.wire.node_link/Sync"; // of proto/link.proto

} // namespace

struct control_client::peer
{
    std::string host;
    std::uint64_t generation = 0; // replies to calls of an earlier peer are ignored
    std::shared_ptr<grpc::Channel> channel;
    bool isBusy = false;
    bool isResponding = false;
    std::uint32_t timeouts = 0; // timed-out calls since the last successful one
};

struct control_client::call_state
{
    grpc::ClientContext context;
    wire::node_report report;
    grpc::ByteBuffer reply;
    wire::node_view view;

    // Parses the reply and returns the status of the whole call.
    grpc::Status parseReply(const grpc::Status &status)
    {
        return status.ok() ? grpc::SerializationTraits<wire::node_view>::Deserialize(&reply, &view)
                           : status;
    }
};

control_client::control_client(event_loop &loop, std::uint16_t port, event_log &events,
                               view_handler onView)
    : m_loop(loop)
    , m_port(port)
    , m_events(events)
    , m_onView(std::move(onView))
{ }

control_client::~control_client()
{
    *m_isAlive = false;
    // Each call ends at its deadline at the latest.
    while (*m_pendingCalls > 0)
        std::this_thread::yield();
}

void control_client::connect(peer &to)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, firstBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, minConnectMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxBackoffMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(maxMessageBytes);
    to.channel = grpc::CreateCustomChannel(fmt::format("{}:{}", to.host, m_port),
                                           grpc::InsecureChannelCredentials(), arguments);
    to.timeouts = 0;
}

void control_client::reconnect(peer &to)
{
    m_retiredChannels.add(std::move(to.channel), m_loop.now());
    connect(to);
    ++m_reconnects;
}

void control_client::setHosts(const std::set<std::string> &hosts)
{
    std::erase_if(m_peers, [&](const auto &item) {
        return !hosts.contains(item.first) && !item.second->isBusy;
    });
    for (const std::string &host : hosts) {
        std::unique_ptr<peer> &known = m_peers[host];
        if (known)
            continue;
        known = std::make_unique<peer>();
        known->host = host;
        known->generation = m_nextGeneration++;
        connect(*known);
    }
}

void control_client::poll(const wire::node_report &report, const std::string &detailsHost)
{
    m_retiredChannels.removeExpired(m_loop.now());
    for (const auto &[host, to] : m_peers) {
        if (to->isBusy)
            continue;
        wire::node_report sent = report;
        sent.set_wants_details(host == detailsHost);
        sent.set_omits_listing(host != detailsHost);
        start(*to, std::move(sent));
    }
}

void control_client::requestRouting(const wire::node_report &report, const std::string &host)
{
    const auto found = m_peers.find(host);
    if (found == m_peers.end() || found->second->isBusy)
        return;
    wire::node_report sent = report;
    sent.set_wants_routing(true);
    sent.set_omits_listing(true);
    start(*found->second, std::move(sent));
}

std::set<std::string> control_client::respondingHosts() const
{
    std::set<std::string> result;
    for (const auto &[host, to] : m_peers)
        if (to->isResponding)
            result.insert(host);
    return result;
}

void control_client::start(peer &to, wire::node_report report)
{
    to.isBusy = true;
    auto call = std::make_shared<call_state>();
    call->report = std::move(report);
    call->context.set_deadline(std::chrono::system_clock::now() + callTimeout);
    ++*m_pendingCalls;
    // The generated stub's callback interface reports a call as successful although its reply is
    // missing or can't be parsed, so the reply is parsed here.
    grpc::TemplatedGenericStub<wire::node_report, grpc::ByteBuffer> stub(to.channel);
    stub.UnaryCall(
        &call->context, syncMethod, grpc::StubOptions(), &call->report, &call->reply,
        [this, call, host = to.host, generation = to.generation, isAlive = m_isAlive,
         pendingCalls = m_pendingCalls](const grpc::Status &status) {
            m_loop.post([this, call, host, generation, isAlive, parsed = call->parseReply(status)] {
                if (*isAlive)
                    handleReply(host, generation, parsed, call->view);
            });
            --*pendingCalls;
        });
}

void control_client::handleReply(const std::string &host, std::uint64_t generation,
                                 const grpc::Status &status, const wire::node_view &view)
{
    const auto found = m_peers.find(host);
    if (found == m_peers.end() || found->second->generation != generation)
        return;
    peer &from = *found->second;
    from.isBusy = false;
    const bool succeeded = status.ok();
    if (succeeded != from.isResponding)
        m_events.write(succeeded ? event_id::control_regained : event_id::control_lost,
                       {{"control", host}, {"reason", status.error_message()}});
    from.isResponding = succeeded;
    if (succeeded) {
        from.timeouts = 0;
        m_onView(host, view);
    } else if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED
               && ++from.timeouts >= timeoutsUntilReconnect) {
        reconnect(from);
    }
}

} // namespace buckthorngrade
