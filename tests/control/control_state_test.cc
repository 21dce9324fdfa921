#include "tests/control/control_fixture.h"
#include "tests/control/reference_state.h"

#include "control/control_state.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>

using namespace buckthorngrade;

namespace {

constexpr std::int64_t startMs = 1'000'000'000'000;

// Limits small enough to be reached within one random run.
control_state_limits smallLimits()
{
    control_state_limits limits;
    limits.editRetention = std::chrono::seconds(60);
    limits.maxEdits = 40;
    limits.maxClockSkew = std::chrono::seconds(5);
    limits.requestRetention = std::chrono::seconds(30);
    limits.maxRequests = 25;
    return limits;
}

// Applies random commands to control_state and to the reference and compares the results. A command
// may be repeated at any later time, and the state may be replaced by its restored snapshot between
// any two commands.
class random_run
{
public:
    explicit random_run(std::uint64_t seed)
        : m_seed(seed)
        , m_random(seed)
        , m_state(std::make_unique<control_state>(smallLimits()))
        , m_reference(smallLimits())
    { }

    void run(int steps)
    {
        for (m_step = 1; m_step <= steps; ++m_step) {
            step();
            compare();
        }
    }

private:
    std::uint64_t randomBelow(std::uint64_t count)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(m_random);
    }

    std::string failureContext() const { return fmt::format("seed {}, step {}", m_seed, m_step); }

