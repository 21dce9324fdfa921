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

// Input that a steering decision or table cannot be built from.
class steering_error : public error
{
public:
    using error::error;
};

// Client addresses to region and site, by longest prefix.
//
// Prefixes either nest or are disjoint. A sweep over the blocks in order of their first address,
// with a stack of the blocks that enclose the current address, therefore cuts the address space
// into disjoint intervals that each carry the most specific block's target. n blocks give at most
// 2n + 1 intervals; neighbours with the same target are merged. A lookup is one binary search over
// the first addresses, which are stored apart from the 2-byte targets: 6 bytes an interval for
// IPv4, 18 for IPv6.

// Address in network order; IPv4 uses the first four bytes. IPv4-mapped IPv6 becomes IPv4.
struct client_address
{
    std::array<std::uint8_t, 16> bytes{};
    bool isIpv6 = false;

    static std::optional<client_address> parse(std::string_view text);
    bool operator==(const client_address &) const = default;
};

// Identity of a client's neighbourhood for placement: the /24 (IPv4) or /48 (IPv6) network.
// Independent of the block table, so an edit of the blocks does not move callers.
std::uint64_t placementKey(const client_address &address);

struct block_target
{
    std::string region;
    std::string site;
    bool operator==(const block_target &) const = default;
};

// Immutable after construction; safe to read from any thread.
class block_table
{
public:
    static constexpr std::size_t maxBlocks = 1'000'000;
    static constexpr std::size_t maxTargets = 65'535;

    block_table() = default;
    // Throws steering_error, naming the block, for malformed CIDR, address bits beyond the prefix,
    // a block that is given twice, or more than maxBlocks blocks or maxTargets targets.
    explicit block_table(std::span<const client_block> blocks);

    // Null if no block contains `address`. Valid as long as the table.
    const block_target *find(const client_address &address) const;

    std::size_t intervalCount() const { return m_starts4.size() + m_starts6.size(); }
    // Bytes held by the interval arrays.
    std::size_t intervalBytes() const;

private:
    using address6 = std::array<std::uint8_t, 16>;

    std::vector<block_target> m_targets;
    std::vector<std::uint32_t> m_starts4;
    std::vector<std::uint16_t> m_values4;
    std::vector<address6> m_starts6;
    std::vector<std::uint16_t> m_values6;
};

// One parsed CIDR block; shared with the reference implementation.
struct cidr_block
{
    client_address first;
    unsigned prefixLength = 0;
};
// Throws steering_error.
cidr_block parseCidr(const std::string &text);

} // namespace buckthorngrade
