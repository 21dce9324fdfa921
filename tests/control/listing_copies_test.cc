#include "carrier/details_host_selector.h"
#include "carrier/listing_tracker.h"
#include "control/control_state.h"
#include "control/listing_history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

const steady_time start(1000s);

listed_upstream upstreamOf(std::uint64_t number)
{
    return {fmt::format("u{:04}", number), "s", "1.2.3.4:5", "d", 3, false, 0ms, 0};
}

upstream_listing listingOf(steady_time readAt, std::size_t count)
{
    upstream_listing result;
    result.readAt = readAt;
    for (std::size_t i = 0; i < count; ++i)
        result.upstreams.push_back(upstreamOf(i));
    return result;
}

wire::node_view exchangeBetween(const listing_history &history, listing_tracker &entry,
                                steady_time now)
{
    wire::node_report report;
    entry.describe(now, report);
    wire::node_view view;
    history.addUpdate(report, now, view);
    entry.apply(view, now);
    return view;
}

void copy(const listing_history &from, listing_history &to, steady_time now)
{
    const wire::listing_changes changes = from.changesSince(to.digest(), now);
    to.follow(changes, now - std::chrono::milliseconds(changes.age_ms()));
}

// A deployment whose control instances and entry instances share one clock. Control instances are
// paused, cut off from each other, slow and restarted, and the reader of the list changes.
class deployment_history
{
public:
    static constexpr std::size_t controlCount = 5;
    static constexpr std::size_t entryCount = 200;
    static constexpr auto step = 100ms;

    explicit deployment_history(std::uint64_t seed)
        : m_random(seed)
        , m_entries(entryCount)
    {
        for (std::uint64_t i = 0; i < 60; ++i)
            m_listed.emplace(i, upstreamOf(i));
        for (std::size_t i = 0; i < controlCount; ++i)
            m_controls[i].host = fmt::format("10.0.0.{}", i + 1);
        for (std::size_t i = 0; i < entryCount; ++i) {
            m_entries[i].host = details_host_selector(fmt::format("10.0.{}.1", i % 8));
            m_entries[i].nextPoll = start + std::chrono::milliseconds(m_random() % 1'000);
        }
    }

    void run(std::chrono::milliseconds time, bool isDisturbed)
    {
        const steady_time end = m_now + time;
        while (m_now < end) {
            m_now += step;
            if (m_random() % 4 == 0)
                changeUpstreams();
            if (isDisturbed && m_random() % 8 == 0)
                disturb();
            if (!isDisturbed)
                std::ranges::for_each(m_controls, [this](control &each) { heal(each); });
            for (control &each : m_controls)
                runControl(each);
            for (entry &each : m_entries)
                if (m_now >= each.nextPoll)
                    poll(each);
        }
    }

    // Lets the list rest until every entry instance should have it.
    void settle()
    {
        for (const steady_time end = m_now + 6s; m_now < end;) {
            m_now += step;
            std::ranges::for_each(m_controls, [this](control &each) { heal(each); });
            std::ranges::for_each(m_controls, [this](control &each) { runControl(each); });
            for (entry &each : m_entries)
                if (m_now >= each.nextPoll)
                    poll(each);
        }
    }

    std::size_t outdatedEntries() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_entries, [this](const entry &each) {
            return each.tracker.listing().upstreams != currentList().upstreams;
        }));
    }
    std::size_t completeLists() const { return m_completeLists; }

