// Runs every registered CppUnit test, or those whose name contains the first argument.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <string>

namespace {

// Runs the tests at or below `test` whose name contains `filter`.
void runMatching(CppUnit::Test &test, const std::string &filter, CppUnit::TestResult &controller)
{
    if (test.getChildTestCount() == 0) {
        if (test.getName().find(filter) != std::string::npos)
            controller.runTest(&test);
        return;
    }
    for (int i = 0; i < test.getChildTestCount(); ++i)
        runMatching(*test.getChildTestAt(i), filter, controller);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector result;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&result);
    controller.addListener(&progress);
    const std::unique_ptr<CppUnit::Test> all(
        CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runMatching(*all, argc > 1 ? argv[1] : "", controller);
    CppUnit::CompilerOutputter(&result, std::cerr).write();
    const int failed = result.testFailuresTotal();
    std::cout << result.runTests() - failed << " passed, " << failed << " failed\n";
    return failed == 0 && result.runTests() > 0 ? 0 : 1;
}
