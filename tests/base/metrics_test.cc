#include "base/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace buckthorngrade;
using namespace std::chrono_literals;

class metrics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metrics_test);
    CPPUNIT_TEST(rendersPrometheusText);
    CPPUNIT_TEST(quantilesAreEstimated);
    CPPUNIT_TEST(labelsAreEscaped);
    CPPUNIT_TEST_SUITE_END();

public:
    // A Prometheus server rejects text that repeats the type line of a metric name.
    void rendersPrometheusText()
    {
        metric_registry metrics;
        metrics.counter("requests_total", "service=\"a\"").add(2);
        metrics.counter("requests_total", "service=\"b\"").add();
        metrics.gauge("revision", "", [] { return 7.0; });
        CPPUNIT_ASSERT_EQUAL(std::string("# TYPE requests_total counter\n"
                                         "requests_total{service=\"a\"} 2\n"
                                         "requests_total{service=\"b\"} 1\n"
                                         "# TYPE revision gauge\n"
                                         "revision 7\n"),
                             metrics.render());
    }

    void quantilesAreEstimated()
    {
        metric_summary summary;
        for (int i = 1; i <= 10'000; ++i)
            summary.add(std::chrono::microseconds(i * 7 % 10'000));
        const auto read = summary.read();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10'000}, read.count);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.005, read.quantiles[0], 0.0005);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0099, read.quantiles[1], 0.0005);
        CPPUNIT_ASSERT(std::ranges::is_sorted(read.quantiles));
    }

    void labelsAreEscaped()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("a\\\\b\\\"c\\nd"), escapeLabel("a\\b\"c\nd"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);
