#include "control/listing_follower.h"

#include "control/control_state.h"
#include "control/peer_channel.h"

#include <grpcpp/client_context.h>

#include <utility>

namespace buckthorngrade {

listing_follower::listing_follower(upstream_list_reader &list, const replicator &log,
                                   address_function addressOf, const clock_source &clock,
                                   event_log &events)
    : m_list(list)
    , m_log(log)
    , m_addressOf(std::move(addressOf))
    , m_clock(clock)
    , m_events(events)
{ }

void listing_follower::connect(replica_id leader)
{
    if (m_channel)
        m_retiredChannels.add(std::move(m_channel), m_clock.now());
    m_channel = openPeerChannel(m_addressOf(leader));
    m_stub = wire::listing_link::NewStub(m_channel);
    m_leader = leader;
    m_timeouts = 0;
}

void listing_follower::run()
{
    const role_view role = m_log.view();
    if (role.isLeader || role.leader == 0 || !role.isConnected)
        return;
    m_retiredChannels.removeExpired(m_clock.now());
    if (role.leader != m_leader || m_timeouts >= timeoutsUntilReconnect)
        connect(role.leader);
    wire::listing_request request;
    request.set_digest(m_list.digest());
    request.set_hold_ms(hold.count());
    wire::listing_changes changes;
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + hold + callTimeout);
    const steady_time sentAt = m_clock.now();
    const grpc::Status status = m_stub->Follow(&context, request, &changes);
    if (!status.ok()) {
        recordFailure(status);
        return;
    }
    m_timeouts = 0;
    m_isFailing = false;
    // Counted from the time of sending, so that an answer that was delayed, or that this process
    // handles after a pause, does not appear recent.
    const steady_time readAt = sentAt + std::chrono::milliseconds(changes.held_ms())
        - std::chrono::milliseconds(changes.age_ms());
    try {
        m_list.follow(changes, readAt);
    } catch (const control_error &failure) {
        m_events.write(event_id::listing_unavailable,
                       {{"from", m_leader}, {"reason", failure.what()}});
    }
}

void listing_follower::recordFailure(const grpc::Status &status)
{
    if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
        ++m_timeouts;
    if (!m_isFailing)
        m_events.write(event_id::listing_unavailable,
                       {{"from", m_leader}, {"reason", status.error_message()}});
    m_isFailing = true;
}

} // namespace buckthorngrade
