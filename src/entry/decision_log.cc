#include "entry/decision_log.h"

#include <algorithm>

namespace buckthorngrade {

namespace {

bool isOrdinary(decision_kind kind)
{
    return kind == decision_kind::lookup || kind == decision_kind::selection
        || kind == decision_kind::allocation;
}

} // namespace

decision_log::decision_log(std::string instance, const clock_source &clock)
    : decision_log(std::move(instance), clock, bounds{})
{ }

decision_log::decision_log(std::string instance, const clock_source &clock, const bounds &limits)
    : m_instance(std::move(instance))
    , m_clock(clock)
    , m_limits(limits)
    , m_windowStart(clock.now())
{ }

std::string decision_log::nextId()
{
    return makeDecisionId(m_instance, m_nextNumber++);
}

bool decision_log::admitOrdinary()
{
    const steady_time now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    if (now - m_windowStart >= std::chrono::seconds(1)) {
        m_windowStart = now;
        m_admittedInWindow = 0;
    }
    return m_admittedInWindow < m_limits.ordinaryPerSecond && ++m_admittedInWindow > 0;
}

void decision_log::count(decision_kind kind, std::string_view rule)
{
    const std::lock_guard lock(m_mutex);
    const auto key = std::pair(kind, std::string(rule));
    const auto found = m_counts.find(key);
    if (found != m_counts.end())
        ++found->second;
    else if (m_counts.size() < maxRules)
        m_counts.emplace(key, 1);
}

void decision_log::add(const decision_record &record)
{
    count(record.kind, record.rule());
    const auto id = parseDecisionId(record.id);
    if (!id)
        return;
    std::string json = record.toJson();
    const std::lock_guard lock(m_mutex);
    ring &target = isOrdinary(record.kind) ? m_ordinary : m_important;
    target.bytes += json.size();
    target.records.push_back({id->number, std::move(json)});
    while (target.records.size() > m_limits.records || target.bytes > m_limits.bytes) {
        target.bytes -= target.records.front().json.size();
        target.records.pop_front();
    }
}

std::vector<std::string> decision_log::find(const std::string &id) const
{
    const auto wanted = parseDecisionId(id);
    std::vector<std::string> result;
    if (!wanted || wanted->instance != m_instance)
        return result;
    const std::lock_guard lock(m_mutex);
    for (const ring *source : {&m_ordinary, &m_important})
        for (const stored_record &item : source->records)
            if (item.number == wanted->number)
                result.push_back(item.json);
    return result;
}

std::vector<decision_log::rule_count> decision_log::counts() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<rule_count> result;
    result.reserve(m_counts.size());
    for (const auto &[key, number] : m_counts)
        result.push_back({key.first, key.second, number});
    return result;
}

std::size_t decision_log::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_ordinary.records.size() + m_important.records.size();
}

std::size_t decision_log::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_ordinary.bytes + m_important.bytes;
}

} // namespace buckthorngrade
