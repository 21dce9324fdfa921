#include "base/utf8.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace buckthorngrade;

class utf8_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(utf8_test);
    CPPUNIT_TEST(detectsMalformedUtf8);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against accepting text that protobuf serializes but the receiver can't parse.
    void detectsMalformedUtf8()
    {
        for (const std::string_view good :
             {"", "plain", "M\xc4\x81ori", "\xe0\xa6\x95", "\xf0\x9f\x9a\xb2"})
            CPPUNIT_ASSERT(isUtf8(good));
        for (const std::string_view bad :
             {"\xff", "\xc4", "\xc0\x80", "\xed\xa0\x80", "a\x80", "\xf5\x80\x80\x80"})
            CPPUNIT_ASSERT(!isUtf8(bad));
        CPPUNIT_ASSERT(isVisibleAscii("key-1") && !isVisibleAscii("a b")
                       && !isVisibleAscii("\xc4\x81"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(utf8_test);
