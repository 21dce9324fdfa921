#include "carrier/evacuation_tracker.h"
#include "proxy_fixture.h"
#include "testing/sliding_window.h"
#include "testing/wait.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <thread>

using namespace buckthorngrade;

namespace {

// The cold rate of the fixture's service is 1 request per second, and its settings allow all
// instances together 1.5 x 1 + 5, rounded down here.
constexpr std::size_t maxColdRequestsPerSecond = 6;

// Responds to all requests and records when they arrive.
class timed_upstream
{
public:
    scripted_server::script script()
    {
        return [this](const std::string &request) {
            recordArrival();
            return answerOk(request);
        };
    }
    void recordArrival()
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back(std::chrono::steady_clock::now());
    }
    std::size_t arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals.size();
    }
    // Returns the largest number of arrivals within one second, without the first `skipped` ones.
    std::size_t maxArrivalsPerSecond(std::size_t skipped = 0) const
    {
        const std::lock_guard lock(m_mutex);
        return mostWithin(
            {m_arrivals.begin() + static_cast<std::ptrdiff_t>(skipped), m_arrivals.end()}, 1s);
    }

private:
    mutable std::mutex m_mutex;
    std::vector<steady_time> m_arrivals;
};

void makeCold(proxy_fixture &system)
{
    system.apply([](upstream_listing &listing) {
        listing.readAt = std::chrono::steady_clock::now();
        listing.upstreams[0].coldFor = 60s;
    });
}

std::size_t sendRequests(proxy_fixture &system, int requests)
{
    std::size_t served = 0;
    for (int i = 0; i < requests; ++i)
        served += system.send("/safe/x").status == 200 ? 1 : 0;
    return served;
}

} // namespace

