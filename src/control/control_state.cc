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
constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxTextBytes = 1024;
constexpr std::size_t maxMessageBytes = 4096; // message stored with an outcome
constexpr std::size_t maxRecordedBodyBytes = 8 * 1024;
constexpr std::uint32_t maxPositions = 10'000;

wire::edit_outcome rejectedOutcome(wire::edit_status status, std::string message)
{
    wire::edit_outcome outcome;
    outcome.set_status(status);
    if (message.size() > maxMessageBytes)
        message.resize(maxMessageBytes);
    outcome.set_message(std::move(message));
    return outcome;
}

wire::edit_outcome acceptedOutcome(log_index index)
{
    wire::edit_outcome outcome;
    outcome.set_status(wire::EDIT_ACCEPTED);
    outcome.set_revision(index);
    return outcome;
}

wire::begin_outcome beginOutcome(wire::begin_status status)
{
    wire::begin_outcome outcome;
    outcome.set_status(status);
    return outcome;
}

// Size counted towards maxRequestBytes. Space for the largest response is reserved while a record
// is unfinished, so that its outcome can always be stored.
std::size_t accountedBytes(const wire::request_record &record)
{
    return record.ByteSizeLong() + (record.finished() ? 0 : maxRecordedBodyBytes + maxTextBytes);
}

bool isValidName(const std::string &name)
{
    return !name.empty() && name.size() <= maxNameBytes;
}

// Digest of the content of an edit. Protobuf serializes these messages deterministically, because
// they have no map fields and no unknown fields.
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
    removeExpired();
    if (command.has_operator_edit())
        *result.mutable_edit() = applyEdit(index, command.operator_edit());
    else if (command.has_begin())
        *result.mutable_begin() = beginRequest(index, command.begin());
    else if (command.has_finish())
        result.set_finished(finishRequest(command.finish()));
    else if (command.has_registration())
        result.set_registered(registerInstance(index, command.registration()));
    else if (command.has_routing()) {
        putRouting(std::move(*command.mutable_routing()));
        if (m_routing)
            result.set_routing_version(m_routing->version());
    } else if (command.has_evacuation())
        result.set_evacuation_revision(setEvacuation(index, command.evacuation()));
    return result.SerializeAsString();
}

wire::edit_outcome control_state::applyEdit(log_index index, const wire::edit &edit)
{
    const auto time = timeOfRequestId(edit.request_id());
    if (!time || edit.request_id().size() > maxRequestIdBytes)
        return rejectedOutcome(wire::EDIT_INVALID,
                               "the request id must have the form EPOCHMS-RANDOM");
    const std::uint64_t digest = digestOf(edit);
    const auto known = m_edits.find(edit.request_id());
    if (known != m_edits.end()) {
        if (known->second.digest() != digest)
            return rejectedOutcome(wire::EDIT_REQUEST_MISMATCH,
                                   "this request id was used before for a different edit");
        wire::edit_outcome outcome = known->second.outcome();
        outcome.set_repeated(true);
        return outcome;
    }
    if (*time < m_editWindowStartMs)
        return rejectedOutcome(
            wire::EDIT_REQUEST_EXPIRED,
            "the request id is older than the retention window, so it is unknown whether "
            "the edit was accepted; compare the current state and send a new edit");
    if (*time > m_wallMs + m_limits.maxClockSkew.count())
        return rejectedOutcome(
            wire::EDIT_INVALID,
            "the time in the request id lies in the future; check this machine's clock");
    wire::edit_outcome outcome = applyNewEdit(index, edit);
    recordEdit(edit, digest, outcome);
    return outcome;
}

wire::edit_outcome control_state::applyNewEdit(log_index index, const wire::edit &edit)
{
    if (edit.operator_name().size() > maxTextBytes || edit.reason().size() > maxTextBytes)
        return rejectedOutcome(wire::EDIT_INVALID, "the operator's name or the reason is too long");
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
    return rejectedOutcome(wire::EDIT_INVALID, "the edit changes nothing");
}

