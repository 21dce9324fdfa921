#pragma once

#include "model/topology.h"
#include "steering/block_table.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace buckthorngrade {

// Maps IP addresses of callers to regions and failure domains, using the client blocks. A new table
// is built outside of the lock and replaces the old one as a whole; concurrent readers continue
// with the table that they have loaded. Thread-safe.
class client_locator
{
public:
    // Throws steering_error for malformed blocks. `deployment` must outlive this.
    explicit client_locator(const topology &deployment);

    void replace(std::span<const client_block> blocks);

    struct location
    {
        std::uint64_t placementKey = 0;
        std::string region; // empty if no block contains the address
        std::string failureDomain; // empty if the block's site is not a failure domain
    };
    // Returns nullopt if `address` is not an IP address.
    std::optional<location> locate(std::string_view address) const;

private:
    const topology &m_deployment;
    mutable std::mutex m_mutex;
    std::shared_ptr<const block_table> m_table;
};

} // namespace buckthorngrade
