#include "tests/control/reference_state.h"

#include <algorithm>

namespace buckthorngrade {

void reference_state::advanceTime(std::int64_t wallMs)
{
    m_wallMs = std::max(m_wallMs, wallMs);
    const std::int64_t oldest = m_wallMs - m_limits.editRetention.count();
    m_windowStart = std::max(m_windowStart, oldest);
    for (remembered_edit &item : m_edits) {
        const auto kept = std::ranges::count(m_edits, false, &remembered_edit::isDropped);
        if (item.isDropped)
            continue;
        if (item.wallMs >= oldest && kept <= static_cast<std::ptrdiff_t>(m_limits.maxEdits))
            break;
        item.isDropped = true;
        m_windowStart = std::max(m_windowStart, item.idTime + 1);
    }
    std::erase_if(m_requests, [&](const request &item) {
        return item.wallMs < m_wallMs - m_limits.requestRetention.count();
    });
}

wire::edit_status reference_state::edit(std::uint64_t index, std::int64_t wallMs,
                                        const wire::edit &edit)
{
    advanceTime(wallMs);
    for (const remembered_edit &item : m_edits)
        if (!item.isDropped && item.id == edit.request_id())
            return item.content == edit.SerializeAsString() ? item.status
                                                            : wire::EDIT_REQUEST_MISMATCH;
    const std::int64_t time = *timeOfRequestId(edit.request_id());
    if (time < m_windowStart)
        return wire::EDIT_REQUEST_EXPIRED;
    if (time > m_wallMs + m_limits.maxClockSkew.count())
        return wire::EDIT_INVALID;
    const wire::edit_status status = applyNewEdit(index, edit);
    m_edits.push_back({edit.request_id(), time, m_wallMs, edit.SerializeAsString(), status, false});
    return status;
}

wire::edit_status reference_state::applyNewEdit(std::uint64_t index, const wire::edit &edit)
{
    if (edit.has_put()) {
        const auto found = m_profiles.find(edit.put().name());
        const std::uint64_t current = found == m_profiles.end() ? 0 : found->second.first;
        if (edit.put().base_version() != current)
            return wire::EDIT_CONFLICT;
        m_profiles[edit.put().name()] = {current + 1, edit.put().yaml()};
    } else if (edit.has_drain()) {
        m_drains.insert("d" + std::to_string(index));
    } else if (edit.has_cancel()) {
        if (m_drains.erase(edit.cancel().id()) == 0)
            return wire::EDIT_NOT_FOUND;
    } else {
        const auto found = m_instances.find(edit.remove().instance());
        if (found == m_instances.end())
            return wire::EDIT_NOT_FOUND;
        const std::uint64_t requested = edit.remove().incarnation();
        if (requested != 0 && requested < found->second.incarnation)
            return wire::EDIT_CONFLICT;
        found->second.isRemoved = true;
        found->second.removedIncarnation
            = std::max({requested, found->second.incarnation, found->second.removedIncarnation});
    }
    m_revision = index;
    return wire::EDIT_ACCEPTED;
}

bool reference_state::isSuperseded(const std::string &name, std::uint64_t incarnation) const
{
    const auto found = m_instances.find(name);
    return found != m_instances.end()
        && (found->second.incarnation > incarnation
            || (found->second.isRemoved && incarnation <= found->second.removedIncarnation));
}

bool reference_state::isSame(const wire::begin_request &begin, const wire::finish_request &finish)
{
    return begin.service() == finish.service() && begin.key() == finish.key()
        && begin.instance() == finish.instance() && begin.incarnation() == finish.incarnation()
        && begin.attempt() == finish.attempt();
}

wire::begin_status reference_state::begin(std::int64_t wallMs, const wire::begin_request &begin)
{
    advanceTime(wallMs);
    if (isSuperseded(begin.instance(), begin.incarnation()))
        return wire::BEGIN_SUPERSEDED;
    for (const wire::finish_request &withdrawn : m_withdrawn)
        if (begin.attempt() != 0 && isSame(begin, withdrawn))
            return wire::BEGIN_SUPERSEDED;
    for (const request &item : m_requests) {
        const wire::begin_request &first = item.begin;
        if (first.service() != begin.service() || first.key() != begin.key())
            continue;
        if (first.digest() != begin.digest())
            return wire::BEGIN_DIFFERENT_CONTENT;
        if (item.finish)
            return item.finish->outcome() == wire::finish_request::RAN ? wire::BEGIN_RECORDED
                                                                       : wire::BEGIN_UNKNOWN;
        if (m_wallMs > item.wallMs + first.deadline_ms()
            || isSuperseded(first.instance(), first.incarnation()))
            return wire::BEGIN_UNKNOWN;
        return begin.attempt() != 0 && begin.attempt() == first.attempt()
                && begin.instance() == first.instance()
                && begin.incarnation() == first.incarnation()
            ? wire::BEGIN_PROCEED
            : wire::BEGIN_IN_PROGRESS;
    }
    const auto time = timeOfRequestId(begin.key());
    if (time && *time < m_wallMs - m_limits.requestRetention.count())
        return wire::BEGIN_EXPIRED_KEY;
    if (m_requests.size() >= m_limits.maxRequests)
        return wire::BEGIN_FULL;
    m_requests.push_back({begin, m_wallMs, std::nullopt});
    return wire::BEGIN_PROCEED;
}

bool reference_state::finish(std::int64_t wallMs, const wire::finish_request &finish)
{
    advanceTime(wallMs);
    const auto own = std::ranges::find_if(
        m_requests, [&](const request &item) { return isSame(item.begin, finish); });
    if (finish.outcome() == wire::finish_request::WITHDRAWN) {
        if (own != m_requests.end() && own->finish)
            return false;
        m_withdrawn.push_back(finish);
        if (own == m_requests.end())
            return finish.attempt() != 0;
        m_requests.erase(own);
        return true;
    }
    if (own == m_requests.end())
        return false;
    if (!own->finish)
        own->finish = finish;
    return true;
}

bool reference_state::registerInstance(std::uint64_t index, std::int64_t wallMs,
                                       const wire::register_instance &registration)
{
    advanceTime(wallMs);
    instance &known = m_instances[registration.instance()];
    const std::uint64_t incarnation = registration.incarnation();
    if (known.isRemoved && incarnation <= known.removedIncarnation)
        return false;
    if (incarnation < known.incarnation)
        return false;
    if (known.isRemoved && incarnation > known.incarnation) {
        known.isRemoved = false;
        m_revision = index;
    }
    known.incarnation = incarnation;
    return true;
}

std::set<std::string> reference_state::removed() const
{
    std::set<std::string> result;
    for (const auto &[name, known] : m_instances)
        if (known.isRemoved)
            result.insert(name);
    return result;
}

} // namespace buckthorngrade
