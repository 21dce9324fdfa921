#include "control/instance_maintainer.h"

#include "control/platform_list.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace buckthorngrade {

namespace {

constexpr std::chrono::seconds advancePeriod{1};
constexpr std::chrono::milliseconds roundPeriod{300};
constexpr std::chrono::seconds listPeriod{2};
// Commits per round. The remaining ones wait for the next round, so that a simultaneous restart of
// all instances does not delay operators' edits.
constexpr std::size_t maxRegistrations = 32;
constexpr std::size_t maxRemovals = 4;

} // namespace

instance_maintainer::instance_maintainer(const settings &config, const replicator &log,
                                         const control_state &state, edit_service &edits,
                                         instance_registry &registry,
                                         allocation_service &allocations, const clock_source &clock,
                                         event_log &events)
    : m_settings(config)
    , m_log(log)
    , m_state(state)
    , m_edits(edits)
    , m_registry(registry)
    , m_allocations(allocations)
    , m_clock(clock)
    , m_events(events)
    , m_advanceTimer(m_timers.subscribe(advancePeriod, [this] { advanceAllocations(); }))
    , m_thread([this] { run(); })
{ }

instance_maintainer::~instance_maintainer()
{
    m_stopping = true;
    m_thread.join();
}

void instance_maintainer::advanceAllocations()
{
    const role_view view = m_log.view();
    if (!view.isLeader)
        return m_allocations.stop();
    m_allocations.advance(view.term);
}

void instance_maintainer::run()
{
    while (!m_stopping) {
        try {
            runOnce();
        } catch (const error &failure) {
            m_events.write(event_id::duty_failed, {{"reason", failure.what()}});
        }
        std::this_thread::sleep_for(roundPeriod);
    }
}

void instance_maintainer::runOnce()
{
    const role_view view = m_log.view();
    if (!view.isLeader || !m_allocations.isConfirmed(view.term))
        return;
    m_registry.beginTerm(view.term, m_state.instances(), m_clock.now());
    m_registry.setRegistered(m_state.instances(), m_clock.now());
    updatePlatformList();
    registerNewInstances();
    removeGoneInstances();
}

void instance_maintainer::updatePlatformList()
{
    const std::filesystem::path &file = m_settings.control.platformList;
    if (file.empty() || m_clock.now() < m_nextListRead)
        return;
    m_nextListRead = m_clock.now() + listPeriod;
    std::string failureReason;
    m_registry.setPlatformList(readPlatformList(file, failureReason));
    if (!failureReason.empty() && failureReason != m_lastListFailure)
        m_events.write(event_id::platform_list_unusable,
                       {{"file", file.string()}, {"reason", failureReason}});
    m_lastListFailure = failureReason;
}

void instance_maintainer::registerNewInstances()
{
    for (wire::register_instance &item : m_registry.unregistered(maxRegistrations)) {
        if (m_stopping)
            return;
        for (const region_spec &region : m_settings.deployment.regions)
            if (region.name == item.region())
                item.set_positions(region.entryInstances);
        const command_result result = m_edits.submitRegistration(item);
        if (result.outcome != submit_result::status::applied)
            return;
        if (result.applied.registered())
            m_events.write(event_id::instance_registered,
                           {{"entry", item.instance()}, {"incarnation", item.incarnation()}});
    }
    m_registry.setRegistered(m_state.instances(), m_clock.now());
}

void instance_maintainer::removeGoneInstances()
{
    for (const wire::remove_instance &item : m_registry.removable(maxRemovals, m_clock.now())) {
        if (m_stopping)
            return;
        wire::edit edit;
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_clock.wallNow().time_since_epoch());
        edit.set_request_id(
            fmt::format("{}-{:016x}", now.count(),
                        XXH3_64bits(item.instance().data(), item.instance().size())));
        edit.set_operator_name("platform-list");
        edit.set_reason("not in the platform's list and silent for 10 minutes");
        *edit.mutable_remove() = item;
        const command_result result = m_edits.submitEdit(edit);
        if (result.outcome != submit_result::status::applied)
            return;
        if (result.applied.edit().status() == wire::EDIT_ACCEPTED)
            m_events.write(event_id::instance_removed,
                           {{"entry", item.instance()}, {"incarnation", item.incarnation()}});
    }
    m_registry.setRegistered(m_state.instances(), m_clock.now());
}

} // namespace buckthorngrade
