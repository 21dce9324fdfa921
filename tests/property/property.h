#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <sstream>
#include <string>

namespace buckthorngrade {

// Checks that `property` holds in `cases` cases that RapidCheck generates from a fixed seed. The
// environment variable RC_PARAMS, such as "seed=7 max_success=50", replaces them.
template <typename Property>
void checkProperty(const std::string &name, int cases, Property property)
{
    ::setenv("RC_PARAMS", "seed=1", 0);
    rc::detail::Configuration config;
    config.testParams.maxSuccess = cases;
    config = rc::detail::configFromString(std::getenv("RC_PARAMS"), config);
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{name, name},
                                                  config.testParams);
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    CPPUNIT_ASSERT_MESSAGE(report.str(), result.template is<rc::detail::SuccessResult>());
}

} // namespace buckthorngrade
