#pragma once

#include "base/error.h"
#include "model/topology.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// Thrown for input from which a steering decision or table cannot be computed.
class steering_error : public error
{
public:
    using error::error;
};

// Maps client addresses to region and site by longest prefix match.
//
// Prefixes are either nested or disjoint. A sweep over the blocks in order of their first address,
// with a stack of the blocks that contain the current address, therefore splits the address space
// into disjoint intervals that each have the target of the most specific block. n blocks give at
// most 2n + 1 intervals; adjacent intervals with the same target are merged. A lookup is one binary
// search over the first addresses, which are stored separately from the 2-byte target indexes. An
// interval takes 6 bytes for IPv4 and 18 bytes for IPv6.

// Address in network byte order. IPv4 uses the first four bytes. IPv4-mapped IPv6 addresses are
// converted to IPv4.
struct client_address
{
    std::array<std::uint8_t, 16> bytes{};
    bool isIpv6 = false;

    static std::optional<client_address> parse(std::string_view text);
    bool operator==(const client_address &) const = default;
};

// Returns a key for the client's /24 (IPv4) or /48 (IPv6) network, which is used for placement. The
// key does not depend on the block table, so that an edit of the blocks does not move callers.
std::uint64_t placementKey(const client_address &address);

struct block_target
{
    std::string region;
    std::string site;
    bool operator==(const block_target &) const = default;
};

// Immutable after construction and therefore safe to read from any thread.
class block_table
{
public:
    static constexpr std::size_t maxBlocks = 1'000'000;
    static constexpr std::size_t maxTargets = 65'535;

    block_table() = default;
    // Throws steering_error for malformed CIDR or address bits beyond the prefix, in which case the
    // message contains the block, and for a duplicate block, more than maxBlocks blocks or more
    // than maxTargets targets.
    explicit block_table(std::span<const client_block> blocks);

    // Returns the target of the most specific block that contains `address`, or null if there is
    // none. The result is valid for the lifetime of the table.
    const block_target *find(const client_address &address) const;

    std::size_t intervalCount() const { return m_starts4.size() + m_starts6.size(); }
    // Returns the size of the interval arrays in bytes.
    std::size_t intervalBytes() const;

private:
    using address6 = std::array<std::uint8_t, 16>;

    std::vector<block_target> m_targets;
    std::vector<std::uint32_t> m_starts4;
    std::vector<std::uint16_t> m_targetIndexes4;
    std::vector<address6> m_starts6;
    std::vector<std::uint16_t> m_targetIndexes6;
};

// A parsed CIDR block.
struct cidr_block
{
    client_address first;
    unsigned prefixLength = 0;
};
// Throws steering_error if `text` is not a CIDR block.
cidr_block parseCidr(const std::string &text);

} // namespace buckthorngrade
