#include "steering/connect_timeout.h"

#include <algorithm>
#include <cmath>

namespace buckthorngrade {

namespace {

// Weights of a new sample, and the number of deviations, as in RFC 6298. A deviation that is
// smaller than the average counts less, because long bodies make the link busy again and again.
constexpr double meanWeight = 1.0 / 8;
constexpr double largerDeviationWeight = 1.0 / 4;
constexpr double smallerDeviationWeight = 1.0 / 64;
constexpr double deviationCount = 4;

} // namespace

connect_timeout::connect_timeout(milliseconds min, milliseconds max)
    : m_min(min)
    , m_max(max)
{ }

void connect_timeout::record(milliseconds time, steady_time now)
{
    if (!m_hasSample || now - m_sampledAt > validity) {
        m_mean = time;
        m_deviation = time / 2;
    } else {
        const milliseconds difference(std::abs((time - m_mean).count()));
        const double weight
            = difference > m_deviation ? largerDeviationWeight : smallerDeviationWeight;
        m_deviation = m_deviation * (1 - weight) + difference * weight;
        m_mean = m_mean * (1 - meanWeight) + time * meanWeight;
    }
    m_hasSample = true;
    m_sampledAt = now;
}

connect_timeout::milliseconds connect_timeout::value(steady_time now) const
{
    if (!m_hasSample || now - m_sampledAt > validity)
        return m_max;
    return std::clamp(m_mean + deviationCount * m_deviation, m_min, m_max);
}

} // namespace buckthorngrade
