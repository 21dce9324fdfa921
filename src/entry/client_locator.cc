#include "entry/client_locator.h"

namespace buckthorngrade {

client_locator::client_locator(const topology &deployment)
    : m_deployment(deployment)
    , m_table(std::make_shared<const block_table>(deployment.clientBlocks))
{ }

void client_locator::replace(std::span<const client_block> blocks)
{
    auto next = std::make_shared<const block_table>(blocks);
    const std::lock_guard lock(m_mutex);
    m_table.swap(next);
}

std::optional<client_locator::location> client_locator::locate(std::string_view address) const
{
    const auto parsed = client_address::parse(address);
    if (!parsed)
        return std::nullopt;
    std::shared_ptr<const block_table> table;
    {
        const std::lock_guard lock(m_mutex);
        table = m_table;
    }
    location result;
    result.placementKey = placementKey(*parsed);
    if (const block_target *target = table->find(*parsed)) {
        result.region = target->region;
        if (m_deployment.regionOf(target->site) == target->region)
            result.failureDomain = target->site;
    }
    return result;
}

} // namespace buckthorngrade
