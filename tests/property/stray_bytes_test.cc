#include "property.h"
#include "testing/wait.h"
#include "tests/carrier/proxy_fixture.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <fmt/format.h>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

// Present in all stray bytes that could be taken for a response.
const std::string marker = "stray";

// When an upstream writes bytes that are no response to the request on the connection.
enum class moment {
    never,
    before_response,
    during_upload,
    with_response, // in the same write, after it
    idle, // some time after it
};

struct stray_step
{
    bool mayRunTwice = false;
    std::size_t bodyBytes = 0;
    moment when = moment::never;
    std::string stray;
};

std::string describe(const stray_step &step)
{
    constexpr const char *moments[]
        = {"never", "before response", "during upload", "with response", "idle"};
    return fmt::format("{} request of {} bytes, stray {}: {:?}", step.mayRunTwice ? "safe" : "once",
                       step.bodyBytes, moments[static_cast<int>(step.when)], step.stray);
}

// A whole response that doesn't echo the id of the request that it follows.
std::string drawStrayResponse()
{
    const int status
        = *rc::gen::element(200, 201, 204, 206, 301, 400, 404, 408, 421, 429, 500, 502, 503, 504);
    std::string fields;
    const std::string id = *rc::gen::element<std::string>("", "other", "r-0", " ");
    if (!id.empty())
        fields += fmt::format("{}: {}\r\n", headerNames.requestId, id);
    const std::vector<std::string> optionalFields
        = {headerNames.seal + ": s\r\n",           headerNames.leaving + ": 1\r\n",
           headerNames.requestLimit + ": 0.1\r\n", headerNames.load + ": 900,900,1\r\n",
           headerNames.upstreamId + ": u0\r\n",    headerNames.upstreamId + ": other\r\n",
           headerNames.notRun + ": 1\r\n",         "Retry-After: 100\r\n"};
    const std::size_t chosen = *rc::gen::inRange<std::size_t>(0, 1U << optionalFields.size());
    for (std::size_t i = 0; i < optionalFields.size(); ++i)
        if ((chosen >> i & 1U) != 0)
            fields += optionalFields[i];
    const std::string body = status == 204 ? "" : marker;
    const int framing = *rc::gen::inRange(0, 3);
    if (framing == 0)
        return scriptedResponse(status, fields + "Marker: " + marker + "\r\n", body);
    const std::string head
        = fmt::format("HTTP/1.1 {} X\r\n{}Marker: {}\r\n", status, fields, marker);
    if (framing == 1)
        return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", head,
                           marker.size(), marker);
    return head + "\r\n" + body; // until the connection is closed
}