    void step()
    {
        m_wallMs += static_cast<std::int64_t>(randomBelow(10) == 0 ? randomBelow(20'000)
                                                                   : randomBelow(300));
        if (randomBelow(20) == 0)
            restoreFromSnapshot();
        wire::command command;
        if (!m_sent.empty() && randomBelow(3) == 0) {
            command = m_sent[randomBelow(m_sent.size())];
            if (randomBelow(6) == 0 && command.has_operator_edit())
                command.mutable_operator_edit()->set_reason("changed");
        } else {
            command = makeCommand();
            m_sent.push_back(command);
        }
        // The clock of a new leader may be behind that of the previous one.
        command.set_wall_ms(
            m_wallMs - static_cast<std::int64_t>(randomBelow(8) == 0 ? randomBelow(3'000) : 0));
        m_stateMs = std::max(m_stateMs, command.wall_ms());
        ++m_index;
        applyBoth(command);
    }

    wire::command makeCommand()
    {
        const std::string service = "s";
        const std::string instance = "e" + std::to_string(randomBelow(3));
        wire::command command;
        const std::string id = fmt::format(
            "{}-{}", m_wallMs + 4'000 - static_cast<std::int64_t>(randomBelow(14'000)),
            randomBelow(1'000'000));
        switch (randomBelow(7)) {
        case 0:
        case 1: {
            const std::string name = "p" + std::to_string(randomBelow(3));
            const auto found = m_reference.profiles().find(name);
            const std::uint64_t current
                = found == m_reference.profiles().end() ? 0 : found->second.first;
            return putCommand(0, id, name, randomBelow(4) == 0 ? randomBelow(5) : current,
                              profileText(name, fmt::format("max_retries: {}\n", randomBelow(5))));
        }
        case 2:
            command.mutable_operator_edit()->set_request_id(id);
            if (randomBelow(2) == 0) {
                command.mutable_operator_edit()->mutable_drain()->set_kind(wire::TARGET_UPSTREAM);
                command.mutable_operator_edit()->mutable_drain()->set_target("u");
            } else {
                command.mutable_operator_edit()->mutable_cancel()->set_id(
                    m_reference.drains().empty() ? "none" : *m_reference.drains().begin());
            }
            return command;
        case 3:
            if (randomBelow(3) == 0)
                return removeCommand(0, id, instance, randomBelow(2) == 0 ? 0 : randomBelow(6));
            return registerCommand(0, instance, 1 + randomBelow(8), "r1");
        case 4:
        case 5: {
            wire::begin_request &begin = *command.mutable_begin();
            begin.set_service(service);
            begin.set_key(randomBelow(2) == 0 ? "k" + std::to_string(randomBelow(12))
                                              : fmt::format("{}-k{}", m_wallMs, randomBelow(12)));
            begin.set_digest("d" + std::to_string(randomBelow(8) == 0));
            begin.set_instance(instance);
            begin.set_incarnation(1 + randomBelow(8));
            begin.set_deadline_ms(static_cast<std::int64_t>(randomBelow(10'000)));
            begin.set_attempt(randomBelow(5) == 0 ? 0 : ++m_attempt);
            m_begun.push_back(begin);
            return command;
        }
        default:
            break;
        }
        wire::finish_request &finish = *command.mutable_finish();
        if (m_begun.empty())
            return command;
        const wire::begin_request &begin
            = m_begun[m_begun.size() - 1 - randomBelow(std::min<std::size_t>(m_begun.size(), 6))];
        finish.set_service(service);
        finish.set_key(begin.key());
        finish.set_instance(begin.instance());
        finish.set_incarnation(begin.incarnation());
        finish.set_attempt(begin.attempt());
        finish.set_outcome(static_cast<wire::finish_request::outcome_kind>(1 + randomBelow(3)));
        finish.mutable_response()->set_status(200);
        return command;
    }

    void restoreFromSnapshot()
    {
        const std::string bytes = m_state->snapshot();
        m_state = std::make_unique<control_state>(smallLimits());
        m_state->restore(m_index, bytes);
        CPPUNIT_ASSERT_MESSAGE(failureContext(), m_state->snapshot() == bytes);
    }

    void applyBoth(const wire::command &command)
    {
        const wire::apply_result result = applyCommand(*m_state, m_index, command);
        if (command.has_operator_edit()) {
            const wire::edit_status expected
                = m_reference.edit(m_index, command.wall_ms(), command.operator_edit());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(failureContext(), wire::edit_status_Name(expected),
                                         wire::edit_status_Name(result.edit().status()));
            if (expected == wire::EDIT_ACCEPTED && !result.edit().repeated())
                CPPUNIT_ASSERT_MESSAGE(
                    failureContext() + ": accepted twice",
                    m_accepted.insert(command.operator_edit().request_id()).second);
        } else if (command.has_begin()) {
            const wire::begin_status expected
                = m_reference.begin(command.wall_ms(), command.begin());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(failureContext(), wire::begin_status_Name(expected),
                                         wire::begin_status_Name(result.begin().status()));
            checkSingleExecution(command.begin(), result.begin().status());
        } else if (command.has_finish()) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(failureContext(),
                                         m_reference.finish(command.wall_ms(), command.finish()),
                                         result.finished());
            if (command.finish().outcome() == wire::finish_request::WITHDRAWN && result.finished()
                && m_running[command.finish().key()].second == command.finish().attempt())
                m_running.erase(command.finish().key());
        } else if (command.has_registration()) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                failureContext(),
                m_reference.registerInstance(m_index, command.wall_ms(), command.registration()),
                result.registered());
        }
    }

    // Two attempts with the same key may both proceed only if the first was withdrawn or its record
    // expired.
    void checkSingleExecution(const wire::begin_request &begin, wire::begin_status status)
    {
        if (status != wire::BEGIN_PROCEED)
            return;
        const auto found = m_running.find(begin.key());
        const bool isExpired = found != m_running.end()
            && found->second.first < m_stateMs - smallLimits().requestRetention.count();
        CPPUNIT_ASSERT_MESSAGE(
            failureContext() + ": a key runs twice",
            found == m_running.end() || isExpired
                || (begin.attempt() != 0 && found->second.second == begin.attempt()));
        if (found == m_running.end() || isExpired)
            m_running[begin.key()] = {m_stateMs, begin.attempt()};
    }

    void compare()
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(failureContext(), m_reference.revision(), m_state->revision());
        const wire::config_full config = m_state->config();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(failureContext(), m_reference.profiles().size(),
                                     static_cast<std::size_t>(config.profiles_size()));
        for (const auto &version : config.profiles()) {
            const auto &[number, text] = m_reference.profiles().at(version.name());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(failureContext(), number, version.version());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(failureContext(), text, version.yaml());
        }
        std::set<std::string> drains;
        for (const auto &drain : config.drains())
            drains.insert(drain.id());
        CPPUNIT_ASSERT_MESSAGE(failureContext(), drains == m_reference.drains());
        std::set<std::string> removed;
        for (const auto &item : config.removed())
            removed.insert(item.instance());
        CPPUNIT_ASSERT_MESSAGE(failureContext(), removed == m_reference.removed());
    }

    std::uint64_t m_seed;
    std::mt19937_64 m_random;
    std::unique_ptr<control_state> m_state;
    reference_state m_reference;
    int m_step = 0;
    log_index m_index = 0;
    std::int64_t m_wallMs = startMs;
    std::int64_t m_stateMs = 0; // the state's time: the latest time of any command
    std::uint64_t m_attempt = 0;
    std::vector<wire::command> m_sent;
    std::vector<wire::begin_request> m_begun;
    std::set<std::string> m_accepted;
    std::map<std::string, std::pair<std::int64_t, std::uint64_t>> m_running;
};

} // namespace

