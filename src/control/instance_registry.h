#pragma once

#include "base/clock.h"
#include "link.pb.h"
#include "model/instance_status.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace buckthorngrade {

// Entry instances as their reports describe them. Thread-safe.
class instance_registry
{
public:
    void record(const wire::report_request &report, steady_time now);
    // All known instances, by name, with their state at `now`.
    std::vector<instance_status> list(steady_time now) const;

private:
    struct known_instance
    {
        instance_status status;
        bool leaving = false;
        bool ready = false;
        steady_time lastReport;
    };
    mutable std::mutex m_mutex;
    std::map<std::string, known_instance> m_instances;
};

std::string_view toString(instance_state state);
wire::instance_health toWire(instance_state state);

} // namespace buckthorngrade
