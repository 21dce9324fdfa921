#include "base/utc_time.h"
#include "tests/cli/cli_fixture.h"

#include <set>

using namespace buckthorngrade;

class command_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(command_test);
    CPPUNIT_TEST(everyCommandAndFlagHasHelp);
    CPPUNIT_TEST(wrongUsageHasItsOwnExitCode);
    CPPUNIT_TEST(checkNamesEveryFault);
    CPPUNIT_TEST(eventCatalogueIsCurrent);
    CPPUNIT_TEST(readsAndWritesUtcTimes);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyCommandAndFlagHasHelp()
    {
        const process_result overview = runCli({"help"});
        for (const command &each : allCommands()) {
            assertContains(overview.output, fmt::format("  {}", each.name));
            const process_result help = runCli({std::string(each.name), "--help"});
            CPPUNIT_ASSERT_EQUAL(int(exit_ok), help.code);
            for (const std::string_view flag : each.flags)
                assertContains(help.output, fmt::format("  --{:<14} ", flag));
        }
        assertContains(runCli({"version"}).output, BG_VERSION);
    }

    // Guards against typing errors that are ignored, and against gflags' exit code 1, which this
    // program uses for a rejected change.
    void wrongUsageHasItsOwnExitCode()
    {
        const std::vector<std::vector<std::string>> lines
            = {{},
               {"nothing"},
               {"status"},
               {"status", "--control"},
               {"status", "--control=host:1"},
               {"status", "--control=127.0.0.1:1", "--wait"},
               {"status", "--control=127.0.0.1:1", "--output=xml"},
               {"status", "--control=127.0.0.1:1", "--timeout=5"},
               {"control"},
               {"entry", "extra", "--config=x"},
               {"status", "extra", "--control=127.0.0.1:1"},
               {"profile", "list", "--control=127.0.0.1:1", "--wait=perhaps"},
               {"profile", "drop", "x"},
               {"profile", "set", "x", "/nonexistent", "--control=127.0.0.1:1"},
               {"drain", "cancel", "d1", "--control=127.0.0.1:1", "--operator=a"},
               {"drain", "announce", "region", "r", "--start=tomorrow"},
               {"explain"},
               {"explain", "no-number", "--entry=127.0.0.1:1"},
               {"check"}};
        for (const auto &line : lines) {
            const process_result result = runCli(line);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("{}", fmt::join(line, " ")), int(exit_usage),
                                         result.code);
            CPPUNIT_ASSERT(!result.errors.empty() && result.output.empty());
        }
    }

    void checkNamesEveryFault()
    {
        const temp_folder folder;
        const std::string file = folder.path() / "p.yaml";
        writeWholeFile(file, "name: x y\nweights:\n  latency: 1%\n  headroom: 2%\nshift_cap: 10\n");
        const process_result result = runCli({"check", file});
        CPPUNIT_ASSERT_EQUAL(int(exit_rejected), result.code);
        assertContains(result.errors, file + ": line 1: name: ");
        assertContains(result.errors, file + ": line 5: shift_cap: ");
        assertContains(runCli({"check", file, "--output=json"}).output, R"("ok":false)");
        const process_result missing = runCli({"check", "--config=/nonexistent/x.yaml"});
        CPPUNIT_ASSERT_EQUAL(int(exit_rejected), missing.code);
        assertContains(missing.errors, "/nonexistent/x.yaml: can't be read");
        for (const std::string name : {"latency", "headroom"}) {
            const std::string example = std::string(BG_SOURCE_DIR) + "/examples/" + name + "/";
            for (const std::string process : {"control-1", "control-2", "control-3", "entry-1"}) {
                const process_result good = runCli(
                    {"check", "--config", example + process + ".yaml", example + "profile.yaml"});
                CPPUNIT_ASSERT_EQUAL_MESSAGE(good.errors, int(exit_ok), good.code);
            }
        }
    }

    // Guards against an event catalogue that is out of date. To regenerate it, run
    // 'buckthorngrade events > docs/events.md'.
    void eventCatalogueIsCurrent()
    {
        CPPUNIT_ASSERT_EQUAL(readWholeFile(std::string(BG_SOURCE_DIR) + "/docs/events.md"),
                             runCli({"events"}).output);
    }

    void readsAndWritesUtcTimes()
    {
        const auto time = parseUtcTime("2026-12-04T07:00:01.250Z");
        CPPUNIT_ASSERT(time);
        CPPUNIT_ASSERT_EQUAL(std::string("2026-12-04T07:00:01.250Z"), formatUtcTime(*time));
        CPPUNIT_ASSERT(*time - *parseUtcTime("2026-12-04T07:00:00Z")
                       == std::chrono::milliseconds(1250));
        CPPUNIT_ASSERT_EQUAL(std::string("1970-01-01T00:00:00.000Z"), formatUtcTime({}));
        for (const std::string wrong :
             {"", "Z", "2026-12-04T07:00:00", "2026-12-04 07:00:00Z", "2026-13-04T07:00:00Z",
              "2026-02-30T07:00:00Z", "2026-12-04T25:00:00Z", "2026-12-04T07:00:00.Z",
              "2026-12-04T07:00:00+01:00", "2026-12-04T07:00:00.12x4Z"})
            CPPUNIT_ASSERT_MESSAGE(wrong, !parseUtcTime(wrong));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_test);