std::string drawStray()
{
    if (*rc::gen::inRange(0, 4) != 0)
        return drawStrayResponse();
    return *rc::gen::element<std::string>(
        "\r\n", "\r\n\r\n\r\n", "x", "HTTP/1.1 200 stray\r\nContent-Le", "HTTP/1.1 2",
        "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: stray\r\n\r\n",
        "HTTP/1.1 999 stray\r\n\r\n", "GET /stray HTTP/1.1\r\nHost: h\r\n\r\n", "0\r\n\r\n",
        std::string(100, '\0'), std::string(20'000, 's'));
}

stray_step drawStep()
{
    stray_step result;
    result.mayRunTwice = *rc::gen::arbitrary<bool>();
    result.bodyBytes = *rc::gen::element<std::size_t>(0, 10, 4 * streamingThresholdBytes);
    result.when = *rc::gen::element(moment::never, moment::before_response, moment::during_upload,
                                    moment::with_response, moment::idle);
    if (result.when == moment::during_upload)
        result.bodyBytes = 4 * streamingThresholdBytes;
    if (result.when != moment::never)
        result.stray = drawStray();
    return result;
}

// Upstreams that answer each request correctly, and write the stray bytes of its step at the
// step's moment.
class stray_upstreams
{
public:
    explicit stray_upstreams(std::vector<stray_step> steps)
        : m_steps(std::move(steps))
    { }

    scripted_server::script script()
    {
        return [this](const std::string &request) { return answer(request); };
    }
    scripted_server::script headScript()
    {
        return [this](const std::string &request) {
            const stray_step *step = stepOf(request);
            const bool isDue = step != nullptr && step->when == moment::during_upload;
            return scripted_answer{isDue ? step->stray : std::string()};
        };
    }
    // Requests that ran, by id.
    std::map<std::string, int> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    const stray_step *stepOf(const std::string &request) const
    {
        const std::string id = scriptedField(request, headerNames.requestId);
        for (std::size_t i = 0; i < m_steps.size(); ++i)
            if (id == fmt::format("r-{}", i + 1))
                return &m_steps[i];
        return nullptr;
    }
    scripted_answer answer(const std::string &request)
    {
        const std::string id = scriptedField(request, headerNames.requestId);
        {
            const std::lock_guard lock(m_mutex);
            ++m_runs[id];
        }
        const std::string sound = scriptedResponse(200, signedEcho(request), "done " + id);
        const stray_step *step = stepOf(request);
        if (step == nullptr || step->when == moment::never || step->when == moment::during_upload)
            return {sound};
        if (step->when == moment::idle) {
            scripted_answer result{sound};
            result.laterBytes = step->stray;
            result.laterDelay = idleDelay;
            return result;
        }
        return {step->when == moment::before_response ? step->stray + sound : sound + step->stray};
    }

public:
    static constexpr std::chrono::milliseconds idleDelay{5};

private:
    const std::vector<stray_step> m_steps;
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_runs;
};

bool hasMarker(const http_response &response)
{
    return response.body.find(marker) != std::string::npos
        || std::ranges::any_of(response.headers, [](const auto &field) {
               return field.second.find(marker) != std::string::npos;
           });
}

// Waits until the upstreams have written their stray bytes and the proxy has read them. Both are on
// one loop, which reads what is there at least once in each few tasks that it runs one by one.
void waitForStrayBytes(proxy_fixture &system)
{
    waitUntil("the stray bytes are written", [&] {
        return std::ranges::all_of(system.upstreams,
                                   [](const auto &each) { return each->pendingLater() == 0; });
    });
    constexpr int tasks = 5;
    for (int i = 0; i < tasks; ++i)
        system.thread().call([] {});
}

void checkSteps(const std::vector<stray_step> &steps, std::size_t upstreams)
{
    stray_upstreams scripted(steps);
    proxy_fixture system(std::vector<scripted_server::script>(upstreams, scripted.script()));
    for (const auto &upstream : system.upstreams)
        system.thread().call([&] { upstream->answerHeadsWith(scripted.headScript()); });
    const auto send = [&](const std::string &id, bool mayRunTwice, std::size_t bodyBytes) {
        const http_response response
            = system.send(mayRunTwice ? "/safe/x" : "/once/x", id, std::string(bodyBytes, 'b'));
        RC_LOG() << fmt::format("{}: {} {}\n", id, response.status, response.body);
        RC_ASSERT(!hasMarker(response));
        RC_ASSERT(response.status == 200 || response.status == 502);
        if (response.status == 200)
            RC_ASSERT(response.body == "done " + id);
        return response.status;
    };
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const std::string id = fmt::format("r-{}", i + 1);
        const stray_step &step = steps[i];
        const int status = send(id, step.mayRunTwice, step.bodyBytes);
        const bool isDisturbed
            = step.when == moment::before_response || step.when == moment::during_upload;
        RC_ASSERT(isDisturbed || status == 200);
        if (!step.mayRunTwice)
            RC_ASSERT(scripted.runs()[id] <= 1);
        if (step.when == moment::idle)
            waitForStrayBytes(system);
    }
    // Nothing was concluded from the stray bytes: each upstream that may have written some is used
    // if there is no other.
    const std::string kept = fmt::format("u{}", *rc::gen::inRange<std::size_t>(0, upstreams));
    system.apply([&](upstream_listing &listing) {
        std::erase_if(listing.upstreams, [&](const auto &each) { return each.id != kept; });
    });
    for (const bool mayRunTwice : {true, false})
        RC_ASSERT(send(fmt::format("after-{}", mayRunTwice), mayRunTwice, 10) == 200);
}

} // namespace

// Upstreams that write stray bytes to a connection: responses with another id or none, interim
// responses, blank lines, parts of heads and noise.
class stray_bytes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stray_bytes_test);
    CPPUNIT_TEST(strayBytesReachNoCallerAndDecideNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a caller that gets bytes of another request or of none as its response, and
    // against upstreams that get no requests because of what stray bytes say.
    void strayBytesReachNoCallerAndDecideNothing()
    {
        checkProperty("stray bytes", 150, [] {
            const auto upstreams = *rc::gen::inRange<std::size_t>(1, 3);
            const auto count = *rc::gen::inRange<std::size_t>(1, 7);
            std::vector<stray_step> steps(count);
            std::ranges::generate(steps, drawStep);
            RC_LOG() << fmt::format("{} upstreams\n", upstreams);
            for (const stray_step &step : steps)
                RC_LOG() << describe(step) << "\n";
            checkSteps(steps, upstreams);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stray_bytes_test);