class control_state_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_state_test);
    CPPUNIT_TEST(matchesReference);
    CPPUNIT_TEST(futureRequestIdDoesNotLockOut);
    CPPUNIT_TEST(lateWithdrawalKeepsLaterAttempt);
    CPPUNIT_TEST(boundsBytes);
    CPPUNIT_TEST(positionsAreHeldAfterRemoval);
    CPPUNIT_TEST(restoreRejectsGarbage);
    CPPUNIT_TEST(snapshotTellsVersionZeroFromNoDocument);
    CPPUNIT_TEST_SUITE_END();

public:
    void matchesReference()
    {
        constexpr int steps = 1'500;
        for (std::uint64_t seed = 1; seed <= 60; ++seed)
            random_run(seed).run(steps);
    }

    // Guards against a request id from a clock that is ahead: evicting it would move the start of
    // the window into the future, and all later edits would expire.
    void futureRequestIdDoesNotLockOut()
    {
        control_state_limits limits;
        limits.maxEdits = 3;
        control_state state(limits);
        const auto put = [&](log_index index, std::int64_t idTime) {
            return applyCommand(state, index,
                                putCommand(startMs, fmt::format("{}-{}", idTime, index), "p", 99,
                                           profileText("p")))
                .edit()
                .status();
        };
        CPPUNIT_ASSERT_EQUAL(wire::EDIT_INVALID, put(1, startMs + 86'400'000));
        for (log_index index = 2; index < 9; ++index)
            CPPUNIT_ASSERT_EQUAL(wire::EDIT_CONFLICT,
                                 put(index, startMs + static_cast<std::int64_t>(index)));
    }

    // Guards against a withdrawal that is delivered again late and releases the key of a later
    // attempt in progress.
    void lateWithdrawalKeepsLaterAttempt()
    {
        control_state state;
        wire::command begin;
        begin.set_wall_ms(startMs);
        begin.mutable_begin()->set_service("s");
        begin.mutable_begin()->set_key("k");
        begin.mutable_begin()->set_instance("e1");
        begin.mutable_begin()->set_incarnation(1);
        begin.mutable_begin()->set_deadline_ms(5'000);
        begin.mutable_begin()->set_attempt(1);
        wire::command finish;
        finish.set_wall_ms(startMs);
        finish.mutable_finish()->set_service("s");
        finish.mutable_finish()->set_key("k");
        finish.mutable_finish()->set_instance("e1");
        finish.mutable_finish()->set_incarnation(1);
        finish.mutable_finish()->set_attempt(1);
        finish.mutable_finish()->set_outcome(wire::finish_request::WITHDRAWN);
        const auto started
            = [&](log_index index) { return applyCommand(state, index, begin).begin().status(); };
        CPPUNIT_ASSERT_EQUAL(wire::BEGIN_PROCEED, started(1));
        CPPUNIT_ASSERT_EQUAL(wire::BEGIN_PROCEED, started(2)); // resent because the reply was lost
        CPPUNIT_ASSERT(applyCommand(state, 3, finish).finished());
        CPPUNIT_ASSERT_EQUAL(wire::BEGIN_SUPERSEDED, started(4)); // a late copy
        begin.mutable_begin()->set_attempt(2);
        CPPUNIT_ASSERT_EQUAL(wire::BEGIN_PROCEED, started(5));
        applyCommand(state, 6, finish); // a late copy
        begin.mutable_begin()->set_attempt(3);
        CPPUNIT_ASSERT_EQUAL(wire::BEGIN_IN_PROGRESS, started(7));
        applyCommand(state, 8, registerCommand(startMs, "e1", 2, "r1"));
        begin.mutable_begin()->set_incarnation(2);
        CPPUNIT_ASSERT_EQUAL(wire::BEGIN_UNKNOWN, started(9)); // that process was replaced
    }

    // Guards against limits that count only items, so that large items make memory and snapshots
    // grow without bound.
    void boundsBytes()
    {
        control_state_limits limits;
        limits.maxHistoryBytes = 20'000;
        limits.maxConfigBytes = 8'000;
        limits.maxRequestBytes = 50'000;
        control_state state(limits);
        const std::string padding = "# " + std::string(3'000, 'x') + "\n";
        log_index index = 0;
        for (std::uint64_t base = 0; base < 30; ++base) {
            const auto outcome
                = applyCommand(state, ++index,
                               putCommand(startMs, fmt::format("{}-{}", startMs, index), "p", base,
                                          profileText("p", padding)))
                      .edit();
            CPPUNIT_ASSERT_EQUAL(wire::EDIT_ACCEPTED, outcome.status());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), state.history("p").size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(30), state.findProfile("p", 0)->version());
        for (const auto &[name, status] :
             {std::pair{"q", wire::EDIT_ACCEPTED}, std::pair{"r", wire::EDIT_INVALID}}) {
            const auto outcome
                = applyCommand(state, ++index,
                               putCommand(startMs, fmt::format("{}-{}", startMs, index), name, 0,
                                          profileText(name, padding)))
                      .edit();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.message(), status, outcome.status());
        }
        std::size_t accepted = 0;
        for (int key = 0; key < 20; ++key) {
            wire::command begin;
            begin.set_wall_ms(startMs);
            begin.mutable_begin()->set_service("s");
            begin.mutable_begin()->set_instance("e1");
            begin.mutable_begin()->set_key("k" + std::to_string(key));
            if (applyCommand(state, ++index, begin).begin().status() == wire::BEGIN_PROCEED)
                ++accepted;
        }
        CPPUNIT_ASSERT(accepted > 0 && accepted < 20);
        CPPUNIT_ASSERT(state.requestCounts().bytes <= limits.maxRequestBytes);
        CPPUNIT_ASSERT_EQUAL(accepted, state.requestCounts().records);
    }

    // Guards against two instances that use the same reserved slots: the position of a removed
    // instance must not be reassigned before positionReuseDelay has passed.
    void positionsAreHeldAfterRemoval()
    {
        control_state state;
        std::int64_t wall = startMs;
        const auto positionOf = [&](const std::string &name) {
            for (const auto &record : state.instances())
                if (record.registered().instance() == name)
                    return record.has_position() ? static_cast<int>(record.position()) : -1;
            return -2;
        };
        applyCommand(state, 1, registerCommand(wall, "a", 1, "r1", 2));
        applyCommand(state, 2, registerCommand(wall, "b", 1, "r1", 2));
        applyCommand(state, 3, removeCommand(wall, fmt::format("{}-1", wall), "a"));
        applyCommand(state, 4, registerCommand(wall, "c", 1, "r1", 2));
        CPPUNIT_ASSERT_EQUAL(0, positionOf("a"));
        CPPUNIT_ASSERT_EQUAL(1, positionOf("b"));
        CPPUNIT_ASSERT_EQUAL(-1, positionOf("c"));
        wall += std::chrono::milliseconds(std::chrono::minutes(10)).count();
        applyCommand(state, 5, registerCommand(wall, "c", 2, "r1", 2));
        CPPUNIT_ASSERT_EQUAL(0, positionOf("c"));
        CPPUNIT_ASSERT_EQUAL(-1, positionOf("a"));
        CPPUNIT_ASSERT(
            !applyCommand(state, 6, registerCommand(wall, "a", 1, "r1", 2)).registered());
    }

    void restoreRejectsGarbage()
    {
        control_state state;
        CPPUNIT_ASSERT_THROW(state.restore(1, "\xff\xff\xff"), agreement_error);
    }

    // Guards against a document with version 0 that is lost when a snapshot is restored, and
    // against an empty document in place of none, as in snapshots of earlier releases.
    void snapshotTellsVersionZeroFromNoDocument()
    {
        wire::control_snapshot earlier;
        earlier.mutable_routing();
        control_state state;
        for (const std::string &bytes : {state.snapshot(), earlier.SerializeAsString()}) {
            state.restore(1, bytes);
            CPPUNIT_ASSERT(!state.routingVersion());
            CPPUNIT_ASSERT(!state.routing());
        }
        wire::command command;
        command.mutable_routing()->set_version(0);
        command.mutable_routing()->set_text("first");
        const wire::apply_result result = applyCommand(state, 2, command);
        CPPUNIT_ASSERT(result.has_routing_version());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, result.routing_version());
        control_state restored;
        restored.restore(2, state.snapshot());
        CPPUNIT_ASSERT_EQUAL(std::string("first"), restored.routing().value().text());
        command.mutable_routing()->set_text("second");
        applyCommand(restored, 3, command);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), restored.routing().value().text());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_state_test);
