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
//     min(ceiling, minimum load of the last shift interval + step),
// where step = shift_cap * region slots. The second term alone keeps the growth at or below one
// step in every window of one interval, wherever the window starts. Steps counted from fixed
// interval boundaries would allow two steps around a boundary. The ceiling provides the feedback:
// after an interval in which all samples were good it is set one step above the limit, and a bad
// interval holds it at the limit. Two bad intervals in a row lower it by a step and hold it for two
// intervals. A sample is good if latency and shed share are known and within the bounds of the
// profile, so missing measurements do not raise the ceiling.
//
// The limit is enforced by the receiving entry instances. Their shares of it come from a
// slot_allocator pool whose capacity is the limit. A lower limit reaches them only with the next
// replies, and load that has dropped could return before that. shift_admission therefore also
// limits the load of each instance to the minimum of its last interval plus the instance's share of
// the step. These shares add up to the step, so the total load grows by at most one step in every
// window, however late the shares of the limit arrive.

// Minimum load of the last interval (a sliding-window minimum). Values are combined per 1/32 of the
// interval, so memory use does not depend on its length. A value expires at most 1/32 of the
// interval late, never early.
class load_minimum
{
public:
    void record(std::uint32_t load, std::chrono::milliseconds interval, steady_time now);
    // Zero before the first record.
    std::uint32_t minimum() const;

private:
    static constexpr int bucketsPerInterval = 32;
    struct bucket
    {
        steady_time start;
        std::uint32_t minimum = 0;
    };
    std::deque<bucket> m_buckets;
};

// The share of a step for the instance at `position` of `count`. The shares add up to the step.
constexpr std::uint32_t stepShare(std::uint32_t step, std::uint32_t count, std::uint32_t position)
{
    return count == 0 ? 0 : step / count + (position < step % count ? 1 : 0);
}

// Number of slots by which the foreign load of a region may grow in an interval. At least one,
// because otherwise a small region could never take over load.
std::uint32_t shiftStep(double shiftCap, std::uint32_t regionSlots);

struct shift_sample
{
    std::uint32_t foreignPeak = 0; // peak of foreign requests in flight since the last sample
    std::uint32_t regionSlots = 0;
    std::optional<std::chrono::microseconds> latency; // of the receiving region
    std::optional<double> shedShare; // fraction of the receiving region's requests that were shed
};

struct shift_decision
{
    std::uint32_t limit = 0; // foreign requests in flight at a time
    bool isUnderWay = false; // the load has grown within the interval to within a step of the limit
    std::string_view rule;
};

// Computes the foreign limit of one region for one service; see the head of this file.
class shift_limiter
{
public:
    // Call about once a second; a late call only delays growth. Describes the decision in `record`
    // unless it is null.
    shift_decision update(const shift_sample &sample, const profile &rules, steady_time now,
                          decision_record *record = nullptr);

    std::uint32_t limit() const { return m_limit; }

private:
    static constexpr std::uint32_t holdIntervals = 2;
    std::string_view closeInterval(std::uint32_t step);

    bool m_isStarted = false;
    load_minimum m_loadMinimum;
    steady_time m_intervalStart;
    std::uint32_t m_goodSamples = 0;
    std::uint32_t m_badSamples = 0;
    std::uint32_t m_badIntervals = 0; // consecutive
    std::uint32_t m_holdIntervalsLeft = 0;
    std::uint32_t m_ceiling = 0;
    std::uint32_t m_limit = 0;
};

// Applies the foreign limit in one entry instance. Admits foreign requests up to the instance's
// share of the limit, and sums up the load of lookup answers that callers may still have cached, so
// that callers are not directed to a region that would refuse them.
class shift_admission
{
public:
    // Sets this instance's share of the limit.
    void setShare(std::uint32_t slots) { m_share = slots; }
    // Call once per report period with the peak number of foreign requests in flight during it, and
    // with this instance's share of the step.
    void recordPeak(std::uint32_t foreignPeak, std::uint32_t ownStep,
                    std::chrono::milliseconds shiftInterval, steady_time now);
    std::uint32_t limit() const { return std::min(m_share, m_ownLimit); }
    bool mayAdmit(std::uint32_t foreignInFlight) const { return foreignInFlight < limit(); }

    // Returns true if an answer that will cause a load of `slots` fits below the limit, in addition
    // to the requests in flight and the answers that may still be cached.
    bool mayGiveAnswer(double slots, std::uint32_t foreignInFlight, steady_time now) const;
    // Records that such an answer was given and may be cached for `lifetime`.
    void recordAnswer(double slots, std::chrono::milliseconds lifetime, steady_time now);
    // Sum of the load of the answers that may still be cached.
    double cachedAnswerLoad(steady_time now) const;

private:
    // Answers are summed per 100 ms of their expiry time. Lifetimes are at most 3 s.
    static constexpr std::chrono::milliseconds bucketWidth{100};
    static constexpr std::size_t bucketCount = 32;
    struct bucket
    {
        std::int64_t expiryIndex = -1; // expiry time divided by bucketWidth
        double load = 0;
    };
    std::array<bucket, bucketCount> m_buckets{};
    load_minimum m_loadMinimum;
    std::uint32_t m_share = 0;
    std::uint32_t m_ownLimit = 0;
};

} // namespace buckthorngrade
