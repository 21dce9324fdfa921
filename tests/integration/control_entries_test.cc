#include "testing/deployment.h"

#include "base/error.h"
#include "testing/wait.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>

using namespace buckthorngrade;

// Control and entry instances together: what the leader says about the entry instances.
class control_entries_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(control_entries_test);
    CPPUNIT_TEST(revisionInForceFollowsInstances);
    CPPUNIT_TEST(missedChangesArriveAfterAPause);
    CPPUNIT_TEST(removedInstanceRegistersAnew);
    CPPUNIT_TEST(registrationsOutliveTheLeader);
    CPPUNIT_TEST_SUITE_END();

    using object_ptr = Poco::JSON::Object::Ptr;

    static object_ptr parse(const std::string &body)
    {
        return Poco::JSON::Parser().parse(body).extract<object_ptr>();
    }

    static std::uint64_t change(deployment &system, std::uint64_t base)
    {
        const http_response answer = system.putProfile(
            "fast", base, system.profileYaml("fast") + fmt::format("max_retries: {}\n", base % 5));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body + answer.failure, 200, answer.status);
        return parse(answer.body)->getValue<std::uint64_t>("revision");
    }

    static std::uint64_t inForce(const deployment &system)
    {
        const object_ptr status = system.leaderStatus();
        return status ? status->optValue<std::uint64_t>("in_force_revision", 0) : 0;
    }

    static void waitForInForce(const deployment &system, std::uint64_t revision)
    {
        waitUntil(fmt::format("revision {} is in force", revision),
                  [&] { return inForce(system) >= revision; });
    }

    static object_ptr instanceOf(const deployment &system, const std::string &name)
    {
        const object_ptr status = system.leaderStatus();
        const auto instances = status ? status->getArray("instances") : nullptr;
        for (std::size_t i = 0; instances && i < instances->size(); ++i) {
            auto instance = instances->getObject(static_cast<unsigned>(i));
            if (instance->getValue<std::string>("name") == name)
                return instance;
        }
        return nullptr;
    }

    static void waitForState(const deployment &system, const std::string &name,
                             const std::string &state)
    {
        waitUntil(name + " is " + state, [&] {
            const object_ptr instance = instanceOf(system, name);
            return instance && instance->getValue<std::string>("state") == state;
        });
    }

public:
    // Guards against a change that is called in force while an instance may still serve without it.
    void revisionInForceFollowsInstances()
    {
        deployment system({.controls = 3, .entries = 2});
        system.startAll();
        const std::uint64_t first = change(system, 1);
        waitForInForce(system, first);
        system.pause("entry-2");
        const std::uint64_t second = change(system, 2);
        // As long as the stopped instance is in lookups, the change is not in force.
        std::string state = "live";
        while (state == "live") {
            const object_ptr status = system.leaderStatus();
            CPPUNIT_ASSERT(status);
            for (std::size_t i = 0; i < status->getArray("instances")->size(); ++i) {
                const auto instance = status->getArray("instances")->getObject(i);
                if (instance->getValue<std::string>("name") == "entry-2")
                    state = instance->getValue<std::string>("state");
            }
            if (state == "live")
                CPPUNIT_ASSERT(status->getValue<std::uint64_t>("in_force_revision") < second);
        }
        waitForInForce(system, second);
        system.resume("entry-2");
        system.waitReady("entry-2");
        waitForState(system, "entry-2", "live");
        CPPUNIT_ASSERT(instanceOf(system, "entry-2")->getValue<std::uint64_t>("revision")
                       >= second);
    }

    void missedChangesArriveAfterAPause()
    {
        deployment system({.controls = 3, .entries = 2});
        system.startAll();
        system.pause("entry-1");
        system.kill("entry-2");
        std::uint64_t last = 0;
        for (std::uint64_t base = 1; base <= 500; ++base)
            last = change(system, base);
        system.resume("entry-1");
        system.start("entry-2");
        for (const std::string &name : system.entryNames()) {
            system.waitReady(name);
            waitUntil(name + " has the last change", [&] {
                const object_ptr instance = instanceOf(system, name);
                return instance && instance->getValue<std::uint64_t>("revision") >= last;
            });
        }
        waitForInForce(system, last);
    }

    void removedInstanceRegistersAnew()
    {
        deployment system({.controls = 3, .entries = 2});
        system.startAll();
        system.kill("entry-2");
        waitForState(system, "entry-2", "dead");
        const std::string settings = "--config=" + system.settingsFile("control-1").string();
        const process_result removed = runProcess(
            std::string(BG_BINARY_DIR) + "/buckthorngrade",
            {"instance", "remove", "entry-2", settings, "--operator=anna", "--reason=test"});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(removed.output + removed.errors, 0, removed.code);
        waitForState(system, "entry-2", "removed");
        system.start("entry-2");
        system.waitReady("entry-2");
        waitForState(system, "entry-2", "live");
        const process_result members = runProcess(std::string(BG_BINARY_DIR) + "/buckthorngrade",
                                                  {"member", "list", settings});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(members.errors, 0, members.code);
        const auto voters = members.output.find("voter");
        CPPUNIT_ASSERT_MESSAGE(members.output, voters != std::string::npos);
    }

    // Guards against a new leader that knows no instance and calls every change in force.
    void registrationsOutliveTheLeader()
    {
        deployment system({.controls = 3, .entries = 2});
        system.startAll();
        waitUntil("both are registered", [&] {
            const std::string log = system.log(system.leader());
            return log.find("instance_registered entry=entry-1") != std::string::npos
                && log.find("instance_registered entry=entry-2") != std::string::npos;
        });
        system.kill("entry-2");
        const std::string leader = system.leader();
        system.kill(leader);
        system.waitForLeader();
        // It is listed although it never reported to this leader.
        CPPUNIT_ASSERT(instanceOf(system, "entry-2"));
        const std::uint64_t last = change(system, 1);
        waitForInForce(system, last);
        waitForState(system, "entry-1", "live");
        system.start(leader);
        system.start("entry-2");
        waitForState(system, "entry-2", "live");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_entries_test);
