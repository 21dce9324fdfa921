#include "steering/block_table.h"
#include "tests/steering/block_table_naive.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <arpa/inet.h>

#include <random>
#include <set>

using namespace buckthorngrade;

namespace {

std::string toText(const client_address &address)
{
    char text[INET6_ADDRSTRLEN];
    inet_ntop(address.isIpv6 ? AF_INET6 : AF_INET, address.bytes.data(), text, sizeof text);
    return text;
}

// Returns an address whose bytes have few distinct values, so that random blocks are often nested
// and random addresses are often in a block.
client_address randomAddress(std::mt19937_64 &random, bool isIpv6)
{
    client_address address;
    address.isIpv6 = isIpv6;
    const std::size_t width = isIpv6 ? 16 : 4;
    for (std::size_t i = 0; i < width; ++i) {
        const auto roll = random() % 4;
        address.bytes[i] = roll == 0 ? 0
            : roll == 1              ? 255
                                     : static_cast<std::uint8_t>(random() % 4);
    }
    if (isIpv6)
        address.bytes[0] = 0x20; // Not an IPv4-mapped address.
    return address;
}

client_block randomBlock(std::mt19937_64 &random)
{
    const bool isIpv6 = random() % 2 == 0;
    client_address address = randomAddress(random, isIpv6);
    const unsigned width = isIpv6 ? 128 : 32;
    const auto length = static_cast<unsigned>(random() % (width + 1));
    for (unsigned bit = length; bit < width; ++bit)
        address.bytes[bit / 8] &= static_cast<std::uint8_t>(~(0x80U >> bit % 8));
    if (isIpv6 && length < 8)
        address.bytes[0] = 0;
    return {fmt::format("{}/{}", toText(address), length), fmt::format("r{}", random() % 3),
            fmt::format("s{}", random() % 5)};
}

} // namespace

class block_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(block_table_test);
    CPPUNIT_TEST(agreesWithScanOfAllBlocks);
    CPPUNIT_TEST(rejectsMalformedBlocks);
    CPPUNIT_TEST(staysWithinMemoryBound);
    CPPUNIT_TEST(mapsAddressesToNetworks);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against wrong interval boundaries where prefixes are nested, adjacent, or at the first
    // or last address.
    void agreesWithScanOfAllBlocks()
    {
        std::size_t found = 0;
        for (std::uint64_t seed = 1; seed <= 400; ++seed) {
            std::mt19937_64 random(seed);
            std::vector<client_block> blocks;
            std::set<std::string> known;
            for (std::size_t i = 0; i < seed % 60; ++i) {
                client_block block = randomBlock(random);
                if (known.insert(block.block).second)
                    blocks.push_back(block);
            }
            const block_table table(blocks);
            const block_table_naive reference(blocks);
            CPPUNIT_ASSERT(table.intervalCount() <= 2 * blocks.size() + 2);
            for (int i = 0; i < 300; ++i) {
                const client_address address = randomAddress(random, random() % 2 == 0);
                const block_target *actual = table.find(address);
                const auto expected = reference.find(address);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    fmt::format("seed {} address {}", seed, toText(address)), expected.has_value(),
                    actual != nullptr);
                CPPUNIT_ASSERT(!expected || *expected == *actual);
                found += expected ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(found > 10'000);
    }

    // Guards against a table that silently differs from the client blocks that the operator
    // specified.
    void rejectsMalformedBlocks()
    {
        for (const char *text : {"10.0.0.0", "10.0.0.0/", "10.0.0.0/33", "10.0.0.0/-1", "/8",
                                 "10.0.0.0/8x", "10.0.0.1/24", "2001:db8::/129", "2001:db8::1/64",
                                 "10.0.0/8", "::ffff:10.0.0.0/104", "10.0.0.0 /8"}) {
            const std::vector<client_block> blocks = {{text, "r", "s"}};
            CPPUNIT_ASSERT_THROW_MESSAGE(text, block_table{blocks}, steering_error);
        }
        const std::vector<client_block> twice
            = {{"10.0.0.0/8", "r", "s"}, {"10.0.0.0/8", "q", "s"}};
        CPPUNIT_ASSERT_THROW(block_table{twice}, steering_error);
        const std::vector<client_block> tooMany(block_table::maxBlocks + 1);
        CPPUNIT_ASSERT_THROW(block_table{tooMany}, steering_error);
        CPPUNIT_ASSERT(block_table().find(*client_address::parse("10.0.0.1")) == nullptr);
    }

    // Guards against a table of 330,000 blocks, the size the system is designed for, that does not
    // fit into the memory of a small instance.
    void staysWithinMemoryBound()
    {
        constexpr std::uint32_t count = 330'000;
        std::vector<client_block> blocks;
        for (std::uint32_t i = 0; i < count; ++i)
            blocks.push_back({fmt::format("{}.{}.{}.0/25", 1 + i / 65536, i / 256 % 256, i % 256),
                              "r", fmt::format("s{}", i % 610)});
        const block_table table(blocks);
        CPPUNIT_ASSERT(table.intervalCount() <= 660'001);
        CPPUNIT_ASSERT(table.intervalBytes() <= 660'001 * 6);
        CPPUNIT_ASSERT_EQUAL(std::string("s1"),
                             table.find(*client_address::parse("1.0.1.5"))->site);
        CPPUNIT_ASSERT(table.find(*client_address::parse("1.0.1.200")) == nullptr);
    }

    // Guards against different keys for callers of one network, and against treating IPv4-mapped
    // addresses as IPv6.
    void mapsAddressesToNetworks()
    {
        const auto key
            = [](const char *text) { return placementKey(*client_address::parse(text)); };
        CPPUNIT_ASSERT_EQUAL(key("10.1.2.3"), key("10.1.2.200"));
        CPPUNIT_ASSERT_EQUAL(key("10.1.2.3"), key("::ffff:10.1.2.3"));
        CPPUNIT_ASSERT(key("10.1.2.3") != key("10.1.3.3"));
        CPPUNIT_ASSERT_EQUAL(key("2001:db8:1:2::"), key("2001:db8:1:3::"));
        CPPUNIT_ASSERT(!client_address::parse("10.1.2") && !client_address::parse("")
                       && !client_address::parse(std::string_view("10.1.2.3\0x", 10)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(block_table_test);
