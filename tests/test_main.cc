// Runs every registered CppUnit test, or those whose name contains the first argument.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <csignal>
#include <functional>
#include <iostream>
#include <string>

namespace {

// Adds the tests below `test` whose name contains `filter`.
void addMatching(CppUnit::Test *test, const std::string &filter, CppUnit::TestRunner &runner)
{
    if (test->getChildTestCount() == 0) {
        if (test->getName().find(filter) != std::string::npos)
            runner.addTest(test);
        return;
    }
    for (int i = 0; i < test->getChildTestCount(); ++i)
        addMatching(test->getChildTestAt(i), filter, runner);
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
    auto *runner = new CppUnit::TestRunner; // not deleted: filtered tests belong to the suite too
    CppUnit::Test *all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    addMatching(all, argc > 1 ? argv[1] : "", *runner);
    runner->run(controller);
    CppUnit::CompilerOutputter(&result, std::cerr).write();
    const int failed = result.testFailuresTotal();
    std::cout << result.runTests() - failed << " passed, " << failed << " failed\n";
    return failed == 0 && result.runTests() > 0 ? 0 : 1;
}
