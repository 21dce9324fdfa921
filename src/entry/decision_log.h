#pragma once

#include "base/clock.h"
#include "steering/decision_record.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// Log of the latest decisions of this instance, in bounded memory. Refusals, retries, ejections and
// shifts have a ring of their own, so that a high rate of ordinary decisions does not evict them.
// Up to `ordinaryPerSecond` ordinary decisions are recorded per second; the others are only
// counted. Thread-safe.
class decision_log
{
public:
    struct bounds
    {
        std::size_t records = 8'192; // per ring
        std::size_t bytes = 8UL * 1024 * 1024; // of JSON text, per ring
        std::uint32_t ordinaryPerSecond = 64;
    };
    // `clock` must outlive this.
    decision_log(std::string instance, const clock_source &clock);
    decision_log(std::string instance, const clock_source &clock, const bounds &limits);

    std::string nextId();
    // Returns true if an ordinary decision made now is to be recorded with add(). Otherwise it is
    // to be passed to count().
    bool admitOrdinary();
    void count(decision_kind kind, std::string_view rule);
    // Stores the record and counts it.
    void add(const decision_record &record);

    // Returns the records with this id as JSON: ordinary decisions first, each group oldest first.
    std::vector<std::string> find(const std::string &id) const;

    struct rule_count
    {
        decision_kind kind = decision_kind::lookup;
        std::string rule;
        std::uint64_t decisions = 0;
    };
    // Number of decisions since the start of the process, by kind and rule.
    std::vector<rule_count> counts() const;
    // Number of stored records, and the size of their JSON text.
    std::size_t size() const;
    std::size_t bytes() const;

private:
    struct stored_record
    {
        std::uint64_t number = 0;
        std::string json;
    };
    struct ring
    {
        std::deque<stored_record> records;
        std::size_t bytes = 0;
    };
    // Rules are literals of the decision code; the bound only guards against a bug there.
    static constexpr std::size_t maxRules = 256;

    const std::string m_instance;
    const clock_source &m_clock;
    const bounds m_limits;
    std::atomic<std::uint64_t> m_nextNumber = 1;
    mutable std::mutex m_mutex;
    ring m_ordinary;
    ring m_important;
    steady_time m_windowStart;
    std::uint32_t m_admittedInWindow
        = 0; // ordinary records in the second that began at m_windowStart
    std::map<std::pair<decision_kind, std::string>, std::uint64_t, std::less<>> m_counts;
};

} // namespace buckthorngrade
