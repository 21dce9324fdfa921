#include "steering/block_table.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

namespace buckthorngrade {

namespace {

constexpr std::uint16_t noTarget = 0xffff;
constexpr std::size_t maxAddressLength = 45;

using address6 = std::array<std::uint8_t, 16>;

std::uint32_t toKey4(const client_address &address)
{
    std::uint32_t key = 0;
    for (std::size_t i = 0; i < 4; ++i)
        key = key << 8U | address.bytes[i];
    return key;
}

std::uint32_t lastAddress(std::uint32_t first, unsigned prefixLength)
{
    return prefixLength == 32 ? first : first | (0xffffffffU >> prefixLength);
}

address6 lastAddress(address6 first, unsigned prefixLength)
{
    for (unsigned bit = prefixLength; bit < 128; ++bit)
        first[bit / 8] |= static_cast<std::uint8_t>(0x80U >> bit % 8);
    return first;
}

// Increments the address. Returns false if it was the last one.
bool increment(std::uint32_t &key)
{
    return ++key != 0;
}

bool increment(address6 &key)
{
    for (std::size_t i = key.size(); i-- > 0;) {
        if (++key[i] != 0)
            return true;
    }
    return false;
}

template <typename Key>
struct block_range
{
    Key first{};
    Key last{};
    unsigned prefixLength = 0;
    std::uint16_t targetIndex = noTarget;
};

template <typename Key>
struct interval_writer
{
    std::vector<Key> &starts;
    std::vector<std::uint16_t> &targetIndexes;

    void write(const Key &start, std::uint16_t targetIndex)
    {
        if (!starts.empty() && starts.back() == start) {
            starts.pop_back();
            targetIndexes.pop_back();
        }
        if (!targetIndexes.empty() && targetIndexes.back() == targetIndex)
            return;
        starts.push_back(start);
        targetIndexes.push_back(targetIndex);
    }
};

template <typename Key>
void buildIntervals(std::vector<block_range<Key>> &ranges, std::vector<Key> &starts,
                    std::vector<std::uint16_t> &targetIndexes)
{
    if (ranges.empty())
        return;
    std::ranges::sort(ranges, [](const auto &a, const auto &b) {
        return std::tie(a.first, a.prefixLength) < std::tie(b.first, b.prefixLength);
    });
    interval_writer<Key> writer{starts, targetIndexes};
    writer.write(Key{}, noTarget);
    std::vector<const block_range<Key> *> enclosing;
    const auto closeInnermost = [&] {
        Key next = enclosing.back()->last;
        enclosing.pop_back();
        if (increment(next))
            writer.write(next, enclosing.empty() ? noTarget : enclosing.back()->targetIndex);
    };
    for (const auto &range : ranges) {
        while (!enclosing.empty() && enclosing.back()->last < range.first)
            closeInnermost();
        if (!enclosing.empty() && enclosing.back()->first == range.first
            && enclosing.back()->prefixLength == range.prefixLength)
            throw steering_error("a client block is given twice");
        writer.write(range.first, range.targetIndex);
        enclosing.push_back(&range);
    }
    while (!enclosing.empty())
        closeInnermost();
    starts.shrink_to_fit();
    targetIndexes.shrink_to_fit();
}

template <typename Key>
std::uint16_t findTargetIndex(const std::vector<Key> &starts,
                              const std::vector<std::uint16_t> &targetIndexes, const Key &key)
{
    if (starts.empty())
        return noTarget;
    const auto after = std::ranges::upper_bound(starts, key);
    return targetIndexes[static_cast<std::size_t>(after - starts.begin()) - 1];
}

} // namespace

std::optional<client_address> client_address::parse(std::string_view text)
{
    if (text.size() > maxAddressLength)
        return std::nullopt;
    const std::string copy(text);
    if (copy.size() != std::char_traits<char>::length(copy.c_str()))
        return std::nullopt;
    client_address address;
    if (inet_pton(AF_INET, copy.c_str(), address.bytes.data()) == 1)
        return address;
    if (inet_pton(AF_INET6, copy.c_str(), address.bytes.data()) != 1)
        return std::nullopt;
    constexpr std::array<std::uint8_t, 12> mappedPrefix = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 255, 255};
    if (std::ranges::equal(mappedPrefix, std::span(address.bytes).first(mappedPrefix.size()))) {
        client_address mapped;
        std::copy_n(address.bytes.begin() + mappedPrefix.size(), 4, mapped.bytes.begin());
        return mapped;
    }
    address.isIpv6 = true;
    return address;
}