private:
    struct control
    {
        std::string host;
        listing_history history;
        steady_time pausedUntil{};
        steady_time cutUntil{};
        steady_time nextRead{};
        std::chrono::milliseconds delay{50};
        std::deque<std::pair<steady_time, wire::listing_changes>> answers; // on their way
        std::deque<steady_time> askedAt;
    };
    struct entry
    {
        listing_tracker tracker;
        details_host_selector host{"10.0.0.1"};
        steady_time nextPoll;
        std::int64_t lastReadMs = 0;
    };

    upstream_listing currentList() const
    {
        upstream_listing result;
        result.readAt = m_now;
        for (const auto &[number, upstream] : m_listed)
            result.upstreams.push_back(upstream);
        return result;
    }

    void changeUpstreams()
    {
        const std::uint64_t number = m_random() % 80;
        const auto found = m_listed.find(number);
        if (found == m_listed.end())
            m_listed.emplace(number, upstreamOf(number));
        else if (m_random() % 2 == 0)
            m_listed.erase(found);
        else
            found->second.isDraining = !found->second.isDraining;
    }

    void disturb()
    {
        control &target = m_controls[m_random() % controlCount];
        const auto length = std::chrono::milliseconds(200 + m_random() % 5'000);
        switch (m_random() % 5) {
        case 0:
            target.pausedUntil = m_now + length;
            break;
        case 1:
            target.cutUntil = m_now + length;
            break;
        case 2:
            target.delay = std::chrono::milliseconds(m_random() % 1'000);
            break;
        case 3: // restart
            target.history = {};
            target.answers.clear();
            target.askedAt.clear();
            break;
        default:
            m_leader = m_random() % controlCount;
        }
    }

    void heal(control &target)
    {
        target.cutUntil = std::min(target.cutUntil, m_now);
        target.pausedUntil = std::min(target.pausedUntil, m_now);
        target.delay = 50ms;
    }

    bool isCut(const control &target) const { return m_now < target.cutUntil; }
    bool isPaused(const control &target) const { return m_now < target.pausedUntil; }

    void runControl(control &self)
    {
        if (isPaused(self))
            return;
        control &leader = m_controls[m_leader];
        const bool readsList = &self == &leader || isCut(self);
        if (readsList && m_now >= self.nextRead) {
            self.nextRead = m_now + 700ms;
            read(self);
        }
        while (!self.answers.empty() && m_now >= self.answers.front().first) {
            const wire::listing_changes &changes = self.answers.front().second;
            if (!isCut(self))
                self.history.follow(
                    changes, self.askedAt.front() - std::chrono::milliseconds(changes.age_ms()));
            self.answers.pop_front();
            self.askedAt.pop_front();
        }
        if (!readsList && self.answers.empty() && !isPaused(leader) && !isCut(leader)) {
            self.askedAt.push_back(m_now);
            self.answers.emplace_back(m_now + 2 * self.delay,
                                      leader.history.changesSince(self.history.digest(), m_now));
        }
    }

    // A recent list is updated page by page, and another one is replaced.
    void read(control &self)
    {
        const upstream_listing list = currentList();
        if (self.history.isEmpty() || m_now - self.history.readAt() > 2'500ms) {
            self.history.add(list);
            return;
        }
        constexpr std::size_t pageSize = 20;
        for (std::size_t from = 0; from < list.upstreams.size(); from += pageSize) {
            const auto count
                = static_cast<std::ptrdiff_t>(std::min(pageSize, list.upstreams.size() - from));
            const auto first = list.upstreams.begin() + static_cast<std::ptrdiff_t>(from);
            self.history.merge({m_now, {first, first + count}});
        }
        self.history.keepOnly(list);
    }

    void poll(entry &self)
    {
        self.nextPoll = m_now + std::chrono::milliseconds(800 + m_random() % 400);
        std::set<std::string> responding;
        for (const control &each : m_controls)
            if (!isPaused(each))
                responding.insert(each.host);
        const std::string host
            = self.host.select(responding, self.tracker.isRecent(m_now, 3s), m_now);
        const auto asked = std::ranges::find(m_controls, host, &control::host);
        if (asked == m_controls.end())
            return;
        const wire::node_view view = exchangeBetween(asked->history, self.tracker, m_now);
        if (view.listing_base() == 0 && view.upstreams_size() > 0)
            ++m_completeLists;
        wire::node_report report;
        self.tracker.describe(m_now, report);
        if (report.listing_digest() == 0)
            return;
        // The list that an instance uses was never read before the one that it used earlier.
        const std::int64_t readMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - start).count()
            - report.listing_age_ms();
        CPPUNIT_ASSERT(readMs >= self.lastReadMs);
        self.lastReadMs = readMs;
        // One version has the same content everywhere, however it was received.
        const auto [known, isNew]
            = m_contents.emplace(report.listing_digest(), self.tracker.listing().upstreams);
        CPPUNIT_ASSERT(isNew || known->second == self.tracker.listing().upstreams);
    }

    std::mt19937_64 m_random;
    steady_time m_now = start;
    std::map<std::uint64_t, listed_upstream> m_listed; // by number
    std::array<control, controlCount> m_controls;
    std::vector<entry> m_entries;
    std::size_t m_leader = 0;
    std::size_t m_completeLists = 0;
    std::map<std::uint64_t, std::vector<listed_upstream>> m_contents; // by digest
};

} // namespace

