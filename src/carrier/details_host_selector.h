#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace buckthorngrade {

// Selects the control instance that an entry instance asks for the details, which are large and so
// come from one control instance at a time.
//
// The nearest responding one is preferred. One that has not provided a recent list of upstreams,
// because it is cut off from the others, for example, is avoided for a while.
class details_host_selector
{
public:
    // Time that a control instance has to provide a recent list. Covers a poll that is lost.
    static constexpr std::chrono::milliseconds responseTime{2'000};
    static constexpr std::chrono::milliseconds avoidanceTime{10'000};

    // `ownHost` is the IPv4 address of this instance.
    explicit details_host_selector(const std::string &ownHost);

    // Returns the control instance to ask, or an empty string if none responds. `isListRecent`: the
    // list of upstreams of this instance is recent.
    std::string select(const std::set<std::string> &responding, bool isListRecent, steady_time now);

private:
    std::string nearest(const std::set<std::string> &hosts) const;

    std::uint32_t m_own;
    std::string m_selected;
    // Last time at which m_selected was selected anew or the list was recent.
    steady_time m_usefulAt{};
    std::map<std::string, steady_time> m_avoidedUntil;
};

} // namespace buckthorngrade
