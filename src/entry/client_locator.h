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

// Where a caller is, by the client blocks. The table is built outside the lock and replaced as a
// whole; readers keep the one they got. Thread-safe.
class client_locator
{
public:
    // Throws steering_error for malformed blocks. `deployment` must outlive this.
    explicit client_locator(const topology &deployment);

    void replace(std::span<const client_block> blocks);

    struct place
    {
        std::uint64_t placementKey = 0;
        std::string region; // empty: in no block
        std::string failureDomain; // if the block's site is one; else empty
    };
    // Nothing if `address` is not an IP address.
    std::optional<place> locate(std::string_view address) const;

private:
    const topology &m_deployment;
    mutable std::mutex m_mutex;
    std::shared_ptr<const block_table> m_table;
};

} // namespace buckthorngrade