class listing_copies_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(listing_copies_test);
    CPPUNIT_TEST(newReaderSendsDifferences);
    CPPUNIT_TEST(copyKnowsAllVersionsOfTheReader);
    CPPUNIT_TEST(malformedChangesAreRejected);
    CPPUNIT_TEST(changesOfAnotherVersionAreIgnored);
    CPPUNIT_TEST(olderListIsNotCopied);
    CPPUNIT_TEST(entryInstancesAgreeAndNeverGoBack);
    CPPUNIT_TEST(calmDeploymentSendsEachCompleteListOnce);
    CPPUNIT_TEST(unresponsiveHostIsReplaced);
    CPPUNIT_TEST(hostWithOldListIsAvoidedForAWhile);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a new leader that sends the complete list to every entry instance: with 813
    // upstreams and links of 2 Mbit/s, calls to all control instances timed out for seconds.
    void newReaderSendsDifferences()
    {
        listing_history reader;
        listing_history nextReader;
        listing_tracker entry;
        reader.add(listingOf(start, 800));
        copy(reader, nextReader, start);
        exchangeBetween(reader, entry, start);
        upstream_listing list = listingOf(start + 1s, 800);
        list.upstreams[3].isDraining = true;
        nextReader.add(list);
        const wire::node_view view = exchangeBetween(nextReader, entry, start + 1s);
        CPPUNIT_ASSERT_EQUAL(1, view.upstreams_size());
        CPPUNIT_ASSERT(entry.listing().upstreams == list.upstreams);
    }

    // Guards against complete lists for entry instances that received a version between two copies.
    void copyKnowsAllVersionsOfTheReader()
    {
        listing_history reader;
        listing_history copied;
        upstream_listing list = listingOf(start, 100);
        reader.add(list);
        copy(reader, copied, start);
        listing_tracker entry;
        for (std::size_t i = 0; i < 10; ++i) {
            list.readAt += 10ms;
            list.upstreams[i].isDraining = true;
            reader.merge({list.readAt, {list.upstreams[i]}});
            if (i == 4)
                exchangeBetween(reader, entry, list.readAt);
        }
        list.upstreams.pop_back();
        reader.keepOnly(list);
        copy(reader, copied, list.readAt);
        CPPUNIT_ASSERT_EQUAL(reader.digest(), copied.digest());
        const wire::node_view view = exchangeBetween(copied, entry, list.readAt + 100ms);
        CPPUNIT_ASSERT_EQUAL(5, view.upstreams_size());
        CPPUNIT_ASSERT_EQUAL(1, view.removed_upstreams_size());
        CPPUNIT_ASSERT(entry.listing().upstreams == list.upstreams);
    }

    void malformedChangesAreRejected()
    {
        listing_history history;
        history.add(listingOf(start, 3));
        wire::listing_changes changes;
        changes.set_has_list(true);
        CPPUNIT_ASSERT_THROW(history.follow(changes, start + 1s), control_error);
        changes.set_base(history.digest());
        changes.add_versions(7);
        wire::listed_row &row = *changes.add_rows();
        row.mutable_upstream()->set_id("u");
        for (const std::uint32_t version : {0U, 2U}) {
            row.set_version(version);
            CPPUNIT_ASSERT_THROW(history.follow(changes, start + 1s), control_error);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, history.upstreamCount());
    }

    void changesOfAnotherVersionAreIgnored()
    {
        listing_history history;
        history.add(listingOf(start, 3));
        listing_history other;
        other.add(listingOf(start, 4));
        const std::uint64_t base = other.digest();
        other.add(listingOf(start + 1s, 5));
        CPPUNIT_ASSERT(!history.follow(other.changesSince(base, start + 1s), start + 1s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, history.upstreamCount());
        // The next request names a version that the other does not know.
        copy(other, history, start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, history.upstreamCount());
        CPPUNIT_ASSERT_EQUAL(other.digest(), history.digest());
    }

    // Guards against an answer that was delayed, or handled after a pause, and replaces a newer
    // list.
    void olderListIsNotCopied()
    {
        listing_history history;
        history.add(listingOf(start + 2s, 3));
        listing_history old;
        old.add(listingOf(start, 4));
        CPPUNIT_ASSERT(!history.follow(old.changesSince(history.digest(), start + 3s), start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, history.upstreamCount());
    }

    void entryInstancesAgreeAndNeverGoBack()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            deployment_history history(seed);
            history.run(30s, true);
            history.settle();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("seed {}", seed), std::size_t{0},
                                         history.outdatedEntries());
        }
    }

    void calmDeploymentSendsEachCompleteListOnce()
    {
        deployment_history history(1);
        history.run(30s, false);
        CPPUNIT_ASSERT_EQUAL(deployment_history::entryCount, history.completeLists());
    }

    void unresponsiveHostIsReplaced()
    {
        details_host_selector selector("10.1.0.9");
        const std::set<std::string> all = {"10.1.0.8", "10.2.0.8", "10.3.0.8"};
        CPPUNIT_ASSERT_EQUAL(std::string(), selector.select({}, false, start));
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.8"), selector.select(all, true, start));
        CPPUNIT_ASSERT_EQUAL(std::string("10.3.0.8"),
                             selector.select({"10.2.0.8", "10.3.0.8"}, true, start + 1s));
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.8"), selector.select(all, true, start + 2s));
    }

    // Guards against entry instances that go on with the old list of a control instance that is cut
    // off from the others.
    void hostWithOldListIsAvoidedForAWhile()
    {
        details_host_selector selector("10.1.0.9");
        const std::set<std::string> all = {"10.1.0.8", "10.2.0.8", "10.3.0.8"};
        selector.select(all, true, start);
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.8"), selector.select(all, false, start + 2s));
        CPPUNIT_ASSERT_EQUAL(std::string("10.3.0.8"), selector.select(all, false, start + 3s));
        CPPUNIT_ASSERT_EQUAL(std::string("10.3.0.8"), selector.select(all, true, start + 4s));
        CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.8"), selector.select(all, true, start + 14s));
        // If none has a recent list, all are asked in turn.
        std::set<std::string> asked;
        for (auto time = 15s; time < 40s; time += 1s)
            asked.insert(selector.select(all, false, start + time));
        CPPUNIT_ASSERT(asked == all);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(listing_copies_test);
