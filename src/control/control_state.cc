#include "control/control_state.h"

#include "base/error.h"
#include "model/profile.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr std::size_t maxRequestIdBytes = 64;
constexpr std::size_t maxKeyBytes = 256;
constexpr std::size_t maxTextBytes = 1024;

wire::edit_outcome failed(wire::edit_status status, std::string message)
{
    wire::edit_outcome outcome;
    outcome.set_status(status);
    outcome.set_message(std::move(message));
    return outcome;
}

wire::edit_outcome accepted(log_index index)
{
    wire::edit_outcome outcome;
    outcome.set_status(wire::EDIT_ACCEPTED);
    outcome.set_revision(index);
    return outcome;
}

wire::begin_outcome began(wire::begin_status status)
{
    wire::begin_outcome outcome;
    outcome.set_status(status);
    return outcome;
}

// Digest of what an edit asks for. Protobuf serialization of these messages is deterministic: they
// have no maps and no unknown fields.
std::uint64_t digestOf(const wire::edit &edit)
{
    const std::string bytes = edit.SerializeAsString();
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace

std::optional<std::int64_t> timeOfRequestId(std::string_view id)
{
    std::int64_t value = 0;
    const char *end = id.data() + id.size();
    const auto [rest, failure] = std::from_chars(id.data(), end, value);
    if (failure != std::errc() || rest == end || *rest != '-' || rest + 1 == end || value < 0)
        return std::nullopt;
    return value;
}

control_state::control_state(control_state_limits limits)
    : m_limits(limits)
{ }

std::string control_state::apply(log_index index, std::string_view bytes)
{
    const std::lock_guard lock(m_mutex);
    wire::command command;
    wire::apply_result result;
    if (!command.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return result.SerializeAsString();
    m_wallMs = std::max(m_wallMs, command.wall_ms());
    expire();
    if (command.has_operator_edit())
        *result.mutable_edit() = applyEdit(index, command.operator_edit());
    else if (command.has_begin())
        *result.mutable_begin() = beginRequest(command.begin());
    else if (command.has_finish())
        result.set_finished(finishRequest(command.finish()));
    return result.SerializeAsString();
}

wire::edit_outcome control_state::applyEdit(log_index index, const wire::edit &edit)
{
    const auto time = timeOfRequestId(edit.request_id());
    if (!time || edit.request_id().size() > maxRequestIdBytes)
        return failed(wire::EDIT_INVALID, "the request id must have the form EPOCHMS-RANDOM");
    const std::uint64_t digest = digestOf(edit);
    const auto known = m_edits.find(edit.request_id());
    if (known != m_edits.end()) {
        if (known->second.digest() != digest)
            return failed(wire::EDIT_REQUEST_MISMATCH,
                          "this request id was used before for a different edit");
        wire::edit_outcome outcome = known->second.outcome();
        outcome.set_repeated(true);
        return outcome;
    }
    if (*time < m_editsSinceMs)
        return failed(wire::EDIT_REQUEST_EXPIRED,
                      "the request id is older than the retention window, so it is unknown whether "
                      "the edit was accepted; compare the current state and send a new edit");
    if (*time > m_wallMs + m_limits.editRetention.count())
        return failed(wire::EDIT_INVALID, "the request id lies too far in the future");
    wire::edit_outcome outcome = applyNewEdit(index, edit);
    rememberEdit(edit, digest, outcome);
    return outcome;
}

wire::edit_outcome control_state::applyNewEdit(log_index index, const wire::edit &edit)
{
    if (edit.operator_name().size() > maxTextBytes || edit.reason().size() > maxTextBytes)
        return failed(wire::EDIT_INVALID, "the operator's name or the reason is too long");
    switch (edit.change_case()) {
    case wire::edit::kPut:
        return putProfile(index, edit);
    case wire::edit::kDrain:
        return announceDrain(index, edit);
    case wire::edit::kCancel:
        return cancelDrain(index, edit);
    case wire::edit::kRemove:
        return removeInstance(index, edit);
    case wire::edit::CHANGE_NOT_SET:
        break;
    }
    return failed(wire::EDIT_INVALID, "the edit changes nothing");
}

wire::edit_outcome control_state::putProfile(log_index index, const wire::edit &edit)
{
    const wire::put_profile &put = edit.put();
    try {
        if (parseProfile(put.yaml()).name != put.name())
            return failed(wire::EDIT_INVALID, "the profile's name differs from the one edited");
    } catch (const settings_error &failure) {
        return failed(wire::EDIT_INVALID, failure.what());
    }
    auto found = m_profiles.find(put.name());
    const std::uint64_t current = found == m_profiles.end() ? 0 : found->second.back().version();
    if (put.base_version() != current) {
        auto outcome = failed(wire::EDIT_CONFLICT,
                              fmt::format("the current version is {}, the edit was made from {}",
                                          current, put.base_version()));
        if (current != 0)
            *outcome.mutable_winner() = found->second.back();
        return outcome;
    }
    if (found == m_profiles.end()) {
        if (m_profiles.size() >= m_limits.maxProfiles)
            return failed(wire::EDIT_INVALID, "there are too many profiles");
        found = m_profiles.try_emplace(put.name()).first;
    }
    wire::profile_version version;
    version.set_name(put.name());
    version.set_version(current + 1);
    version.set_revision(index);
    version.set_yaml(put.yaml());
    version.set_operator_name(edit.operator_name());
    version.set_request_id(edit.request_id());
    version.set_reason(edit.reason());
    version.set_wall_ms(m_wallMs);
    version.set_base_version(put.base_version());
    found->second.push_back(version);
    if (found->second.size() > m_limits.maxVersionsPerProfile)
        found->second.pop_front();
    auto outcome = accepted(index);
    outcome.set_version(version.version());
    wire::config_change change;
    change.set_revision(index);
    *change.mutable_profile() = std::move(version);
    publish(change);
    return outcome;
}

wire::edit_outcome control_state::announceDrain(log_index index, const wire::edit &edit)
{
    const wire::announce_drain &announced = edit.drain();
    if (!wire::target_kind_IsValid(announced.kind()) || announced.kind() == wire::TARGET_UNSPECIFIED
        || announced.target().empty() || announced.target().size() > maxTextBytes)
        return failed(wire::EDIT_INVALID, "a drain needs a kind and a target");
    if (announced.end_ms() != 0 && announced.end_ms() <= announced.start_ms())
        return failed(wire::EDIT_INVALID, "the drain ends before it starts");
    if (m_drains.size() >= m_limits.maxDrains)
        return failed(wire::EDIT_INVALID, "there are too many drains; cancel those that are over");
    wire::drain_record drain;
    drain.set_id(fmt::format("d{}", index));
    drain.set_kind(announced.kind());
    drain.set_target(announced.target());
    drain.set_reason(edit.reason());
    drain.set_operator_name(edit.operator_name());
    drain.set_start_ms(announced.start_ms() == 0 ? m_wallMs : announced.start_ms());
    drain.set_end_ms(announced.end_ms());
    drain.set_revision(index);
    drain.set_request_id(edit.request_id());
    m_drains[drain.id()] = drain;
    auto outcome = accepted(index);
    outcome.set_drain_id(drain.id());
    wire::config_change change;
    change.set_revision(index);
    *change.mutable_drain() = std::move(drain);
    publish(change);
    return outcome;
}

wire::edit_outcome control_state::cancelDrain(log_index index, const wire::edit &edit)
{
    const auto found = m_drains.find(edit.cancel().id());
    if (found == m_drains.end())
        return failed(wire::EDIT_NOT_FOUND,
                      fmt::format("there is no drain '{}'", edit.cancel().id()));
    wire::config_change change;
    change.set_revision(index);
    *change.mutable_drain() = std::move(found->second);
    change.mutable_drain()->set_cancelled(true);
    change.mutable_drain()->set_revision(index);
    m_drains.erase(found);
    publish(change);
    auto outcome = accepted(index);
    outcome.set_drain_id(edit.cancel().id());
    return outcome;
}

wire::edit_outcome control_state::removeInstance(log_index index, const wire::edit &edit)
{
    const wire::remove_instance &removed = edit.remove();
    if (removed.instance().empty() || removed.instance().size() > maxTextBytes)
        return failed(wire::EDIT_INVALID, "the instance to remove is not named");
    m_removed[removed.instance()] = removed;
    wire::config_change change;
    change.set_revision(index);
    *change.mutable_removed() = removed;
    publish(change);
    return accepted(index);
}

wire::begin_outcome control_state::beginRequest(const wire::begin_request &begin)
{
    if (begin.key().empty() || begin.key().size() > maxKeyBytes)
        return began(wire::BEGIN_EXPIRED_KEY);
    const request_key key(begin.service(), begin.key());
    const auto found = m_requests.find(key);
    if (found == m_requests.end()) {
        const auto time = timeOfRequestId(begin.key());
        if (time && *time < m_wallMs - m_limits.requestRetention.count())
            return began(wire::BEGIN_EXPIRED_KEY);
        if (m_requests.size() >= m_limits.maxRequests)
            return began(wire::BEGIN_FULL);
        wire::request_record record;
        *record.mutable_begin() = begin;
        record.set_wall_ms(m_wallMs);
        m_requests.emplace(key, std::move(record));
        m_requestOrder.emplace_back(m_wallMs, key);
        return began(wire::BEGIN_PROCEED);
    }
    wire::request_record &record = found->second;
    if (record.begin().digest() != begin.digest())
        return began(wire::BEGIN_DIFFERENT_CONTENT);
    if (record.finished()) {
        auto outcome = began(record.unknown() ? wire::BEGIN_UNKNOWN : wire::BEGIN_RECORDED);
        if (!record.unknown())
            *outcome.mutable_response() = record.response();
        return outcome;
    }
    const bool overdue = m_wallMs > record.wall_ms() + record.begin().deadline_ms();
    return began(overdue ? wire::BEGIN_UNKNOWN : wire::BEGIN_IN_PROGRESS);
}

bool control_state::finishRequest(const wire::finish_request &finish)
{
    const auto found = m_requests.find({finish.service(), finish.key()});
    if (found == m_requests.end())
        return false;
    wire::request_record &record = found->second;
    if (record.finished() || record.begin().instance() != finish.instance()
        || record.begin().incarnation() != finish.incarnation())
        return false;
    if (finish.outcome() == wire::finish_request::WITHDRAWN) {
        m_requests.erase(found);
        return true;
    }
    record.set_finished(true);
    record.set_unknown(finish.outcome() != wire::finish_request::RAN);
    if (!record.unknown())
        *record.mutable_response() = finish.response();
    return true;
}

void control_state::rememberEdit(const wire::edit &edit, std::uint64_t digest,
                                 const wire::edit_outcome &outcome)
{
    wire::edit_memory memory;
    memory.set_request_id(edit.request_id());
    memory.set_digest(digest);
    memory.set_wall_ms(m_wallMs);
    *memory.mutable_outcome() = outcome;
    m_edits[edit.request_id()] = std::move(memory);
    m_editOrder.push_back(edit.request_id());
}

// Drops what is past its retention. An id that was dropped must never be taken for a new one, so
// the start of the window moves past the time in every dropped id.
void control_state::expire()
{
    m_editsSinceMs = std::max(m_editsSinceMs, m_wallMs - m_limits.editRetention.count());
    while (!m_editOrder.empty()) {
        const auto oldest = m_edits.find(m_editOrder.front());
        const bool expired = oldest->second.wall_ms() < m_wallMs - m_limits.editRetention.count();
        if (!expired && m_edits.size() <= m_limits.maxEdits)
            break;
        m_editsSinceMs = std::max(m_editsSinceMs, timeOfRequestId(oldest->first).value_or(0) + 1);
        m_edits.erase(oldest);
        m_editOrder.pop_front();
    }
    while (!m_requestOrder.empty()
           && m_requestOrder.front().first < m_wallMs - m_limits.requestRetention.count()) {
        const auto found = m_requests.find(m_requestOrder.front().second);
        if (found != m_requests.end() && found->second.wall_ms() == m_requestOrder.front().first)
            m_requests.erase(found);
        m_requestOrder.pop_front();
    }
}

void control_state::publish(const wire::config_change &change)
{
    m_revision = change.revision();
    if (m_listener)
        m_listener->configChanged(change);
}

std::string control_state::snapshot() const
{
    const std::lock_guard lock(m_mutex);
    wire::control_snapshot all;
    all.set_revision(m_revision);
    all.set_wall_ms(m_wallMs);
    all.set_edits_since_ms(m_editsSinceMs);
    for (const auto &[name, versions] : m_profiles)
        for (const auto &version : versions)
            *all.add_versions() = version;
    for (const auto &[id, drain] : m_drains)
        *all.add_drains() = drain;
    for (const auto &[name, removed] : m_removed)
        *all.add_removed() = removed;
    for (const auto &id : m_editOrder)
        *all.add_edits() = m_edits.at(id);
    for (const auto &[wall, key] : m_requestOrder)
        if (const auto found = m_requests.find(key);
            found != m_requests.end() && found->second.wall_ms() == wall)
            *all.add_requests() = found->second;
    return all.SerializeAsString();
}

void control_state::restore(log_index, std::string_view bytes)
{
    wire::control_snapshot all;
    if (!all.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        throw agreement_error("the snapshot of the control state is malformed");
    const std::lock_guard lock(m_mutex);
    m_revision = all.revision();
    m_wallMs = all.wall_ms();
    m_editsSinceMs = all.edits_since_ms();
    m_profiles.clear();
    m_drains.clear();
    m_removed.clear();
    m_edits.clear();
    m_editOrder.clear();
    m_requests.clear();
    m_requestOrder.clear();
    for (const auto &version : all.versions())
        m_profiles[version.name()].push_back(version);
    for (const auto &drain : all.drains())
        m_drains[drain.id()] = drain;
    for (const auto &removed : all.removed())
        m_removed[removed.instance()] = removed;
    for (const auto &edit : all.edits()) {
        m_edits[edit.request_id()] = edit;
        m_editOrder.push_back(edit.request_id());
    }
    for (const auto &record : all.requests()) {
        const request_key key(record.begin().service(), record.begin().key());
        m_requests[key] = record;
        m_requestOrder.emplace_back(record.wall_ms(), key);
    }
    if (m_listener)
        m_listener->configReplaced(buildConfig());
}

wire::config_full control_state::buildConfig() const
{
    wire::config_full full;
    full.set_revision(m_revision);
    for (const auto &[name, versions] : m_profiles)
        *full.add_profiles() = versions.back();
    for (const auto &[id, drain] : m_drains)
        *full.add_drains() = drain;
    for (const auto &[name, removed] : m_removed)
        *full.add_removed() = removed;
    return full;
}

std::uint64_t control_state::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

wire::config_full control_state::config() const
{
    const std::lock_guard lock(m_mutex);
    return buildConfig();
}

std::vector<wire::profile_version> control_state::profiles() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<wire::profile_version> result;
    result.reserve(m_profiles.size());
    for (const auto &[name, versions] : m_profiles)
        result.push_back(versions.back());
    return result;
}

std::optional<wire::profile_version> control_state::findProfile(const std::string &name,
                                                                std::uint64_t version) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_profiles.find(name);
    if (found == m_profiles.end())
        return std::nullopt;
    if (version == 0)
        return found->second.back();
    const auto match = std::ranges::find(found->second, version,
                                         [](const auto &candidate) { return candidate.version(); });
    if (match == found->second.end())
        return std::nullopt;
    return *match;
}

std::vector<wire::profile_version> control_state::history(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_profiles.find(name);
    if (found == m_profiles.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

std::vector<wire::drain_record> control_state::drains() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<wire::drain_record> result;
    result.reserve(m_drains.size());
    for (const auto &[id, drain] : m_drains)
        result.push_back(drain);
    return result;
}

} // namespace buckthorngrade
