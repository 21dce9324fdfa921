#include "base/error.h"
#include "base/trace.h"
#include "base/yaml_reader.h"
#include "control/control_state.h"
#include "model/profile.h"
#include "model/settings.h"
#include "mutator.h"
#include "testing/temp_folder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <google/protobuf/stubs/logging.h>

#include <fstream>

using namespace buckthorngrade;

namespace {

const char *const deploymentText = R"(cluster: demo
control_members:
  - {id: 1, grpc: 127.0.0.1:7201, http: 127.0.0.1:7101}
regions:
  - {name: north, failure_domains: [n-a, n-b]}
  - {name: south, failure_domains: [s-a, s-b]}
links:
  - {between: [north, south], rate: 300Mbit/s, delay: 55ms}
client_blocks:
  - {block: 192.0.2.0/24, region: north, site: one}
services:
  - name: stock
    profile: headroom-first
    request_deadline: 2s
    upstreams:
      - {name: u1, address: 127.0.0.1:7301, failure_domain: n-a, slots: 4, connections: 400}
)";

const char *const processText = R"(deployment: deployment.yaml
instance: entry-1
failure_domain: n-a
log: {level: info}
trace: {sample: 10%}
entry: {http: 127.0.0.1:7401, drain_limit: 10s}
)";

const char *const profileText = R"(name: headroom-first
weights: {latency: 30%, headroom: 70%}
lookup_lifetime: 2s
shift_cap: 5%
shift_interval: 10s
retry_budget: 12.5%
max_retries: 1
queue_timeout: 200ms
)";

void writeFile(const std::filesystem::path &file, std::string_view text)
{
    std::ofstream out(file, std::ios::binary | std::ios::trunc);
    out.write(text.data(), static_cast<std::streamsize>(text.size()));
}

wire::command putCommand(std::uint64_t number)
{
    wire::command command;
    command.set_wall_ms(static_cast<std::int64_t>(1'000'000 + number));
    wire::edit *edit = command.mutable_operator_edit();
    edit->set_request_id(fmt::format("{}-fuzz", 1'000'000 + number));
    edit->set_operator_name("operator");
    edit->mutable_put()->set_name("headroom-first");
    edit->mutable_put()->set_base_version(number % 3);
    edit->mutable_put()->set_yaml(profileText);
    return command;
}

// Valid commands of every kind, serialized.
std::vector<std::string> commandCorpus()
{
    std::vector<std::string> corpus;
    for (std::uint64_t i = 0; i < 4; ++i)
        corpus.push_back(putCommand(i).SerializeAsString());
    wire::command drain = putCommand(10);
    drain.mutable_operator_edit()->mutable_drain()->set_kind(wire::TARGET_UPSTREAM);
    drain.mutable_operator_edit()->mutable_drain()->set_target("u1");
    corpus.push_back(drain.SerializeAsString());
    wire::command cancel = putCommand(11);
    cancel.mutable_operator_edit()->mutable_cancel()->set_id("d1");
    corpus.push_back(cancel.SerializeAsString());
    wire::command begin;
    begin.set_wall_ms(1'000'020);
    begin.mutable_begin()->set_service("stock");
    begin.mutable_begin()->set_key("1000000-key");
    begin.mutable_begin()->set_digest("digest");
    begin.mutable_begin()->set_instance("entry-1");
    begin.mutable_begin()->set_deadline_ms(2'000);
    corpus.push_back(begin.SerializeAsString());
    wire::command finish;
    finish.set_wall_ms(1'000'030);
    finish.mutable_finish()->set_service("stock");
    finish.mutable_finish()->set_key("1000000-key");
    finish.mutable_finish()->set_instance("entry-1");
    finish.mutable_finish()->set_outcome(wire::finish_request::RAN);
    finish.mutable_finish()->mutable_response()->set_body("done");
    corpus.push_back(finish.SerializeAsString());
    return corpus;
}

} // namespace

class parser_fuzz_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parser_fuzz_test);
    CPPUNIT_TEST(settingsAreReadOrRejected);
    CPPUNIT_TEST(profilesSurviveFormatting);
    CPPUNIT_TEST(traceparentIsReadOrIgnored);
    CPPUNIT_TEST(commandsNeverBreakTheState);
    CPPUNIT_TEST(snapshotsAreRestoredOrRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Protobuf logs a line for each malformed text.
    void setUp() override { m_previous = google::protobuf::SetLogHandler(nullptr); }
    void tearDown() override { google::protobuf::SetLogHandler(m_previous); }

    // Guards against settings that crash the process or escape as a library's exception.
    void settingsAreReadOrRejected()
    {
        const temp_folder folder;
        const auto deployment = folder.path() / "deployment.yaml";
        const auto process = folder.path() / "process.yaml";
        mutator deployments(11, {deploymentText, processText});
        mutator processes(12, {processText, deploymentText});
        // A tenth of the budget: each case writes two files.
        for (std::size_t i = 0; i < fuzzIterations() / 10; ++i) {
            writeFile(deployment, i % 2 == 0 ? deployments.next() : deploymentText);
            writeFile(process, i % 2 == 1 ? processes.next() : processText);
            try {
                loadSettings(process);
            } catch (const settings_error &) {
                continue;
            }
        }
    }

    // Guards against values that change when an accepted profile is written and read again.
    void profilesSurviveFormatting()
    {
        mutator profiles(21, {profileText});
        std::size_t accepted = 0;
        for (std::size_t i = 0; i < fuzzIterations(); ++i) {
            const std::string text = profiles.next();
            try {
                const std::string once = formatProfile(parseProfile(text));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(text, once, formatProfile(parseProfile(once)));
                ++accepted;
            } catch (const settings_error &) {
                continue;
            }
        }
        CPPUNIT_ASSERT(accepted > 0); // otherwise nothing was compared
    }

    void traceparentIsReadOrIgnored()
    {
        mutator headers(31, {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"});
        for (std::size_t i = 0; i < fuzzIterations(); ++i) {
            const std::string header = headers.next();
            if (const auto ids = parseTraceparent(header)) {
                const auto again = parseTraceparent(formatTraceparent(*ids));
                CPPUNIT_ASSERT_MESSAGE(
                    header, again && again->span == ids->span && again->trace == ids->trace);
            }
        }
    }

    // Guards against commands that make replicas differ, and against state that a snapshot loses.
    void commandsNeverBreakTheState()
    {
        mutator commands(41, commandCorpus());
        control_state first;
        control_state second;
        for (std::size_t i = 1; i <= fuzzIterations(); ++i) {
            const std::string command = commands.next();
            const std::uint64_t before = first.revision();
            CPPUNIT_ASSERT_EQUAL(first.apply(i, command), second.apply(i, command));
            CPPUNIT_ASSERT(first.revision() >= before);
            if (i % 1000 == 0) {
                const std::string snapshot = first.snapshot();
                second.restore(i, snapshot);
                CPPUNIT_ASSERT(snapshot == second.snapshot());
            }
        }
    }

    void snapshotsAreRestoredOrRejected()
    {
        control_state filled;
        const auto corpus = commandCorpus();
        for (std::size_t i = 0; i < corpus.size(); ++i)
            filled.apply(i + 1, corpus[i]);
        mutator snapshots(51, {filled.snapshot()});
        for (std::size_t i = 0; i < fuzzIterations(); ++i) {
            control_state target;
            try {
                target.restore(100, snapshots.next());
                target.apply(101, corpus[i % corpus.size()]);
            } catch (const agreement_error &) {
                continue;
            }
        }
    }

private:
    google::protobuf::LogHandler *m_previous = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(parser_fuzz_test);
