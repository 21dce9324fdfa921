#include "base/boot_clock.h"

#include <ctime>

namespace buckthorngrade {

boot_time boot_clock::now() noexcept
{
    timespec time{};
    // The call fails only if the kernel does not support the clock.
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace buckthorngrade
