#include "carrier/listing_tracker.h"
#include "control/listing_history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <random>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

const steady_time start(1000s);

listed_upstream upstreamOf(std::uint64_t number)
{
    return {fmt::format("u{}", number), "s", "1.2.3.4:5", "d", 3, false, 0ms, 0};
}

upstream_listing listingOf(steady_time readAt, std::size_t count)
{
    upstream_listing result;
    result.readAt = readAt;
    for (std::size_t i = 0; i < count; ++i)
        result.upstreams.push_back(upstreamOf(i));
    std::ranges::sort(result.upstreams, {}, &listed_upstream::id);
    return result;
}

wire::node_view exchangeBetween(const listing_history &history, listing_tracker &follower,
                                steady_time now)
{
    wire::node_report report;
    follower.describe(now, report);
    wire::node_view view;
    history.addUpdate(report, now, view);
    follower.apply(view, now);
    return view;
}

} // namespace

class listing_history_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(listing_history_test);
    CPPUNIT_TEST(oldListIsNotSent);
    CPPUNIT_TEST(onlyTheDifferenceIsSent);
    CPPUNIT_TEST(manyChangesBetweenPollsAreSentAsDifference);
    CPPUNIT_TEST(concurrentReadersDoNotReplaceEachOther);
    CPPUNIT_TEST(listOfStoppedReaderIsReplaced);
    CPPUNIT_TEST(followersConvergeToNewestList);
    CPPUNIT_TEST(newColdPeriodIsAChange);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a control instance that stopped reading the list and sends its old list
    // completely with every answer.
    void oldListIsNotSent()
    {
        listing_history old;
        old.add(listingOf(start, 100));
        listing_history currentReader;
        currentReader.add(listingOf(start + 5s, 101));
        listing_tracker follower;
        exchangeBetween(old, follower, start + 5s);
        exchangeBetween(currentReader, follower, start + 5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{101}, follower.listing().upstreams.size());
        const wire::node_view view = exchangeBetween(old, follower, start + 6s);
        CPPUNIT_ASSERT_EQUAL(0, view.upstreams_size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, view.listing_digest());
        CPPUNIT_ASSERT_EQUAL(std::size_t{101}, follower.listing().upstreams.size());
    }

    void onlyTheDifferenceIsSent()
    {
        listing_history history;
        listing_tracker follower;
        history.add(listingOf(start, 100));
        CPPUNIT_ASSERT_EQUAL(100, exchangeBetween(history, follower, start).upstreams_size());
        history.add(listingOf(start + 1s, 102));
        CPPUNIT_ASSERT_EQUAL(2, exchangeBetween(history, follower, start + 1s).upstreams_size());
        CPPUNIT_ASSERT(!history.add(listingOf(start + 2s, 102)));
        CPPUNIT_ASSERT_EQUAL(0, exchangeBetween(history, follower, start + 2s).upstreams_size());
    }

    // Guards against sending a long list repeatedly to every instance, over links of 2 Mbit/s, when
    // all of its pages change within one poll period.
    void manyChangesBetweenPollsAreSentAsDifference()
    {
        listing_history history;
        listing_tracker follower;
        upstream_listing list = listingOf(start, 1'000);
        history.add(list);
        exchangeBetween(history, follower, start);
        constexpr std::size_t pages = 40;
        for (std::size_t i = 0; i < pages; ++i) {
            list.readAt += 10ms;
            list.upstreams[i].isDraining = true;
            history.merge({list.readAt, {list.upstreams[i]}});
        }
        list.upstreams.pop_back();
        history.keepOnly(list);
        const wire::node_view view = exchangeBetween(history, follower, start + 1s);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(pages), view.upstreams_size());
        CPPUNIT_ASSERT_EQUAL(1, view.removed_upstreams_size());
        CPPUNIT_ASSERT(follower.listing().upstreams == list.upstreams);
    }

    // Guards against alternating lists when a network partition of the control group leaves a
    // reader on either side: each reader's list replaced the other's as soon as it was newer, and
    // was sent completely several times per second.
    void concurrentReadersDoNotReplaceEachOther()
    {
        listing_history histories[2];
        listing_tracker follower;
        int completeLists = 0;
        for (int i = 0; i < 40; ++i) {
            const steady_time now = start + i * 300ms;
            upstream_listing read = listingOf(now, 200);
            // Cold periods are rounded, so the lists of two readers are rarely equal.
            read.upstreams[0].coldFor = std::chrono::milliseconds(1'000 + i % 2);
            histories[i % 2].add(read);
            for (const listing_history &history : histories)
                if (exchangeBetween(history, follower, now + 50ms).upstreams_size() == 200)
                    ++completeLists;
        }
        CPPUNIT_ASSERT_EQUAL(1, completeLists);
    }

    // Guards against an instance that keeps the list of a reader that has stopped reading.
    void listOfStoppedReaderIsReplaced()
    {
        listing_history stoppedReader;
        listing_history currentReader;
        listing_tracker follower;
        stoppedReader.add(listingOf(start, 5));
        exchangeBetween(stoppedReader, follower, start);
        for (auto time = 0ms; time < listing_history::otherReaderTimeout; time += 500ms) {
            currentReader.add(listingOf(start + time, 6));
            exchangeBetween(currentReader, follower, start + time);
            CPPUNIT_ASSERT_EQUAL(std::size_t{5}, follower.listing().upstreams.size());
        }
        exchangeBetween(currentReader, follower, start + listing_history::otherReaderTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, follower.listing().upstreams.size());
    }

    // Two control instances read random lists alternately. A follower that polls both in any order
    // must have the newest list once the list of the other reader is old.
    void followersConvergeToNewestList()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            std::mt19937_64 random(seed);
            listing_history histories[2];
            listing_tracker follower;
            upstream_listing newest = listingOf(start, 5);
            steady_time now = start;
            for (int step = 0; step < 60; ++step) {
                now += std::chrono::milliseconds(100 + random() % 700);
                if (random() % 2 == 0) {
                    newest.readAt = now;
                    const std::uint64_t number = random() % 12;
                    const auto found = std::ranges::find(
                        newest.upstreams, fmt::format("u{}", number), &listed_upstream::id);
                    if (found == newest.upstreams.end())
                        newest.upstreams.push_back(upstreamOf(number));
                    else if (random() % 2 == 0)
                        newest.upstreams.erase(found);
                    else
                        found->isDraining = !found->isDraining;
                    std::ranges::sort(newest.upstreams, {}, &listed_upstream::id);
                    histories[random() % 2].add(newest);
                }
                exchangeBetween(histories[random() % 2], follower, now);
            }
            now += listing_history::otherReaderTimeout;
            exchangeBetween(histories[0], follower, now);
            exchangeBetween(histories[1], follower, now);
            exchangeBetween(histories[0], follower, now);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("seed {}", seed),
                                   follower.listing().upstreams == newest.upstreams);
        }
    }

    // Guards against missing that an upstream became cold again between two reads of the list,
    // since it is cold in both.
    void newColdPeriodIsAChange()
    {
        listing_history history;
        listing_tracker follower;
        upstream_listing cold = listingOf(start, 3);
        cold.upstreams[1].coldFor = 1s;
        history.add(cold);
        exchangeBetween(history, follower, start);
        cold.readAt = start + 700ms;
        cold.upstreams[1].coldFor = 350ms;
        CPPUNIT_ASSERT(!history.add(cold));
        cold.readAt = start + 900ms;
        cold.upstreams[1].coldFor = 3s;
        CPPUNIT_ASSERT(history.add(cold));
        exchangeBetween(history, follower, start + 1s);
        CPPUNIT_ASSERT(follower.listing().upstreams[1].coldFor == 3s);
        // The end of a cold period is not a change by itself.
        cold.readAt = start + 5s;
        cold.upstreams[1].coldFor = 0s;
        CPPUNIT_ASSERT(!history.add(cold));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(listing_history_test);
