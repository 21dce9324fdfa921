#include "tests/control/control_fixture.h"

#include "control/instance_registry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace buckthorngrade;
using namespace std::chrono_literals;

class instance_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_registry_test);
    CPPUNIT_TEST(silenceLeadsToSuspectedThenDead);
    CPPUNIT_TEST(observersPreventSuspicion);
    CPPUNIT_TEST(refutationsAreDamped);
    CPPUNIT_TEST(incarnationsReplaceEachOther);
    CPPUNIT_TEST(removalNeedsListAndSilence);
    CPPUNIT_TEST(revisionIsInForce);
    CPPUNIT_TEST(newTermDiscardsState);
    CPPUNIT_TEST(readsPlatformLists);
    CPPUNIT_TEST_SUITE_END();

    manual_clock m_clock;
    null_event_log m_events;
    instance_registry m_registry{m_events};

    bool report(const std::string &name, std::uint64_t incarnation = 1, std::uint64_t revision = 0,
                const std::map<std::string, bool> &peers = {})
    {
        wire::report_request request;
        request.set_instance(name);
        request.set_incarnation(incarnation);
        request.set_revision(revision);
        request.set_ready(true);
        request.set_region("r1");
        for (const auto &[peer, isReachable] : peers) {
            request.add_peers()->set_instance(peer);
            request.mutable_peers(request.peers_size() - 1)->set_reachable(isReachable);
        }
        return m_registry.record(request, m_clock.now());
    }

    std::string state(const std::string &name)
    {
        for (const instance_status &status : m_registry.list(m_clock.now()))
            if (status.name == name)
                return std::string(toString(status.state));
        return "unknown";
    }

    static wire::instance_record registered(const std::string &name, std::uint64_t incarnation,
                                            bool isRemoved = false)
    {
        wire::instance_record record;
        record.mutable_registered()->set_instance(name);
        record.mutable_registered()->set_incarnation(incarnation);
        record.set_removed(isRemoved);
        record.set_removed_incarnation(isRemoved ? incarnation : 0);
        return record;
    }

    void setRegistered(const std::vector<wire::instance_record> &records)
    {
        m_registry.setRegistered(records, m_clock.now());
    }

