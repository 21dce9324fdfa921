// Runs every registered CppUnit test, or those whose name contains the first argument. Tests that
// KNOWN-RED.txt names in a line "test: SUITE::NAME" are printed and left out, unless they are asked
// for by their whole name.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace {

std::set<std::string> knownRed()
{
    constexpr std::string_view prefix = "test: ";
    std::set<std::string> result;
    std::ifstream list(BG_SOURCE_DIR "/KNOWN-RED.txt");
    for (std::string line; std::getline(list, line);)
        if (line.starts_with(prefix))
            result.insert(line.substr(prefix.size()));
    return result;
}

// Runs the tests at or below `test` whose name contains `filter`.
void runMatching(CppUnit::Test &test, const std::string &filter, const std::set<std::string> &red,
                 CppUnit::TestResult &controller)
{
    if (test.getChildTestCount() == 0) {
        const std::string name = test.getName();
        if (name.find(filter) == std::string::npos)
            return;
        if (red.contains(name) && name != filter)
            std::cout << "known red, not run: " << name << "\n";
        else
            controller.runTest(&test);
        return;
    }
    for (int i = 0; i < test.getChildTestCount(); ++i)
        runMatching(*test.getChildTestAt(i), filter, red, controller);
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
    runMatching(*all, argc > 1 ? argv[1] : "", knownRed(), controller);
    CppUnit::CompilerOutputter(&result, std::cerr).write();
    const int failed = result.testFailuresTotal();
    std::cout << result.runTests() - failed << " passed, " << failed << " failed\n";
    return failed == 0 && result.runTests() > 0 ? 0 : 1;
}