// Tests that all entry instances together stay within the rate limit of a cold upstream.
class cold_upstream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cold_upstream_test);
    CPPUNIT_TEST(partialPeerListDoesNotEnlargeShare);
    CPPUNIT_TEST(requestsAreSpacedBySendTime);
    CPPUNIT_TEST(restartUnderSameIdMakesUpstreamCold);
    CPPUNIT_TEST(relistedUpstreamKeepsItsRequestCount);
    CPPUNIT_TEST(missedEvacuationMakesUpstreamsCold);
    CPPUNIT_TEST(evacuationsMayBeMissedBetweenDistantViews);
    CPPUNIT_TEST(firstEvacuationMayBeMissedBetweenDistantViews);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a share that is too large, because a control instance that has just started
    // reports only a few of the entry instances.
    void partialPeerListDoesNotEnlargeShare()
    {
        timed_upstream upstream;
        proxy_fixture system({upstream.script()});
        makeCold(system);
        system.setInstances({{"entry-1", "r"}, {"entry-2", "r"}, {"entry-3", "r"}});
        system.setInstances({{"entry-1", "r"}});
        sendRequests(system, 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.maxArrivalsPerSecond());
    }

    // Guards against spacing requests by the time of their admission: a request that is delayed by
    // a slow connect would arrive right before the next one.
    void requestsAreSpacedBySendTime()
    {
        // While the listen backlog is full, the kernel drops the SYN packet of the proxy's
        // connection, which is retransmitted after a second.
        Poco::Net::ServerSocket listener;
        listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        listener.listen(0);
        const Poco::Net::StreamSocket queued(listener.address());
        timed_upstream upstream;
        proxy_fixture system({upstream.script()});
        system.apply([&](upstream_listing &listing) {
            listing.readAt = std::chrono::steady_clock::now();
            listing.upstreams[0].coldFor = 60s;
            listing.upstreams[0].address = listener.address().toString();
        });
        system.setInstances({{"entry-1", "r"}, {"entry-2", "r"}, {"entry-3", "r"}});
        std::thread first([&] { system.send("/safe/x", "id-first"); });
        waitUntil("the first request has an upstream", [&] {
            bool isChosen = false;
            system.thread().call([&] { isChosen = !system.proxy().ownLoads().empty(); });
            return isChosen;
        });
        std::thread server([&] {
            // Concurrent requests use separate connections.
            std::vector<Poco::Net::StreamSocket> callers;
            const auto end = std::chrono::steady_clock::now() + defaultWaitLimit;
            while (upstream.arrivals() < 2 && std::chrono::steady_clock::now() < end) {
                if (listener.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ))
                    callers.push_back(listener.acceptConnection());
                for (Poco::Net::StreamSocket &caller : callers) {
                    if (!caller.poll(Poco::Timespan(0, 1'000), Poco::Net::Socket::SELECT_READ))
                        continue;
                    std::string request(4'096, '\0');
                    const int size
                        = caller.receiveBytes(request.data(), static_cast<int>(request.size()));
                    if (size <= 0)
                        continue;
                    request.resize(static_cast<std::size_t>(size));
                    upstream.recordArrival();
                    const std::string answer = answerOk(request).bytes;
                    caller.sendBytes(answer.data(), static_cast<int>(answer.size()));
                }
            }
        });
        waitUntil("two requests arrived", [&] {
            system.send("/safe/x", "id-next");
            return upstream.arrivals() >= 2;
        });
        first.join();
        server.join();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, upstream.maxArrivalsPerSecond());
    }

    // Guards against sending the load of a warm upstream to one that has restarted before the list
    // shows the restart.
    void restartUnderSameIdMakesUpstreamCold()
    {
        timed_upstream upstream;
        bool isRestarting = false; // used on the loop's thread
        proxy_fixture system({[&, answer = upstream.script()](const std::string &request) {
            scripted_answer result = answer(request);
            if (isRestarting) {
                result = {"", false, true};
                isRestarting = false;
            }
            return result;
        }});
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, sendRequests(system, 5));
        system.thread().call([&] { isRestarting = true; });
        system.send("/once/x");
        const std::size_t before = upstream.arrivals();
        sendRequests(system, 60);
        CPPUNIT_ASSERT(upstream.maxArrivalsPerSecond(before) <= maxColdRequestsPerSecond);
    }

    // Guards against using the share of an upstream twice because one version of the list omits the
    // upstream.
    void relistedUpstreamKeepsItsRequestCount()
    {
        timed_upstream upstream;
        proxy_fixture system({upstream.script()});
        makeCold(system);
        for (int round = 0; round < 4; ++round) {
            sendRequests(system, 20);
            listed_upstream missing;
            system.apply([&](upstream_listing &listing) {
                missing = listing.upstreams[0];
                listing.upstreams.clear();
            });
            system.apply([&](upstream_listing &listing) { listing.upstreams = {missing}; });
        }
        CPPUNIT_ASSERT(upstream.maxArrivalsPerSecond() <= maxColdRequestsPerSecond);
    }

    // Guards against sending the load of a warm upstream after an evacuation that this instance
    // missed.
    void missedEvacuationMakesUpstreamsCold()
    {
        timed_upstream upstream;
        proxy_fixture system({upstream.script()});
        sendRequests(system, 5);
        const std::size_t before = upstream.arrivals();
        system.thread().call([&] { system.proxy().setEvacuated({}, true); });
        sendRequests(system, 40);
        CPPUNIT_ASSERT(upstream.maxArrivalsPerSecond(before) <= maxColdRequestsPerSecond);
    }

    void evacuationsMayBeMissedBetweenDistantViews()
    {
        const boot_time start = boot_clock::now();
        evacuation_tracker follower;
        wire::node_view view;
        view.set_has_leader(true);
        view.set_evacuation_revision(5);
        CPPUNIT_ASSERT(!follower.apply(view, start)->mayHaveMissed);
        view.set_evacuation_revision(7);
        view.add_evacuated("d");
        const auto seen = follower.apply(view, start + 1s);
        CPPUNIT_ASSERT(!seen->mayHaveMissed && seen->domains.contains("d"));
        CPPUNIT_ASSERT(!follower.apply(view, start + 9s));
        // The view of a control instance that knows no leader may lack recent evacuations.
        view.set_has_leader(false);
        CPPUNIT_ASSERT(!follower.apply(view, start + 11s));
        view.set_has_leader(true);
        view.set_evacuation_revision(8);
        CPPUNIT_ASSERT(follower.apply(view, start + 12s)->mayHaveMissed);
        view.set_evacuation_revision(6);
        CPPUNIT_ASSERT(!follower.apply(view, start + 12s));
    }

    // Guards against a missed evacuation that is ignored because there had been none before:
    // revision 0, which means that there was none, stood for "no view yet" as well.
    void firstEvacuationMayBeMissedBetweenDistantViews()
    {
        const boot_time start = boot_clock::now();
        evacuation_tracker follower;
        wire::node_view view;
        view.set_has_leader(true);
        CPPUNIT_ASSERT(!follower.apply(view, start));
        // An evacuation began and ended while no view arrived.
        view.set_evacuation_revision(9);
        CPPUNIT_ASSERT(follower.apply(view, start + 5s)->mayHaveMissed);

        evacuation_tracker newcomer;
        CPPUNIT_ASSERT(!newcomer.apply(view, start)->mayHaveMissed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_upstream_test);