public:
    void silenceLeadsToSuspectedThenDead()
    {
        CPPUNIT_ASSERT(report("a"));
        CPPUNIT_ASSERT_EQUAL(std::string("live"), state("a"));
        m_clock.advance(2'900ms);
        CPPUNIT_ASSERT_EQUAL(std::string("live"), state("a"));
        m_clock.advance(200ms);
        CPPUNIT_ASSERT_EQUAL(std::string("suspected"), state("a"));
        m_clock.advance(7s);
        CPPUNIT_ASSERT_EQUAL(std::string("dead"), state("a"));
        CPPUNIT_ASSERT(report("a"));
        CPPUNIT_ASSERT_EQUAL(std::string("live"), state("a"));
    }

    void observersPreventSuspicion()
    {
        report("a");
        report("b");
        m_clock.advance(2'500ms);
        report("b", 1, 0, {{"a", true}});
        m_clock.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::string("live"), state("a"));
        report("b", 1, 0, {{"a", false}, {"b", true}});
        CPPUNIT_ASSERT_EQUAL(std::string("suspected"), state("a"));
        // An expired observation has no effect.
        report("b", 1, 0, {{"a", true}});
        CPPUNIT_ASSERT_EQUAL(std::string("live"), state("a"));
        m_clock.advance(3'500ms);
        CPPUNIT_ASSERT_EQUAL(std::string("suspected"), state("a"));
    }

    // Guards against an instance that is alternately silent and reporting and moves its callers
    // each time.
    void refutationsAreDamped()
    {
        report("a");
        for (int i = 0; i < 3; ++i) {
            m_clock.advance(4s);
            CPPUNIT_ASSERT_EQUAL(std::string("suspected"), state("a"));
            report("a");
        }
        CPPUNIT_ASSERT_EQUAL(std::string("suspected"), state("a"));
        m_clock.advance(2s);
        report("a");
        CPPUNIT_ASSERT_EQUAL(std::string("live"), state("a"));
    }

    void incarnationsReplaceEachOther()
    {
        CPPUNIT_ASSERT(report("a", 5));
        CPPUNIT_ASSERT(!report("a", 4));
        CPPUNIT_ASSERT(report("a", 6));
        CPPUNIT_ASSERT(!report("a", 5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_registry.unregistered(10).size());
        setRegistered({registered("a", 6)});
        CPPUNIT_ASSERT(m_registry.unregistered(10).empty());
        report("a", 7);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), m_registry.unregistered(10).at(0).incarnation());
        setRegistered({registered("a", 9)}); // committed by an earlier leader
        CPPUNIT_ASSERT(!report("a", 7));
    }

    void removalNeedsListAndSilence()
    {
        report("a", 3);
        report("b", 3);
        setRegistered({registered("a", 3), registered("b", 3)});
        m_clock.advance(11min);
        CPPUNIT_ASSERT_EQUAL(std::string("dead"), state("a"));
        CPPUNIT_ASSERT(m_registry.removable(10, m_clock.now()).empty()); // no platform list is set
        m_registry.setPlatformList(parsePlatformList("b live\n"));
        const auto removable = m_registry.removable(10, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), removable.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), removable[0].instance());
        // The instance is not removed before the command is committed.
        CPPUNIT_ASSERT_EQUAL(std::string("dead"), state("a"));
        m_registry.setPlatformList(std::nullopt);
        CPPUNIT_ASSERT(m_registry.removable(10, m_clock.now()).empty());
        setRegistered({registered("a", 3, true), registered("b", 3)});
        CPPUNIT_ASSERT_EQUAL(std::string("removed"), state("a"));
        CPPUNIT_ASSERT(!report("a", 3));
        CPPUNIT_ASSERT(report("a", 4)); // a new process registers again
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), m_registry.unregistered(10).at(0).incarnation());
        // An instance that reports is not removed although the platform's list does not have it
        // yet.
        m_registry.setPlatformList(parsePlatformList(""));
        CPPUNIT_ASSERT_EQUAL(std::string("live"), state("a"));
    }

    // Guards against a change that is declared in force while an instance still answers lookups
    // without it.
    void revisionIsInForce()
    {
        report("a", 1, 10);
        report("b", 1, 8);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), m_registry.inForce(10, m_clock.now()).revision);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), m_registry.inForce(10, m_clock.now()).behind.at(0));
        for (int i = 0; i < 3; ++i) {
            m_clock.advance(1'100ms);
            report("a", 1, 10);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("suspected"), state("b"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), m_registry.inForce(10, m_clock.now()).revision);
        for (int i = 0; i < 5; ++i) {
            m_clock.advance(1'100ms);
            report("a", 1, 10);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("suspected"), state("b"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), m_registry.inForce(10, m_clock.now()).revision);
        report("b", 1, 8); // reports again, with the old revision
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), m_registry.inForce(10, m_clock.now()).revision);
        report("b", 1, 12); // ahead of the revision applied here
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), m_registry.inForce(10, m_clock.now()).revision);
    }

    // Guards against a new leader that starts with an empty registry and therefore declares every
    // revision in force.
    void newTermDiscardsState()
    {
        report("old", 1, 10);
        m_registry.beginTerm(4, {registered("a", 2)}, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), state("old"));
        CPPUNIT_ASSERT_EQUAL(std::string("not-ready"), state("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_registry.inForce(10, m_clock.now()).revision);
        CPPUNIT_ASSERT(!report("a", 1, 10));
        CPPUNIT_ASSERT(report("a", 2, 10));
        m_registry.beginTerm(4, {}, m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::string("live"), state("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), m_registry.inForce(10, m_clock.now()).revision);
    }

    void readsPlatformLists()
    {
        const platform_list list = parsePlatformList("# comment\n\n a live\r\nb\tleaving\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), list.leavingByName.size());
        CPPUNIT_ASSERT(list.leavingByName.at("b") && !list.leavingByName.at("a"));
        for (const char *text : {"a", "a gone", "a live b", "a live\na leaving"})
            CPPUNIT_ASSERT_THROW(parsePlatformList(text), control_error);
        std::string fault;
        CPPUNIT_ASSERT(!readPlatformList("/does/not/exist", fault));
        CPPUNIT_ASSERT(!fault.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(instance_registry_test);
