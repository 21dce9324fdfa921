#pragma once

#include <cstdint>
#include <string>

namespace buckthorngrade {

enum class instance_state { live, suspected, dead, leaving, removed, not_ready };

// Status of one entry instance as the control instances report it.
struct instance_status
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::string address; // "IP:port" for callers
    std::string region;
    std::string failureDomain;
    instance_state state = instance_state::live;
    std::uint64_t revision = 0;
    double load = 0; // fraction of its slots in use
};

} // namespace buckthorngrade
