#pragma once

#include "base/clock.h"
#include "model/profile.h"
#include "steering/decision_record.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

namespace buckthorngrade {

// Limits how fast the load from callers of other regions ("foreign" load) grows in one receiving
// region, for one service.
//
// Load is the peak number of foreign requests in flight in a report period. The limit is
//     min(ceiling, least load of the last shift interval + step),  step = shift_cap * region slots.
// The second term alone keeps the growth within every window of one interval, wherever it starts,
// at or below a step; steps counted from fixed interval boundaries would allow two steps around a
// boundary. The ceiling carries the feedback: each interval with good measurements raises it by a
// step, a bad one holds it, and two bad ones in a row take it back by a step and hold it for two
// intervals. Missing measurements hold it.
//
// The limit is enforced by the receiving entry instances. Their shares of it come from a
// slot_allocator pool whose capacity is the limit, so that the shares together stay within it.

struct shift_sample
{
    std::uint32_t foreignPeak = 0; // foreign requests in flight, peak since the last sample
    std::uint32_t regionSlots = 0;
    std::optional<std::chrono::microseconds> latency; // of the receiving region
    std::optional<double> shedShare;
};

struct shift_decision
{
    std::uint32_t limit = 0; // foreign requests in flight at a time
    bool isUnderWay = false; // the load is within one step of the limit and grew
    std::string_view rule;
};

class shift_governor
{
public:
    // Call about once a second; a call that comes late only delays growth. If `record` is given it
    // is filled.
    shift_decision update(const shift_sample &sample, const profile &rules, steady_time now,
                          decision_record *record = nullptr);

    std::uint32_t limit() const { return m_limit; }

private:
    // Least loads are kept per 1/32 of the interval, so memory does not depend on its length.
    static constexpr int bucketsPerInterval = 32;
    static constexpr std::uint32_t holdIntervals = 2;

    struct bucket
    {
        steady_time start;
        std::uint32_t least = 0;
    };
    std::string_view closeInterval(std::uint32_t step);

    bool m_isStarted = false;
    std::deque<bucket> m_buckets;
    steady_time m_intervalStart;
    std::uint32_t m_goodSamples = 0;
    std::uint32_t m_badSamples = 0;
    std::uint32_t m_badIntervals = 0; // in a row
    std::uint32_t m_holdLeft = 0; // intervals
    std::uint32_t m_ceiling = 0;
    std::uint32_t m_limit = 0;
};

// One entry instance's side: admits foreign work up to its share of the limit, and counts the
// lookup answers that callers may still have cached, so that callers are not sent to a region that
// would refuse them.
class shift_admission
{
public:
    // Share of the limit held by this instance; see shift_governor.
    void setLimit(std::uint32_t slots) { m_limit = slots; }
    bool mayAdmit(std::uint32_t foreignInFlight) const { return foreignInFlight < m_limit; }

    // True if an answer that will bring `slots` of load fits below the limit together with the
    // load in flight and the answers of the last cache lifetime.
    bool mayAnnounce(double slots, std::uint32_t foreignInFlight, steady_time now) const;
    void announce(double slots, std::chrono::milliseconds lifetime, steady_time now);
    // Load of answers that may still be cached.
    double announced(steady_time now) const;

private:
    // Answers are summed per 100 ms of their expiry; lifetimes are at most 3 s.
    static constexpr std::chrono::milliseconds bucketWidth{100};
    static constexpr std::size_t bucketCount = 32;
    struct bucket
    {
        std::int64_t slot = -1;
        double load = 0;
    };
    std::array<bucket, bucketCount> m_buckets{};
    std::uint32_t m_limit = 0;
};

} // namespace buckthorngrade
