#include "control/leader_confirmation_updater.h"

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds confirmPeriod{300};
constexpr std::chrono::milliseconds confirmTimeout{1'000};

} // namespace

leader_confirmation_updater::leader_confirmation_updater(const settings &config, replicator &log,
                                                         const control_state &state,
                                                         const clock_source &clock,
                                                         leader_confirmation &target)
    : m_settings(config)
    , m_log(log)
    , m_state(state)
    , m_clock(clock)
    , m_target(target)
    , m_channels(config)
{
    m_thread = std::thread([this] { run(); });
}

leader_confirmation_updater::~leader_confirmation_updater()
{
    m_stopping = true;
    m_thread.join();
}

void leader_confirmation_updater::run()
{
    while (!m_stopping) {
        const role_view view = m_log.view();
        if (view.isLeader)
            confirmAsLeader();
        else if (view.leader != 0)
            queryLeader(view.leader);
        std::this_thread::sleep_for(confirmPeriod);
    }
}

void leader_confirmation_updater::confirmAsLeader()
{
    const steady_time start = m_clock.now();
    const std::uint64_t term = m_log.view().term;
    auto future = m_log.confirmRead(confirmTimeout);
    if (future.wait_for(confirmTimeout * 2) == std::future_status::ready && future.get())
        m_target.update({m_state.revision(), term, start, {}});
}

void leader_confirmation_updater::queryLeader(replica_id leader)
{
    const control_channels::member *member = m_channels.find(leader);
    if (!member)
        return;
    const steady_time start = m_clock.now();
    grpc::ClientContext context;
    context.set_wait_for_ready(true);
    context.set_deadline(std::chrono::system_clock::now() + confirmTimeout);
    wire::probe_request request;
    request.set_cluster(m_settings.cluster);
    wire::probe_reply reply;
    if (member->link->Probe(&context, request, &reply).ok() && reply.confirmed()
        && reply.replica() == leader)
        m_target.update({reply.confirmed_revision(),
                         reply.term(),
                         start - std::chrono::milliseconds(reply.confirmed_age_ms()),
                         {}});
}

} // namespace buckthorngrade
