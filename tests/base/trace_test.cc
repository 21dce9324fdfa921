#include "base/trace.h"
#include "testing/process.h"
#include "testing/temp_folder.h"

#include <Poco/JSON/Parser.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace buckthorngrade;

namespace {

const std::string sampledParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
const std::string unsampledParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00";

std::vector<Poco::JSON::Object::Ptr> readSpans(const std::filesystem::path &file)
{
    std::vector<Poco::JSON::Object::Ptr> spans;
    std::istringstream lines(readWholeFile(file));
    for (std::string line; std::getline(lines, line);)
        spans.push_back(Poco::JSON::Parser().parse(line).extract<Poco::JSON::Object::Ptr>());
    return spans;
}

} // namespace

class trace_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(trace_test);
    CPPUNIT_TEST(spansFormOneTrace);
    CPPUNIT_TEST(honoursSamplingDecisionOfCaller);
    CPPUNIT_TEST(countsDroppedSpansIfFileIsUnwritable);
    CPPUNIT_TEST(fileSizeIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against spans that can't be linked to the caller's trace.
    void spansFormOneTrace()
    {
        const temp_folder folder;
        const auto file = folder.path() / "trace";
        std::string carried;
        {
            const json_tracer tracer("entry-1", {file, 0.0});
            const auto request = tracer.startFromHeader("entry.request", sampledParent);
            const auto attempt = tracer.startChild("entry.try", *request);
            attempt->SetTag("upstream", "a \"quoted\" name");
            carried = traceparentOf(*attempt);
        }
        const auto spans = readSpans(file);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, spans.size());
        const auto &attempt = spans[0];
        const auto &request = spans[1];
        CPPUNIT_ASSERT_EQUAL(std::string("00f067aa0ba902b7"),
                             request->getValue<std::string>("parent"));
        CPPUNIT_ASSERT_EQUAL(request->getValue<std::string>("span"),
                             attempt->getValue<std::string>("parent"));
        CPPUNIT_ASSERT_EQUAL(std::string("4bf92f3577b34da6a3ce929d0e0e4736"),
                             attempt->getValue<std::string>("trace"));
        CPPUNIT_ASSERT_EQUAL(std::string("a \"quoted\" name"),
                             attempt->getObject("tags")->getValue<std::string>("upstream"));
        CPPUNIT_ASSERT(carried.find(attempt->getValue<std::string>("span")) != std::string::npos);
    }

    void honoursSamplingDecisionOfCaller()
    {
        const temp_folder folder;
        const auto file = folder.path() / "trace";
        {
            const json_tracer tracer("entry-1", {file, 1.0});
            tracer.startFromHeader("unsampled", unsampledParent);
            tracer.startFromHeader("own", "malformed");
        }
        const auto spans = readSpans(file);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, spans.size());
        CPPUNIT_ASSERT_EQUAL(std::string("own"), spans[0]->getValue<std::string>("name"));
    }

    // Guards against a failing exporter that makes the traced operation fail too.
    void countsDroppedSpansIfFileIsUnwritable()
    {
        const temp_folder folder;
        json_tracer tracer("entry-1", {folder.path() / "missing" / "trace", 1.0, 4});
        constexpr int spans = 1'000;
        for (int i = 0; i < spans; ++i)
            tracer.startFromHeader("entry.request", "");
        const auto allDropped = [&] { return tracer.droppedSpans() == spans; };
        for (int i = 0; i < 10'000 && !allDropped(); ++i)
            std::this_thread::yield();
        CPPUNIT_ASSERT(tracer.droppedSpans() > 0);
        CPPUNIT_ASSERT(tracer.droppedSpans() <= spans);
    }

    void fileSizeIsBounded()
    {
        constexpr std::uint64_t limit = 2'000;
        const temp_folder folder;
        const auto file = folder.path() / "trace";
        {
            const json_tracer tracer("entry-1", {file, 1.0, 4'096, limit});
            for (int i = 0; i < 100; ++i)
                tracer.startFromHeader("entry.request", "");
        }
        CPPUNIT_ASSERT(std::filesystem::file_size(file) > 0);
        CPPUNIT_ASSERT(std::filesystem::file_size(file) <= limit);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_test);
