#include "tests/control/control_fixture.h"

#include "control/config_publisher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>

using namespace buckthorngrade;

namespace {

// A subscriber that applies batches in the order of their arrival and checks that revisions
// increase.
class subscriber
{
public:
    std::uint64_t revision() const { return m_config.revision(); }

    void receive(const config_publisher &publisher, const std::string &where)
    {
        const std::uint64_t before = revision();
        const config_publisher::batch batch = publisher.batchSince(before);
        if (batch.full)
            m_config = *batch.full;
        std::uint64_t last = revision();
        for (const auto &change : batch.changes) {
            CPPUNIT_ASSERT_MESSAGE(where, change->revision() > last);
            last = change->revision();
            apply(*change);
        }
        CPPUNIT_ASSERT_MESSAGE(where + ": older than before", revision() >= before);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::max(before, publisher.revision()), batch.revision);
    }

    // Returns the content without the order of its parts, which may differ.
    std::map<std::string, std::string> content() const { return contentOf(m_config); }

    static std::map<std::string, std::string> contentOf(const wire::config_full &config)
    {
        std::map<std::string, std::string> result;
        for (const auto &item : config.profiles())
            result["p/" + item.name()] = item.SerializeAsString();
        for (const auto &item : config.drains())
            result["d/" + item.id()] = item.SerializeAsString();
        for (const auto &item : config.removed())
            result["r/" + item.instance()] = item.SerializeAsString();
        return result;
    }

private:
    template <typename Items, typename IsSame>
    static void erase(Items &items, IsSame isSame)
    {
        for (int i = items.size() - 1; i >= 0; --i)
            if (isSame(items[i]))
                items.DeleteSubrange(i, 1);
    }

    void apply(const wire::config_change &change)
    {
        m_config.set_revision(change.revision());
        if (change.has_profile()) {
            erase(*m_config.mutable_profiles(),
                  [&](const auto &item) { return item.name() == change.profile().name(); });
            *m_config.add_profiles() = change.profile();
        } else if (change.has_drain()) {
            erase(*m_config.mutable_drains(),
                  [&](const auto &item) { return item.id() == change.drain().id(); });
            if (!change.drain().cancelled())
                *m_config.add_drains() = change.drain();
        } else if (change.has_removed()) {
            erase(*m_config.mutable_removed(),
                  [&](const auto &item) { return item.instance() == change.removed().instance(); });
            if (!change.removed().cleared())
                *m_config.add_removed() = change.removed();
        }
    }

    wire::config_full m_config;
};

} // namespace

class config_publisher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_publisher_test);
    CPPUNIT_TEST(subscribersConvergeToReferenceState);
    CPPUNIT_TEST(catchesUpAfter500Changes);
    CPPUNIT_TEST(notifiesSubscribers);
    CPPUNIT_TEST_SUITE_END();

    // The state of one control instance with its config_publisher.
    struct control_replica
    {
        control_state state;
        config_publisher publisher;
        control_replica() { state.setListener(&publisher); }
    };

    static wire::command makeCommand(std::mt19937_64 &random, control_state &state, log_index index)
    {
        const auto pick = [&](std::uint64_t count) { return random() % count; };
        const std::string id = fmt::format("{}-{}", 1'000'000 + index, index);
        const std::string name = "p" + std::to_string(pick(5));
        switch (pick(5)) {
        case 0: {
            wire::command command;
            command.set_wall_ms(1'000'000);
            command.mutable_operator_edit()->set_request_id(id);
            command.mutable_operator_edit()->mutable_drain()->set_kind(wire::TARGET_REGION);
            command.mutable_operator_edit()->mutable_drain()->set_target("r");
            return command;
        }
        case 1: {
            wire::command command;
            command.set_wall_ms(1'000'000);
            command.mutable_operator_edit()->set_request_id(id);
            const auto drains = state.drains();
            command.mutable_operator_edit()->mutable_cancel()->set_id(
                drains.empty() ? "none" : drains[pick(drains.size())].id());
            return command;
        }
        case 2:
            return pick(2) == 0 ? registerCommand(1'000'000, name, 1 + pick(50), "r1")
                                : removeCommand(1'000'000, id, name);
        default: {
            const auto current = state.findProfile(name, 0);
            return putCommand(1'000'000, id, name, current ? current->version() : 0,
                              profileText(name, fmt::format("max_retries: {}\n", pick(5))));
        }
        }
    }

