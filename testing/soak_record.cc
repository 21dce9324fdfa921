#include "testing/soak_record.h"

#include <algorithm>

#include <fmt/format.h>

namespace buckthorngrade {

std::string soakBody(const std::string &id)
{
    std::string text;
    for (int i = 0; i < 20; ++i)
        text += id + ";";
    return text;
}

void soak_record::add(const std::string &what)
{
    constexpr std::size_t most = 50;
    if (m_faults.size() < most)
        m_faults.push_back(what);
}

void soak_record::ran(const std::string &id, bool mayRunOnce)
{
    const std::lock_guard lock(m_mutex);
    if (mayRunOnce && ++m_runs[id] > 1)
        add(fmt::format("{} ran {} times", id, m_runs[id]));
}

void soak_record::answered(const std::string &id, int status, const std::string &body, bool hasSeal,
                           bool isComplete)
{
    const std::lock_guard lock(m_mutex);
    ++m_requests;
    constexpr int refusals[] = {408, 421, 429, 503};
    if (std::ranges::find(refusals, status) != std::end(refusals))
        m_refused.insert(id);
    if (status != 200 || !isComplete)
        return;
    ++m_served;
    if (!hasSeal || body != soakBody(id))
        add(fmt::format("{} got an answer that is not its own: {}", id, body.substr(0, 80)));
}

void soak_record::sawRoute(const std::string &entryProcess, std::uint64_t version, bool exists)
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t &newest = m_newestRoute[entryProcess];
    if (exists)
        newest = std::max(newest, version);
    else if (version <= newest)
        add(fmt::format("{} went back: it served version {} and denies {}", entryProcess, newest,
                        version));
}

void soak_record::acknowledged(std::uint64_t version)
{
    const std::lock_guard lock(m_mutex);
    m_acknowledged = std::max(m_acknowledged, version);
}

std::uint64_t soak_record::newestAcknowledged() const
{
    const std::lock_guard lock(m_mutex);
    return m_acknowledged;
}

void soak_record::readBack(std::uint64_t version, std::uint64_t newestBefore)
{
    const std::lock_guard lock(m_mutex);
    if (version < newestBefore)
        add(fmt::format("a read gave version {} after {} was acknowledged", version, newestBefore));
}

void soak_record::broken(const std::string &what)
{
    const std::lock_guard lock(m_mutex);
    add(what);
}

void soak_record::finish()
{
    const std::lock_guard lock(m_mutex);
    for (const std::string &id : m_refused)
        if (m_runs.contains(id))
            add(fmt::format("{} was refused and ran", id));
}

std::vector<std::string> soak_record::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

std::size_t soak_record::served() const
{
    const std::lock_guard lock(m_mutex);
    return m_served;
}

std::size_t soak_record::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

} // namespace buckthorngrade