wire::edit_outcome control_state::putProfile(log_index index, const wire::edit &edit)
{
    const wire::put_profile &put = edit.put();
    if (put.yaml().size() > m_limits.maxProfileBytes)
        return rejectedOutcome(
            wire::EDIT_INVALID,
            fmt::format("the profile is larger than {} bytes", m_limits.maxProfileBytes));
    try {
        if (parseProfile(put.yaml()).name != put.name())
            return rejectedOutcome(wire::EDIT_INVALID,
                                   "the profile's name differs from the one edited");
    } catch (const settings_error &failure) {
        return rejectedOutcome(wire::EDIT_INVALID, failure.what());
    }
    auto found = m_profiles.find(put.name());
    const std::uint64_t current = found == m_profiles.end() ? 0 : found->second.back().version();
    if (put.base_version() != current) {
        auto outcome
            = rejectedOutcome(wire::EDIT_CONFLICT,
                              fmt::format("the current version is {}, the edit was made from {}",
                                          current, put.base_version()));
        if (current != 0) {
            // The outcome is stored with the request id. It omits the text, which can be read by
            // its version.
            *outcome.mutable_winner() = found->second.back();
            outcome.mutable_winner()->clear_yaml();
        }
        return outcome;
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
    const std::size_t bytes = version.ByteSizeLong();
    const std::size_t replaced
        = found == m_profiles.end() ? 0 : found->second.back().ByteSizeLong();
    if (m_configBytes - replaced + bytes > m_limits.maxConfigBytes)
        return rejectedOutcome(wire::EDIT_INVALID,
                               "all profiles and drains together are too large");
    if (found == m_profiles.end() && m_profiles.size() >= m_limits.maxProfiles)
        return rejectedOutcome(wire::EDIT_INVALID, "there are too many profiles");
    if (!trimHistories(bytes))
        return rejectedOutcome(wire::EDIT_INVALID, "the profiles' history is too large");
    if (found == m_profiles.end())
        found = m_profiles.try_emplace(put.name()).first;
    m_configBytes += bytes - replaced;
    m_historyBytes += bytes;
    found->second.push_back(version);
    if (found->second.size() > m_limits.maxVersionsPerProfile) {
        m_historyBytes -= found->second.front().ByteSizeLong();
        found->second.pop_front();
    }
    auto outcome = acceptedOutcome(index);
    outcome.set_version(version.version());
    wire::config_change change;
    change.set_revision(index);
    *change.mutable_profile() = std::move(version);
    publish(change);
    return outcome;
}

// Removes the oldest versions of the profiles with the most versions until `bytes` more fit into
// maxHistoryBytes. Current versions are kept. Returns false if that does not free enough.
bool control_state::trimHistories(std::size_t bytes)
{
    while (m_historyBytes + bytes > m_limits.maxHistoryBytes) {
        const auto longest = std::ranges::max_element(
            m_profiles, {}, [](const auto &item) { return item.second.size(); });
        if (longest == m_profiles.end() || longest->second.size() < 2)
            return false;
        m_historyBytes -= longest->second.front().ByteSizeLong();
        longest->second.pop_front();
    }
    return true;
}

wire::edit_outcome control_state::announceDrain(log_index index, const wire::edit &edit)
{
    const wire::announce_drain &announced = edit.drain();
    if (!wire::target_kind_IsValid(announced.kind()) || announced.kind() == wire::TARGET_UNSPECIFIED
        || announced.target().empty() || announced.target().size() > maxTextBytes)
        return rejectedOutcome(wire::EDIT_INVALID, "a drain needs a kind and a target");
    if (announced.start_ms() < 0 || announced.end_ms() < 0)
        return rejectedOutcome(wire::EDIT_INVALID, "a drain can't start or end before 1970");
    if (announced.end_ms() != 0 && announced.end_ms() <= announced.start_ms())
        return rejectedOutcome(wire::EDIT_INVALID, "the drain ends before it starts");
    if (m_drains.size() >= m_limits.maxDrains)
        return rejectedOutcome(wire::EDIT_INVALID,
                               "there are too many drains; cancel those that are over");
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
    if (m_configBytes + drain.ByteSizeLong() > m_limits.maxConfigBytes)
        return rejectedOutcome(wire::EDIT_INVALID,
                               "all profiles and drains together are too large");
    m_configBytes += drain.ByteSizeLong();
    m_drains[drain.id()] = drain;
    auto outcome = acceptedOutcome(index);
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
        return rejectedOutcome(wire::EDIT_NOT_FOUND,
                               fmt::format("there is no drain '{}'", edit.cancel().id()));
    m_configBytes -= found->second.ByteSizeLong();
    wire::config_change change;
    change.set_revision(index);
    *change.mutable_drain() = std::move(found->second);
    change.mutable_drain()->set_cancelled(true);
    change.mutable_drain()->set_revision(index);
    m_drains.erase(found);
    publish(change);
    auto outcome = acceptedOutcome(index);
    outcome.set_drain_id(edit.cancel().id());
    return outcome;
}

wire::edit_outcome control_state::removeInstance(log_index index, const wire::edit &edit)
{
    const std::string &name = edit.remove().instance();
    const auto found = m_instances.find(name);
    if (found == m_instances.end())
        return rejectedOutcome(wire::EDIT_NOT_FOUND,
                               fmt::format("there is no instance '{}'", name));
    wire::instance_record &record = found->second;
    const std::uint64_t latest = record.registered().incarnation();
    const std::uint64_t requested = edit.remove().incarnation();
    if (requested != 0 && requested < latest)
        return rejectedOutcome(
            wire::EDIT_CONFLICT,
            fmt::format("a later process of the instance '{}' has registered", name));
    if (!record.removed())
        record.set_removed_ms(m_wallMs);
    record.set_removed(true);
    record.set_removed_incarnation(std::max({requested, latest, record.removed_incarnation()}));
    m_instancesVersion = index;
    wire::remove_instance &removed = m_removed[name];
    removed.set_instance(name);
    removed.set_incarnation(record.removed_incarnation());
    wire::config_change change;
    change.set_revision(index);
    *change.mutable_removed() = removed;
    publish(change);
    return acceptedOutcome(index);
}

// Returns false if the process must not serve: the registration is invalid or there is no room for
// it, or the process was removed or replaced by a later one.
bool control_state::registerInstance(log_index index, const wire::register_instance &registration)
{
    const std::string &name = registration.instance();
    if (!isValidName(name) || registration.region().size() > maxNameBytes
        || registration.failure_domain().size() > maxNameBytes
        || registration.positions() > maxPositions)
        return false;
    const auto found = m_instances.find(name);
    if (found == m_instances.end()) {
        if (m_instances.size() >= m_limits.maxInstances) {
            const auto old = std::ranges::find_if(m_instances, [this](const auto &item) {
                return item.second.removed()
                    && item.second.removed_ms() + m_limits.positionReuseDelay.count() <= m_wallMs;
            });
            if (old == m_instances.end())
                return false;
            publishRemovalCleared(index, old->second);
            m_instances.erase(old);
        }
        wire::instance_record &record = m_instances[name];
        *record.mutable_registered() = registration;
        assignPosition(record);
        m_instancesVersion = index;
        return true;
    }
    wire::instance_record &record = found->second;
    if (record.removed() && registration.incarnation() <= record.removed_incarnation())
        return false;
    if (registration.incarnation() <= record.registered().incarnation())
        return registration.incarnation() == record.registered().incarnation();
    const bool isMoved = record.registered().region() != registration.region();
    *record.mutable_registered() = registration;
    if (isMoved)
        record.clear_has_position();
    if (!record.has_position())
        assignPosition(record);
    m_instancesVersion = index;
    if (record.removed()) {
        record.clear_removed();
        record.clear_removed_ms();
        publishRemovalCleared(index, record);
    }
    return true;
}

void control_state::publishRemovalCleared(log_index index, const wire::instance_record &record)
{
    wire::config_change change;
    change.set_revision(index);
    change.mutable_removed()->set_instance(record.registered().instance());
    change.mutable_removed()->set_incarnation(record.removed_incarnation());
    change.mutable_removed()->set_cleared(true);
    m_removed.erase(record.registered().instance());
    publish(change);
}

// Assigns the lowest position of the region that no other instance holds, if there is one. A
// removed instance may lose its position after positionReuseDelay.
void control_state::assignPosition(wire::instance_record &record)
{
    std::map<std::uint32_t, wire::instance_record *> holders;
    for (auto &[name, other] : m_instances)
        if (&other != &record && other.has_position()
            && other.registered().region() == record.registered().region())
            holders[other.position()] = &other;
    for (std::uint32_t position = 0; position < record.registered().positions(); ++position) {
        const auto holder = holders.find(position);
        if (holder != holders.end()) {
            wire::instance_record &other = *holder->second;
            if (!other.removed()
                || other.removed_ms() + m_limits.positionReuseDelay.count() > m_wallMs)
                continue;
            other.clear_has_position();
            other.clear_position();
        }
        record.set_has_position(true);
        record.set_position(position);
        return;
    }
}

bool control_state::isSuperseded(const std::string &instance, std::uint64_t incarnation) const
{
    const auto found = m_instances.find(instance);
    if (found == m_instances.end())
        return false;
    const wire::instance_record &record = found->second;
    return record.registered().incarnation() > incarnation
        || (record.removed() && incarnation <= record.removed_incarnation());
}

wire::begin_outcome control_state::beginRequest(log_index index, const wire::begin_request &begin)
{
    if (begin.key().empty() || begin.key().size() > maxKeyBytes || !isValidName(begin.service())
        || !isValidName(begin.instance()) || begin.digest().size() > maxNameBytes)
        return beginOutcome(wire::BEGIN_INVALID);
    const request_key key(begin.service(), begin.key());
    const bool isWithdrawn = begin.attempt() != 0
        && m_withdrawn.contains({key, begin.instance(), begin.incarnation(), begin.attempt()});
    if (isWithdrawn || isSuperseded(begin.instance(), begin.incarnation()))
        return beginOutcome(wire::BEGIN_SUPERSEDED);
    if (const auto found = m_requests.find(key); found != m_requests.end())
        return outcomeForExistingRecord(found->second, begin);
    const auto time = timeOfRequestId(begin.key());
    if (time && *time < m_wallMs - m_limits.requestRetention.count())
        return beginOutcome(wire::BEGIN_EXPIRED_KEY);
    wire::request_record record;
    *record.mutable_begin() = begin;
    record.mutable_begin()->set_deadline_ms(
        std::clamp<std::int64_t>(begin.deadline_ms(), 0, m_limits.maxDeadline.count()));
    record.set_wall_ms(m_wallMs);
    record.set_index(index);
    if (m_requests.size() >= m_limits.maxRequests
        || m_requestBytes + accountedBytes(record) > m_limits.maxRequestBytes)
        return beginOutcome(wire::BEGIN_FULL);
    m_requestBytes += accountedBytes(record);
    m_requests.emplace(key, std::move(record));
    m_requestOrder.emplace(index, key);
    return beginOutcome(wire::BEGIN_PROCEED);
}

wire::begin_outcome control_state::outcomeForExistingRecord(const wire::request_record &record,
                                                            const wire::begin_request &begin) const
{
    const wire::begin_request &first = record.begin();
    if (first.digest() != begin.digest())
        return beginOutcome(wire::BEGIN_DIFFERENT_CONTENT);
    if (record.finished()) {
        auto outcome = beginOutcome(record.unknown() ? wire::BEGIN_UNKNOWN : wire::BEGIN_RECORDED);
        if (!record.unknown())
            *outcome.mutable_response() = record.response();
        return outcome;
    }
    if (m_wallMs > record.wall_ms() + first.deadline_ms()
        || isSuperseded(first.instance(), first.incarnation()))
        return beginOutcome(wire::BEGIN_UNKNOWN);
    const bool isResend = begin.attempt() != 0 && first.attempt() == begin.attempt()
        && first.instance() == begin.instance() && first.incarnation() == begin.incarnation();
    return beginOutcome(isResend ? wire::BEGIN_PROCEED : wire::BEGIN_IN_PROGRESS);
}

bool control_state::finishRequest(const wire::finish_request &finish)
{
    const request_key key(finish.service(), finish.key());
    const auto found = m_requests.find(key);
    const bool isSameAttempt = found != m_requests.end()
        && found->second.begin().instance() == finish.instance()
        && found->second.begin().incarnation() == finish.incarnation()
        && found->second.begin().attempt() == finish.attempt();
    if (finish.outcome() == wire::finish_request::WITHDRAWN) {
        if (isSameAttempt && found->second.finished())
            return false;
        // A copy of the BeginRequest may still arrive, even if there is no record.
        recordWithdrawal(finish);
        if (isSameAttempt)
            eraseRequest(found->second.index());
        return isSameAttempt || finish.attempt() != 0;
    }
    if (!isSameAttempt)
        return false;
    wire::request_record &record = found->second;
    if (record.finished())
        return true; // resent because the reply was lost
    m_requestBytes -= accountedBytes(record);
    record.set_finished(true);
    record.set_unknown(finish.outcome() != wire::finish_request::RAN);
    if (!record.unknown()) {
        *record.mutable_response() = finish.response();
        if (record.response().body().size() > maxRecordedBodyBytes) {
            record.mutable_response()->mutable_body()->resize(maxRecordedBodyBytes);
            record.mutable_response()->set_body_complete(false);
        }
        if (record.response().content_type().size() > maxTextBytes)
            record.mutable_response()->clear_content_type();
    }
    m_requestBytes += accountedBytes(record);
    return true;
}

void control_state::recordWithdrawal(const wire::finish_request &finish)
{
    if (finish.attempt() == 0 || finish.key().size() > maxKeyBytes
        || finish.service().size() > maxNameBytes || finish.instance().size() > maxNameBytes)
        return;
    withdrawn_attempt attempt({finish.service(), finish.key()}, finish.instance(),
                              finish.incarnation(), finish.attempt());
    if (!m_withdrawn.insert(attempt).second)
        return;
    m_withdrawnOrder.push_back(std::move(attempt));
    if (m_withdrawnOrder.size() > m_limits.maxWithdrawnAttempts) {
        m_withdrawn.erase(m_withdrawnOrder.front());
        m_withdrawnOrder.pop_front();
    }
}

void control_state::eraseRequest(std::uint64_t index)
{
    const auto order = m_requestOrder.find(index);
    const auto found = m_requests.find(order->second);
    m_requestBytes -= accountedBytes(found->second);
    m_requests.erase(found);
    m_requestOrder.erase(order);
}

void control_state::putRouting(wire::put_routing routing)
{
    const bool isNewer = !m_routing || routing.version() > m_routing->version();
    if (isNewer && routing.text().size() <= m_limits.maxRoutingBytes)
        m_routing = std::move(routing);
}

std::uint64_t control_state::setEvacuation(log_index index, const wire::set_evacuation &change)
{
    const std::string &domain = change.failure_domain();
    const bool isChange = m_evacuations.domains.contains(domain) != change.active();
    if (domain.empty() || domain.size() > maxNameBytes || !isChange
        || (change.active() && m_evacuations.domains.size() >= m_limits.maxEvacuations))
        return m_evacuations.revision;
    if (change.active())
        m_evacuations.domains.insert(domain);
    else
        m_evacuations.domains.erase(domain);
    m_evacuations.revision = index;
    return index;
}

std::optional<wire::put_routing> control_state::routing() const
{
    const std::lock_guard lock(m_mutex);
    return m_routing;
}

std::optional<std::uint64_t> control_state::routingVersion() const
{
    const std::lock_guard lock(m_mutex);
    return m_routing ? std::optional(m_routing->version()) : std::nullopt;
}

control_state::evacuations control_state::evacuated() const
{
    const std::lock_guard lock(m_mutex);
    return m_evacuations;
}

void control_state::recordEdit(const wire::edit &edit, std::uint64_t digest,
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

// Removes records older than their retention, and the oldest edits beyond maxEdits. A removed
// request id must never be accepted as a new one, so the start of the window moves past the time in
// each removed id.
void control_state::removeExpired()
{
    m_editWindowStartMs = std::max(m_editWindowStartMs, m_wallMs - m_limits.editRetention.count());
    while (!m_editOrder.empty()) {
        const auto oldest = m_edits.find(m_editOrder.front());
        const bool expired = oldest->second.wall_ms() < m_wallMs - m_limits.editRetention.count();
        if (!expired && m_edits.size() <= m_limits.maxEdits)
            break;
        m_editWindowStartMs
            = std::max(m_editWindowStartMs, timeOfRequestId(oldest->first).value_or(0) + 1);
        m_edits.erase(oldest);
        m_editOrder.pop_front();
    }
    const std::int64_t requestsSince = m_wallMs - m_limits.requestRetention.count();
    while (!m_requestOrder.empty()
           && m_requests.at(m_requestOrder.begin()->second).wall_ms() < requestsSince)
        eraseRequest(m_requestOrder.begin()->first);
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
    wire::control_snapshot contents;
    contents.set_revision(m_revision);
    contents.set_wall_ms(m_wallMs);
    contents.set_edits_since_ms(m_editWindowStartMs);
    for (const auto &[name, versions] : m_profiles)
        for (const auto &version : versions)
            *contents.add_versions() = version;
    for (const auto &[id, drain] : m_drains)
        *contents.add_drains() = drain;
    for (const auto &[name, removed] : m_removed)
        *contents.add_removed() = removed;
    for (const auto &id : m_editOrder)
        *contents.add_edits() = m_edits.at(id);
    for (const auto &[index, key] : m_requestOrder)
        *contents.add_requests() = m_requests.at(key);
    for (const auto &[name, record] : m_instances)
        *contents.add_instances() = record;
    contents.set_instances_version(m_instancesVersion);
    if (m_routing)
        *contents.mutable_routing() = *m_routing;
    for (const std::string &domain : m_evacuations.domains)
        contents.add_evacuated(domain);
    contents.set_evacuation_revision(m_evacuations.revision);
    for (const auto &[key, instance, incarnation, attempt] : m_withdrawnOrder) {
        wire::withdrawn_request &withdrawn = *contents.add_withdrawn();
        withdrawn.set_service(key.first);
        withdrawn.set_key(key.second);
        withdrawn.set_instance(instance);
        withdrawn.set_incarnation(incarnation);
        withdrawn.set_attempt(attempt);
    }
    return contents.SerializeAsString();
}

void control_state::restore(log_index, std::string_view bytes)
{
    wire::control_snapshot contents;
    if (!contents.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        throw agreement_error("the snapshot of the control state is malformed");
    const std::lock_guard lock(m_mutex);
    m_revision = contents.revision();
    m_wallMs = contents.wall_ms();
    m_editWindowStartMs = contents.edits_since_ms();
    m_profiles.clear();
    m_drains.clear();
    m_removed.clear();
    m_edits.clear();
    m_editOrder.clear();
    m_requests.clear();
    m_requestOrder.clear();
    m_instances.clear();
    m_withdrawn.clear();
    m_withdrawnOrder.clear();
    m_requestBytes = 0;
    m_historyBytes = 0;
    m_configBytes = 0;
    for (const auto &version : contents.versions()) {
        m_profiles[version.name()].push_back(version);
        m_historyBytes += version.ByteSizeLong();
    }
    for (const auto &[name, versions] : m_profiles)
        m_configBytes += versions.back().ByteSizeLong();
    for (const auto &drain : contents.drains()) {
        m_drains[drain.id()] = drain;
        m_configBytes += drain.ByteSizeLong();
    }
    m_instancesVersion = contents.instances_version();
    m_routing.reset();
    // Snapshots of earlier releases have an empty message if there is no document.
    if (!contents.routing().text().empty())
        m_routing = contents.routing();
    m_evacuations = {contents.evacuation_revision(),
                     {contents.evacuated().begin(), contents.evacuated().end()}};
    for (const auto &record : contents.instances())
        m_instances[record.registered().instance()] = record;
    for (const auto &withdrawn : contents.withdrawn()) {
        m_withdrawnOrder.emplace_back(request_key(withdrawn.service(), withdrawn.key()),
                                      withdrawn.instance(), withdrawn.incarnation(),
                                      withdrawn.attempt());
        m_withdrawn.insert(m_withdrawnOrder.back());
    }
    for (const auto &removed : contents.removed())
        m_removed[removed.instance()] = removed;
    for (const auto &edit : contents.edits()) {
        m_edits[edit.request_id()] = edit;
        m_editOrder.push_back(edit.request_id());
    }
    for (const auto &record : contents.requests()) {
        const request_key key(record.begin().service(), record.begin().key());
        m_requests[key] = record;
        m_requestOrder.emplace(record.index(), key);
        m_requestBytes += accountedBytes(record);
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

std::vector<wire::instance_record> control_state::instances() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<wire::instance_record> result;
    result.reserve(m_instances.size());
    for (const auto &[name, record] : m_instances)
        result.push_back(record);
    return result;
}

std::uint64_t control_state::instancesVersion() const
{
    const std::lock_guard lock(m_mutex);
    return m_instancesVersion;
}

control_state::request_counts control_state::requestCounts() const
{
    const std::lock_guard lock(m_mutex);
    return {m_requests.size(), m_requestBytes};
}

} // namespace buckthorngrade
