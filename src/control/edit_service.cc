#include "control/edit_service.h"

#include "base/error.h"
#include "base/utf8.h"
#include "model/profile.h"

#include <algorithm>
#include <initializer_list>
#include <string_view>

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds commitTimeout{5'000};

std::int64_t toUnixMs(wall_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

edit_service::edit_service(replicator &log, const clock_source &clock, event_log &events,
                           metric_registry &metrics)
    : m_log(log)
    , m_clock(clock)
    , m_events(events)
    , m_accepted(metrics.counter("buckthorngrade_edits_total", "outcome=\"accepted\""))
    , m_rejected(metrics.counter("buckthorngrade_edits_total", "outcome=\"rejected\""))
    , m_notAccepted(metrics.counter("buckthorngrade_edits_total", "outcome=\"unavailable\""))
    , m_commitTime(metrics.summary("buckthorngrade_commit_seconds"))
{ }

std::optional<wire::edit_outcome> edit_service::validate(const wire::edit &edit) const
{
    const std::initializer_list<std::string_view> texts
        = {edit.request_id(), edit.operator_name(),  edit.reason(),      edit.put().name(),
           edit.put().yaml(), edit.drain().target(), edit.cancel().id(), edit.remove().instance()};
    if (!std::ranges::all_of(texts, isUtf8)) {
        wire::edit_outcome outcome;
        outcome.set_status(wire::EDIT_INVALID);
        outcome.set_message("the edit has text that is not UTF-8");
        return outcome;
    }
    if (!edit.has_put())
        return std::nullopt;
    try {
        parseProfile(edit.put().yaml());
        return std::nullopt;
    } catch (const settings_error &failure) {
        wire::edit_outcome outcome;
        outcome.set_status(wire::EDIT_INVALID);
        outcome.set_message(failure.what());
        return outcome;
    }
}

command_result edit_service::submitEdit(const wire::edit &edit)
{
    command_result result;
    if (const auto invalid = validate(edit)) {
        result.outcome = submit_result::status::applied;
        *result.applied.mutable_edit() = *invalid;
    } else {
        wire::command command;
        *command.mutable_operator_edit() = edit;
        result = submit(std::move(command));
    }
    if (result.outcome != submit_result::status::applied) {
        m_notAccepted.add();
        return result;
    }
    const wire::edit_outcome &outcome = result.applied.edit();
    const bool isAccepted = outcome.status() == wire::EDIT_ACCEPTED;
    (isAccepted ? m_accepted : m_rejected).add();
    m_events.write(isAccepted ? event_id::change_accepted : event_id::change_rejected,
                   {{"request", edit.request_id()},
                    {"operator", edit.operator_name()},
                    {"revision", outcome.revision()},
                    {"status", wire::edit_status_Name(outcome.status())},
                    {"message", outcome.message()}});
    return result;
}

command_result edit_service::submitBegin(const wire::begin_request &begin)
{
    wire::command command;
    *command.mutable_begin() = begin;
    return submit(std::move(command));
}

command_result edit_service::submitFinish(const wire::finish_request &finish)
{
    wire::command command;
    *command.mutable_finish() = finish;
    return submit(std::move(command));
}

command_result edit_service::submitRegistration(const wire::register_instance &registration)
{
    wire::command command;
    *command.mutable_registration() = registration;
    return submit(std::move(command));
}

command_result edit_service::submit(wire::command command)
{
    const steady_time start = m_clock.now();
    command.set_wall_ms(toUnixMs(m_clock.wallNow()));
    auto future = m_log.submit(command.SerializeAsString(), commitTimeout);
    command_result result;
    // The replicator completes the future within its timeout. The margin allows for delays on a
    // loaded machine.
    if (future.wait_for(commitTimeout * 2) != std::future_status::ready) {
        result.outcome = submit_result::status::unknown;
        return result;
    }
    const submit_result submitted = future.get();
    result.outcome = submitted.outcome;
    result.leader = submitted.leader;
    if (submitted.outcome == submit_result::status::applied) {
        m_commitTime.add(m_clock.now() - start);
        if (!result.applied.ParseFromString(submitted.result))
            result.outcome = submit_result::status::unknown;
    }
    return result;
}

} // namespace buckthorngrade
