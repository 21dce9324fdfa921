#include "entry/slot_table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <memory>

using namespace buckthorngrade;
using namespace std::chrono_literals;

class slot_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slot_table_test);
    CPPUNIT_TEST(noSlotsWithoutAllocations);
    CPPUNIT_TEST(expiredLeaseLeavesReservedSlots);
    CPPUNIT_TEST(oldAllocationsAreRejected);
    CPPUNIT_TEST(noQuorumProofExtendsUnexpiredLease);
    CPPUNIT_TEST_SUITE_END();

    topology m_deployment;
    const steady_time m_start{1000s};

public:
    void setUp() override
    {
        m_deployment = {};
        service_spec service;
        service.name = "s";
        for (int i = 0; i < 3; ++i)
            service.upstreams.push_back({fmt::format("u{}", i), "127.0.0.1:1", "d", 4, 100, ""});
        m_deployment.services.push_back(service);
    }

    // Guards against using slots that were not granted, at startup or after a leader change.
    void noSlotsWithoutAllocations()
    {
        slot_table slotTable(m_deployment);
        CPPUNIT_ASSERT(!slotTable.isAllocated());
        CPPUNIT_ASSERT(!slotTable.tryAcquire(0, 0, m_start));
        slotTable.applyGrants(1, {}, m_start);
        CPPUNIT_ASSERT(!slotTable.tryAcquire(0, 0, m_start));
        slotTable.applyGrants(
            1, {{"s", "u0", {2, 1, epochOfTerm(1) + 1}}, {"s", "none", {9, 9, 9}}}, m_start);
        CPPUNIT_ASSERT(slotTable.isAllocated());
        CPPUNIT_ASSERT(slotTable.tryAcquire(0, 0, m_start));
        CPPUNIT_ASSERT(slotTable.tryAcquire(0, 0, m_start));
        CPPUNIT_ASSERT(!slotTable.tryAcquire(0, 0, m_start));
        CPPUNIT_ASSERT(!slotTable.tryAcquire(0, 1, m_start));
        slotTable.release(0, 0);
        CPPUNIT_ASSERT(slotTable.tryAcquire(0, 0, m_start));
        slotTable.applyGrants(2, {}, m_start);
        const auto rows = slotTable.report(m_start);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), rows[0].held);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), rows[0].inFlight);
        CPPUNIT_ASSERT_EQUAL(epochOfTerm(2), rows[0].epoch);
    }

    void expiredLeaseLeavesReservedSlots()
    {
        slot_table slotTable(m_deployment);
        slotTable.applyGrants(1, {{"s", "u0", {3, 1, epochOfTerm(1) + 1}}}, m_start);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), slotTable.usageOf(0, m_start + 9s)[0].allowed);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), slotTable.usageOf(0, m_start + 10s)[0].allowed);
        CPPUNIT_ASSERT(slotTable.tryAcquire(0, 0, m_start + 10s));
        CPPUNIT_ASSERT(!slotTable.tryAcquire(0, 0, m_start + 10s));
    }

    // Guards against applying a deposed leader's reply that arrives after the new leader's.
    void oldAllocationsAreRejected()
    {
        slot_table slotTable(m_deployment);
        slotTable.applyGrants(2, {{"s", "u0", {1, 0, epochOfTerm(2) + 1}}}, m_start);
        slotTable.applyGrants(1, {{"s", "u0", {4, 0, epochOfTerm(1) + 9}}}, m_start);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), slotTable.usageOf(0, m_start)[0].allowed);
    }

    void noQuorumProofExtendsUnexpiredLease()
    {
        slot_table slotTable(m_deployment);
        slotTable.applyGrants(1, {{"s", "u0", {3, 0, epochOfTerm(1) + 1}}}, m_start);
        slotTable.renewByProof(m_start + 9s, m_start + 9s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), slotTable.usageOf(0, m_start + 11s)[0].allowed);
        slotTable.renewByProof(m_start + 13s, m_start + 13s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), slotTable.usageOf(0, m_start + 13s)[0].allowed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_table_test);
