#pragma once

#include "base/clock.h"
#include "model/profile.h"
#include "steering/decision_record.h"

#include <algorithm>
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
// slot_allocator pool whose capacity is the limit. A lower limit reaches them only with the next
// replies, and load that dipped could return meanwhile; so each instance also bounds its own load
// by the least of its last interval plus its part of the step. The parts add up to the step, hence
// the growth of the sum keeps to it in every window, whatever the delay of the shares.

// Least load of the last interval. Kept per 1/32 of the interval, so memory does not depend on its
// length; a value is forgotten at most 1/32 of the interval late, never early.
class load_window
{
public:
    void record(std::uint32_t load, std::chrono::milliseconds interval, steady_time now);
    // Zero before the first record.
    std::uint32_t least() const;

private:
    static constexpr int bucketsPerInterval = 32;
    struct bucket
    {
        steady_time start;
        std::uint32_t least = 0;
    };
    std::deque<bucket> m_buckets;
};

// Part of a step for the instance at `position` of `count`. The parts add up to the step.
constexpr std::uint32_t stepPart(std::uint32_t step, std::uint32_t count, std::uint32_t position)
{
    return count == 0 ? 0 : step / count + (position < step % count ? 1 : 0);
}

// Slots by which the load of a region may grow in an interval: at least one, or a small region
// could never take over anything.
std::uint32_t shiftStep(double shiftCap, std::uint32_t regionSlots);

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
    static constexpr std::uint32_t holdIntervals = 2;
    std::string_view closeInterval(std::uint32_t step);

    bool m_isStarted = false;
    load_window m_window;
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
    // Share of the limit held by this instance.
    void setShare(std::uint32_t slots) { m_share = slots; }
    // Call once a report period with the peak of foreign requests in flight during it, and this
    // instance's part of the step.
    void recordPeak(std::uint32_t foreignPeak, std::uint32_t part,
                    std::chrono::milliseconds shiftInterval, steady_time now);
    std::uint32_t limit() const { return std::min(m_share, m_ownLimit); }
    bool mayAdmit(std::uint32_t foreignInFlight) const { return foreignInFlight < limit(); }

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
    load_window m_window;
    std::uint32_t m_share = 0;
    std::uint32_t m_ownLimit = 0;
};

} // namespace buckthorngrade
