#include "base/error.h"
#include "base/yaml_reader.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace buckthorngrade;
using namespace std::chrono_literals;

class yaml_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(yaml_reader_test);
    CPPUNIT_TEST(rejectsAliasesBeforeExpansion);
    CPPUNIT_TEST(reportsEveryFaultWithItsLine);
    CPPUNIT_TEST(readsUnits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against documents whose aliases expand without bound.
    void rejectsAliasesBeforeExpansion()
    {
        CPPUNIT_ASSERT_THROW(loadYaml("a: &x [1, 2]\nb: [*x, *x]\n"), settings_error);
        CPPUNIT_ASSERT_THROW(loadYaml("a: 1\n---\nb: 2\n"), settings_error);
        CPPUNIT_ASSERT_THROW(loadYaml("a: [[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]\n"), settings_error);
        CPPUNIT_ASSERT_THROW(loadYaml("a: [1\n"), settings_error);
    }

    // Guards against reporting only the first error, and against merging repeated keys.
    void reportsEveryFaultWithItsLine()
    {
        std::vector<yaml_fault> faults;
        yaml_map map(loadYaml("a: 5\nb: 2s\na: 6\nc: 1\nd: 200\n"), "", faults);
        map.integer("a", 0, 3);
        map.duration("b", 0ms, 1s);
        map.duration("d", 0ms, 1s);
        map.finish();
        CPPUNIT_ASSERT_EQUAL(
            std::string("line 3: a: the key is given twice\n"
                        "line 1: a: must be a whole number from 0 to 3\n"
                        "line 2: b: must be from 0ms to 1000ms\n"
                        "line 5: d: must be a time with its unit: ms, s, min or h, "
                        "for example 200ms\n"
                        "line 4: c: unknown key"),
            formatFaults(faults));
    }

    void readsUnits()
    {
        CPPUNIT_ASSERT(parseDuration("1.5s") == 1500ms);
        CPPUNIT_ASSERT(!parseDuration("-1s") && !parseDuration("1") && !parseDuration("nans"));
        CPPUNIT_ASSERT(parseBitRate("300Mbit/s") == 37'500'000U);
        CPPUNIT_ASSERT(parsePercent("25%") == 0.25 && !parsePercent("0.25"));
        CPPUNIT_ASSERT(isSocketAddress("127.0.0.1:80") && isSocketAddress("[::1]:80"));
        CPPUNIT_ASSERT(!isSocketAddress("127.0.0.1:0") && !isSocketAddress("host:80"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(yaml_reader_test);
