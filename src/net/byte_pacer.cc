#include "net/byte_pacer.h"

#include <algorithm>
#include <chrono>

namespace buckthorngrade {

steady_time byte_pacer::take(std::uint64_t bytes, steady_time now)
{
    if (!isLimited())
        return now;
    const std::chrono::duration<double> time(static_cast<double>(bytes) / m_bytesPerSecond);
    m_next = std::max(m_next, now) + std::chrono::ceil<steady_time::duration>(time);
    return m_next;
}

} // namespace buckthorngrade
