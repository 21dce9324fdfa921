#pragma once

#include "steering/block_table.h"

#include <optional>
#include <span>
#include <vector>

namespace buckthorngrade {

// Reference for block_table: compares the address with every block.
class block_table_naive
{
public:
    explicit block_table_naive(std::span<const client_block> blocks)
    {
        for (const client_block &block : blocks)
            m_blocks.push_back({parseCidr(block.block), {block.region, block.site}});
    }

    std::optional<block_target> find(const client_address &address) const
    {
        std::optional<block_target> best;
        unsigned bestLength = 0;
        for (const item &candidate : m_blocks) {
            if (contains(candidate.block, address)
                && (!best || candidate.block.prefixLength > bestLength)) {
                best = candidate.target;
                bestLength = candidate.block.prefixLength;
            }
        }
        return best;
    }

private:
    struct item
    {
        cidr_block block;
        block_target target;
    };

    static bool contains(const cidr_block &block, const client_address &address)
    {
        if (block.first.isIpv6 != address.isIpv6)
            return false;
        for (unsigned bit = 0; bit < block.prefixLength; ++bit) {
            if (((block.first.bytes[bit / 8] ^ address.bytes[bit / 8]) & (0x80U >> bit % 8)) != 0)
                return false;
        }
        return true;
    }

    std::vector<item> m_blocks;
};

} // namespace buckthorngrade
