#include "base/error.h"
#include "entry/config_store.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace buckthorngrade;

class config_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_store_test);
    CPPUNIT_TEST(revisionNeverDecreases);
    CPPUNIT_TEST(appliesDrainsAndRemovals);
    CPPUNIT_TEST(malformedProfileLeavesConfigurationUnchanged);
    CPPUNIT_TEST_SUITE_END();

    static wire::config_full full(std::uint64_t revision, std::uint64_t version)
    {
        wire::config_full result;
        result.set_revision(revision);
        auto *profile = result.add_profiles();
        profile->set_name("fast");
        profile->set_version(version);
        profile->set_yaml("name: fast\nweights: {latency: 80%, headroom: 20%}\n");
        return result;
    }

public:
    // Guards against reverting an accepted profile because a control instance is outdated.
    void revisionNeverDecreases()
    {
        config_store store;
        CPPUNIT_ASSERT(store.replace(full(10, 3)));
        CPPUNIT_ASSERT(!store.replace(full(9, 2)));
        CPPUNIT_ASSERT(!store.replace(full(10, 2)));
        wire::config_change change;
        change.set_revision(10);
        *change.mutable_profile() = full(10, 2).profiles(0);
        CPPUNIT_ASSERT(!store.apply(change));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), store.current()->profiles.at("fast").version);
        change.set_revision(11);
        change.mutable_profile()->set_version(4);
        CPPUNIT_ASSERT(store.apply(change));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), store.current()->profiles.at("fast").version);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), store.current()->revision);
    }

    void appliesDrainsAndRemovals()
    {
        config_store store;
        wire::config_change change;
        change.set_revision(1);
        change.mutable_drain()->set_id("d1");
        change.mutable_drain()->set_kind(wire::TARGET_UPSTREAM);
        change.mutable_drain()->set_target("u1");
        change.mutable_drain()->set_start_ms(1000);
        CPPUNIT_ASSERT(store.apply(change));
        const wall_time later{std::chrono::seconds(2)};
        CPPUNIT_ASSERT(store.current()->isDrained(drain_target::upstream, "u1", later));
        change.set_revision(2);
        change.mutable_drain()->set_cancelled(true);
        CPPUNIT_ASSERT(store.apply(change));
        CPPUNIT_ASSERT(!store.current()->isDrained(drain_target::upstream, "u1", later));
        change.set_revision(3);
        change.mutable_removed()->set_instance("entry-1");
        CPPUNIT_ASSERT(store.apply(change));
        CPPUNIT_ASSERT(store.current()->removedInstances.contains("entry-1"));
        change.set_revision(4);
        change.mutable_removed()->set_cleared(true);
        CPPUNIT_ASSERT(store.apply(change));
        CPPUNIT_ASSERT(store.current()->removedInstances.empty());
    }

    void malformedProfileLeavesConfigurationUnchanged()
    {
        config_store store;
        CPPUNIT_ASSERT(store.replace(full(1, 1)));
        auto broken = full(2, 2);
        broken.mutable_profiles(0)->set_yaml("name: [");
        CPPUNIT_ASSERT_THROW(store.replace(broken), buckthorngrade::settings_error);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), store.current()->revision);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_store_test);
