#pragma once

#include "base/error.h"

#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace buckthorngrade {

// Generous, because it only decides when a test gives up; a slow machine must not fail a test.
constexpr std::chrono::seconds defaultWaitLimit{60};

// Waits until `condition` holds. Throws error with `what` if it does not within `limit`.
inline void waitUntil(const std::string &what, const std::function<bool()> &condition,
                      std::chrono::milliseconds limit = defaultWaitLimit)
{
    constexpr std::chrono::milliseconds step{10};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            throw error("gave up waiting until " + what);
        std::this_thread::sleep_for(step);
    }
}

} // namespace buckthorngrade