std::uint64_t placementKey(const client_address &address)
{
    std::uint64_t key = address.isIpv6 ? 6 : 4;
    const std::size_t length = address.isIpv6 ? 6 : 3;
    for (std::size_t i = 0; i < length; ++i)
        key = key << 8U | address.bytes[i];
    return key;
}

cidr_block parseCidr(const std::string &text)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos)
        throw steering_error("client block '" + text + "' has no prefix length");
    const std::string addressText = text.substr(0, slash);
    const auto address = client_address::parse(addressText);
    // An IPv4-mapped address is rejected because its conversion to IPv4 would silently change the
    // meaning of the prefix length.
    if (!address || (!address->isIpv6 && addressText.find(':') != std::string::npos))
        throw steering_error("client block '" + text + "' has a malformed address");
    cidr_block block{*address, 0};
    const char *begin = text.data() + slash + 1;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, errorCode] = std::from_chars(begin, end, block.prefixLength);
    const unsigned width = address->isIpv6 ? 128 : 32;
    if (errorCode != std::errc() || parsedEnd != end || block.prefixLength > width)
        throw steering_error("client block '" + text + "' has a malformed prefix length");
    for (unsigned bit = block.prefixLength; bit < width; ++bit) {
        if ((address->bytes[bit / 8] & (0x80U >> bit % 8)) != 0)
            throw steering_error("client block '" + text + "' has address bits beyond its prefix");
    }
    return block;
}

block_table::block_table(std::span<const client_block> blocks)
{
    if (blocks.size() > maxBlocks)
        throw steering_error("more than " + std::to_string(maxBlocks) + " client blocks");
    std::map<std::pair<std::string, std::string>, std::uint16_t> indexByTarget;
    std::vector<block_range<std::uint32_t>> ranges4;
    std::vector<block_range<address6>> ranges6;
    for (const client_block &block : blocks) {
        const auto [entry, added] = indexByTarget.try_emplace(
            {block.region, block.site}, static_cast<std::uint16_t>(m_targets.size()));
        if (added) {
            if (m_targets.size() == maxTargets)
                throw steering_error("client blocks name more than " + std::to_string(maxTargets)
                                     + " pairs of region and site");
            m_targets.push_back({block.region, block.site});
        }
        const cidr_block parsed = parseCidr(block.block);
        if (parsed.first.isIpv6) {
            ranges6.push_back({parsed.first.bytes,
                               lastAddress(parsed.first.bytes, parsed.prefixLength),
                               parsed.prefixLength, entry->second});
        } else {
            const std::uint32_t first = toKey4(parsed.first);
            ranges4.push_back({first, lastAddress(first, parsed.prefixLength), parsed.prefixLength,
                               entry->second});
        }
    }
    buildIntervals(ranges4, m_starts4, m_targetIndexes4);
    buildIntervals(ranges6, m_starts6, m_targetIndexes6);
}

const block_target *block_table::find(const client_address &address) const
{
    const std::uint16_t targetIndex = address.isIpv6
        ? findTargetIndex(m_starts6, m_targetIndexes6, address.bytes)
        : findTargetIndex(m_starts4, m_targetIndexes4, toKey4(address));
    return targetIndex == noTarget ? nullptr : &m_targets[targetIndex];
}

std::size_t block_table::intervalBytes() const
{
    constexpr std::size_t bytesPerInterval4 = sizeof(std::uint32_t) + sizeof(std::uint16_t);
    constexpr std::size_t bytesPerInterval6 = sizeof(address6) + sizeof(std::uint16_t);
    return m_starts4.size() * bytesPerInterval4 + m_starts6.size() * bytesPerInterval6;
}

} // namespace buckthorngrade
