#include "net/body_decoder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <random>
#include <string>

using namespace buckthorngrade;

namespace {

http_head headWith(body_framing framing, std::uint64_t length = 0)
{
    http_head head;
    head.framing = framing;
    head.contentLength = length;
    return head;
}

} // namespace

class body_decoder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(body_decoder_test);
    CPPUNIT_TEST(decodesBodySplitAtAnyByte);
    CPPUNIT_TEST(rejectsMalformedChunks);
    CPPUNIT_TEST(leavesBytesAfterBody);
    CPPUNIT_TEST_SUITE_END();

public:
    // Checks that the decoded body doesn't depend on how the network splits the encoded bytes.
    void decodesBodySplitAtAnyByte()
    {
        for (std::uint64_t seed = 1; seed <= 500; ++seed) {
            std::mt19937_64 random(seed);
            std::string body;
            std::string encoded;
            for (std::size_t chunk = random() % 5; chunk > 0; --chunk) {
                const std::string part(1 + random() % 40, static_cast<char>('a' + random() % 26));
                body += part;
                encoded += fmt::format("{:x}{}\r\n{}\r\n", part.size(),
                                       random() % 3 == 0 ? ";x=y" : "", part);
            }
            encoded += "0\r\n";
            if (random() % 2 == 0)
                encoded += "Trailer: t\r\n";
            encoded += "\r\nNEXT";
            body_decoder decoder(headWith(body_framing::chunked));
            std::string got;
            std::string waiting;
            for (std::size_t i = 0; i < encoded.size() && !decoder.isComplete();) {
                const std::size_t part = 1 + random() % 7;
                waiting += encoded.substr(i, part);
                i += part;
                waiting.erase(0, decoder.decode(waiting, got));
                if (decoder.isComplete())
                    waiting += i < encoded.size() ? encoded.substr(i) : "";
            }
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed), decoder.isComplete());
            CPPUNIT_ASSERT_EQUAL(body, got);
            CPPUNIT_ASSERT_EQUAL(std::string("NEXT"), waiting);
        }
    }

    void rejectsMalformedChunks()
    {
        for (const char *text :
             {"x\r\n", "-1\r\n", "\r\n", "2\r\nabc\r\n", "ffffffffffffffff0\r\n"}) {
            body_decoder decoder(headWith(body_framing::chunked));
            std::string body;
            const auto decode = [&] {
                std::string waiting = text;
                for (int i = 0; i < 4; ++i)
                    waiting.erase(0, decoder.decode(waiting, body));
            };
            CPPUNIT_ASSERT_THROW_MESSAGE(text, decode(), http_error);
        }
    }

    void leavesBytesAfterBody()
    {
        body_decoder decoder(headWith(body_framing::length, 3));
        std::string body;
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decoder.decode("abcdef", body));
        CPPUNIT_ASSERT(decoder.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), body);
        CPPUNIT_ASSERT(body_decoder(headWith(body_framing::none)).isComplete());
        CPPUNIT_ASSERT(!body_decoder(headWith(body_framing::until_close)).isComplete());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(body_decoder_test);
