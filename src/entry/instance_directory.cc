#include "entry/instance_directory.h"

#include <utility>

namespace buckthorngrade {

void instance_directory::update(std::vector<instance_status> instances, steady_time asOf)
{
    auto next = std::make_shared<const view>(view{std::move(instances), asOf});
    const std::lock_guard lock(m_mutex);
    m_view = std::move(next);
}

std::shared_ptr<const instance_directory::view> instance_directory::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

} // namespace buckthorngrade
