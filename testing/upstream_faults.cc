#include "testing/upstream_faults.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr std::array<std::string_view, 9> faultNames = {"none",
                                                        "hang",
                                                        "late",
                                                        "reset_before_read",
                                                        "reset_after_request_head",
                                                        "reset_before_answer",
                                                        "reset_after_answer_head",
                                                        "reset_in_body",
                                                        "truncate"};

} // namespace

upstream_fault upstreamFaultFromString(std::string_view word)
{
    const auto found = std::ranges::find(faultNames, word);
    if (found == faultNames.end())
        throw error("unknown fault '" + std::string(word) + "'");
    return static_cast<upstream_fault>(found - faultNames.begin());
}

fault_plan::fault_plan(std::uint64_t seed)
    : m_random(seed)
{ }

void fault_plan::add(const rule &value)
{
    const std::lock_guard lock(m_mutex);
    m_rules.push_back(value);
}

void fault_plan::clear()
{
    const std::lock_guard lock(m_mutex);
    m_rules.clear();
    ++m_generation;
}

fault_plan::rule fault_plan::next(std::string_view path, bool beforeRead)
{
    const std::lock_guard lock(m_mutex);
    const auto matches = [&](const rule &candidate) {
        return candidate.count != 0
            && (candidate.kind == upstream_fault::reset_before_read) == beforeRead
            && path.starts_with(candidate.pathPrefix);
    };
    const auto found = std::ranges::find_if(m_rules, matches);
    if (found == m_rules.end()
        || std::uniform_real_distribution<double>(0, 1)(m_random) >= found->probability)
        return {};
    if (found->count > 0)
        --found->count;
    return *found;
}

std::uint64_t fault_plan::generation() const
{
    const std::lock_guard lock(m_mutex);
    return m_generation;
}

} // namespace buckthorngrade
