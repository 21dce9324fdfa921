#pragma once

#include "base/clock.h"
#include "model/instance_status.h"

#include <memory>
#include <mutex>
#include <vector>

namespace buckthorngrade {

// The table of entry instances, as last received from the control group. Thread-safe.
class instance_directory
{
public:
    struct view
    {
        std::vector<instance_status> instances;
        steady_time asOf; // the control group sent the table no earlier than this
    };

    void update(std::vector<instance_status> instances, steady_time asOf);
    std::shared_ptr<const view> current() const;

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const view> m_view = std::make_shared<const view>();
};

} // namespace buckthorngrade