public:
    // Checks that subscribers get the complete configuration although they switch between control
    // instances that have applied different parts of the log and that restart from snapshots.
    void subscribersConvergeToReferenceState()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            std::mt19937_64 random(seed);
            const auto pick = [&](std::uint64_t count) { return random() % count; };
            std::vector<std::unique_ptr<control_replica>> instances;
            std::vector<log_index> applied(3, 0);
            instances.resize(3);
            for (auto &each : instances)
                each = std::make_unique<control_replica>();
            std::vector<std::string> log;
            control_state reference;
            std::vector<subscriber> subscribers(6);
            const auto catchUp = [&](std::size_t i, log_index to) {
                for (; applied[i] < to; ++applied[i])
                    instances[i]->state.apply(applied[i] + 1, log[applied[i]]);
            };
            for (int step = 0; step < 3'000; ++step) {
                const std::string where = fmt::format("seed {}, step {}", seed, step);
                log.push_back(makeCommand(random, reference, log.size() + 1).SerializeAsString());
                reference.apply(log.size(), log.back());
                const std::size_t i = pick(3);
                if (pick(150) == 0) { // restart: the snapshot of another instance, then the log
                    const std::size_t from = pick(3);
                    if (applied[from] >= applied[i]) {
                        const std::string bytes = instances[from]->state.snapshot();
                        if (pick(2) == 0)
                            instances[i] = std::make_unique<control_replica>();
                        instances[i]->state.restore(applied[from], bytes);
                        applied[i] = applied[from];
                    }
                }
                if (pick(4) == 0)
                    catchUp(i, applied[i] + pick(log.size() - applied[i] + 1));
                // The first subscriber is disconnected for a long time.
                const std::size_t who = pick(subscribers.size());
                if (who != 0 || step % 1'400 == 0)
                    subscribers[who].receive(instances[pick(3)]->publisher, where);
            }
            for (std::size_t i = 0; i < 3; ++i)
                catchUp(i, log.size());
            for (std::size_t i = 0; i < subscribers.size(); ++i) {
                subscribers[i].receive(instances[i % 3]->publisher, "at the end");
                CPPUNIT_ASSERT_EQUAL(reference.revision(), subscribers[i].revision());
                CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}, subscriber {}", seed, i),
                                       subscribers[i].content()
                                           == subscriber::contentOf(reference.config()));
            }
        }
    }

    void catchesUpAfter500Changes()
    {
        control_replica control;
        std::vector<subscriber> subscribers(3);
        std::mt19937_64 random(7);
        log_index index = 0;
        const auto change = [&](int count) {
            for (int i = 0; i < count; ++i) {
                const auto command = makeCommand(random, control.state, ++index);
                control.state.apply(index, command.SerializeAsString());
            }
        };
        change(10);
        subscribers[0].receive(control.publisher, "first");
        change(500);
        subscribers[1].receive(control.publisher, "first");
        change(1'600); // more changes than the config_publisher retains
        for (auto &each : subscribers) {
            each.receive(control.publisher, "last");
            CPPUNIT_ASSERT_EQUAL(control.state.revision(), each.revision());
            CPPUNIT_ASSERT(each.content() == subscriber::contentOf(control.state.config()));
        }
        // Nothing is sent to a subscriber that is up to date or ahead.
        CPPUNIT_ASSERT(!control.publisher.batchSince(control.state.revision()).full);
        CPPUNIT_ASSERT(control.publisher.batchSince(control.state.revision()).changes.empty());
        CPPUNIT_ASSERT(!control.publisher.batchSince(control.state.revision() + 9).full);
    }

    void notifiesSubscribers()
    {
        control_replica control;
        int notifications = 0;
        const std::uint64_t id = control.publisher.addSubscriber([&] { ++notifications; });
        std::mt19937_64 random(1);
        control.state.apply(
            1, putCommand(1'000'000, "1000000-1", "p", 0, profileText("p")).SerializeAsString());
        CPPUNIT_ASSERT_EQUAL(1, notifications);
        control.publisher.removeSubscriber(id);
        control.state.apply(
            2, putCommand(1'000'000, "1000000-2", "p", 1, profileText("p")).SerializeAsString());
        CPPUNIT_ASSERT_EQUAL(1, notifications);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_publisher_test);
