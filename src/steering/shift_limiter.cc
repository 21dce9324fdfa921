#include "steering/shift_limiter.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace buckthorngrade {

namespace {

bool isWithinBounds(const shift_sample &sample, const profile &rules)
{
    return sample.latency && *sample.latency >= std::chrono::microseconds(0)
        && *sample.latency <= rules.latencyBound && sample.shedShare
        && std::isfinite(*sample.shedShare) && *sample.shedShare >= 0
        && *sample.shedShare <= rules.shedBound;
}

} // namespace

void load_minimum::record(std::uint32_t load, std::chrono::milliseconds interval, steady_time now)
{
    const auto width
        = std::chrono::duration_cast<steady_time::duration>(interval) / bucketsPerInterval;
    if (m_buckets.empty() || now - m_buckets.back().start >= width)
        m_buckets.push_back({now, load});
    else
        m_buckets.back().minimum = std::min(m_buckets.back().minimum, load);
    // A bucket ends where the next one starts; it is dropped once that is older than the interval.
    while (m_buckets.size() > 1 && now - m_buckets[1].start > interval)
        m_buckets.pop_front();
}

std::uint32_t load_minimum::minimum() const
{
    return m_buckets.empty() ? 0 : std::ranges::min(m_buckets, {}, &bucket::minimum).minimum;
}

std::uint32_t shiftStep(double shiftCap, std::uint32_t regionSlots)
{
    return std::max(1U, static_cast<std::uint32_t>(std::floor(shiftCap * regionSlots + 1e-9)));
}

std::string_view shift_limiter::closeInterval(std::uint32_t step)
{
    const bool good = m_goodSamples > 0 && m_badSamples == 0;
    m_goodSamples = 0;
    m_badSamples = 0;
    m_badIntervals = good ? 0 : m_badIntervals + 1;
    if (m_holdIntervalsLeft > 0) {
        --m_holdIntervalsLeft;
        // Bad intervals during the hold do not count towards the next step back.
        m_badIntervals = 0;
        return "hold-after-step-back";
    }
    if (good) {
        m_ceiling = m_limit + step;
        return "step-granted";
    }
    m_ceiling = std::min(m_ceiling, m_limit);
    if (m_badIntervals < 2)
        return "hold";
    m_badIntervals = 0;
    m_holdIntervalsLeft = holdIntervals;
    m_ceiling = m_ceiling > step ? m_ceiling - step : 0;
    return "step-back";
}

shift_decision shift_limiter::update(const shift_sample &sample, const profile &rules,
                                     steady_time now, decision_record *record)
{
    const std::uint32_t step = shiftStep(rules.shiftCap, sample.regionSlots);
    const std::uint32_t previousLimit = m_limit;
    std::string_view rule = "within-interval";
    if (!m_isStarted) {
        m_isStarted = true;
        m_intervalStart = now;
        m_limit = sample.foreignPeak;
        m_ceiling = sample.foreignPeak + step;
        rule = "first-sample";
    }
    m_loadMinimum.record(sample.foreignPeak, rules.shiftInterval, now);
    ++(isWithinBounds(sample, rules) ? m_goodSamples : m_badSamples);
    if (now - m_intervalStart >= rules.shiftInterval) {
        rule = closeInterval(step);
        m_intervalStart = now;
    }
    const std::uint32_t minimum = m_loadMinimum.minimum();
    m_limit = std::min(m_ceiling, minimum + step);
    const shift_decision decision{
        m_limit, sample.foreignPeak > minimum && sample.foreignPeak + step >= m_limit, rule};
    if (record != nullptr) {
        record->kind = decision_kind::shift;
        record->profileVersion = rules.version;
        record->setRule(rule);
        record->addInput("foreign_peak", fmt::to_string(sample.foreignPeak));
        record->addInput("least_in_interval", fmt::to_string(minimum));
        record->addInput("step", fmt::to_string(step));
        record->addInput("ceiling", fmt::to_string(m_ceiling));
        record->addInput("latency_us",
                         sample.latency ? fmt::to_string(sample.latency->count()) : "missing");
        record->addInput("shed_share",
                         sample.shedShare ? fmt::format("{:.4f}", *sample.shedShare) : "missing");
        record->setOutcome(fmt::format("limit {} (was {})", m_limit, previousLimit));
    }
    return decision;
}

void shift_admission::recordPeak(std::uint32_t foreignPeak, std::uint32_t ownStep,
                                 std::chrono::milliseconds shiftInterval, steady_time now)
{
    m_loadMinimum.record(foreignPeak, shiftInterval, now);
    m_ownLimit = m_loadMinimum.minimum() + ownStep;
}

double shift_admission::cachedAnswerLoad(steady_time now) const
{
    const std::int64_t current = now.time_since_epoch() / bucketWidth;
    double sum = 0;
    for (const bucket &item : m_buckets) {
        if (item.expiryIndex >= current)
            sum += item.load;
    }
    return sum;
}

bool shift_admission::mayGiveAnswer(double slots, std::uint32_t foreignInFlight,
                                    steady_time now) const
{
    return foreignInFlight + cachedAnswerLoad(now) + slots <= limit();
}

void shift_admission::recordAnswer(double slots, std::chrono::milliseconds lifetime,
                                   steady_time now)
{
    const auto bounded = std::min(lifetime, bucketWidth * (static_cast<int>(bucketCount) - 2));
    const std::int64_t expiry = (now + bounded).time_since_epoch() / bucketWidth;
    bucket &item = m_buckets[static_cast<std::size_t>(expiry) % bucketCount];
    if (item.expiryIndex != expiry)
        item = {expiry, 0};
    item.load += slots;
}

} // namespace buckthorngrade
