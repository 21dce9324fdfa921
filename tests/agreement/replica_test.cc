#include "agreement/replica.h"
#include "testing/in_process_network.h"
#include "testing/memory_file_system.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace buckthorngrade;
using namespace std::chrono_literals;

namespace {

constexpr auto waitTimeout = 60s; // a condition that is not met by then never will be met
constexpr auto pollPeriod = 2ms;
constexpr auto requestTimeout = 2s;

bool waitFor(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

// State machine that records all commands in order.
class recording_state_machine final : public state_machine
{
public:
    std::string apply(log_index, std::string_view command) override
    {
        const std::lock_guard lock(m_mutex);
        m_text += std::string(command) + '\n';
        return "applied " + std::string(command);
    }
    std::string snapshot() const override { return text(); }
    void restore(log_index, std::string_view snapshot) override
    {
        const std::lock_guard lock(m_mutex);
        m_text = snapshot;
    }
    std::string text() const
    {
        const std::lock_guard lock(m_mutex);
        return m_text;
    }
    bool has(const std::string &command) const
    {
        return ("\n" + text()).find("\n" + command + "\n") != std::string::npos;
    }

private:
    mutable std::mutex m_mutex;
    std::string m_text;
};

// Replicas of one group, each with its own simulated disk.
class replica_cluster
{
public:
    explicit replica_cluster(const std::vector<replica_id> &founders)
        : m_founders(founders)
    {
        for (const replica_id id : founders)
            start(id, true);
    }
    ~replica_cluster()
    {
        for (auto &[id, target] : m_members)
            stop(id);
    }

    // Starts a replica on the disk of `id`. Throws what the constructor of replica throws.
    void start(replica_id id, bool initialize = false, const std::string &cluster = "test")
    {
        member &target = m_members[id];
        if (!target.disk)
            target.disk = std::make_unique<memory_file_system>();
        target.machine = std::make_unique<recording_state_machine>();
        target.transport = m_network.transportOf(id);
        replica_settings settings;
        settings.cluster = cluster;
        settings.self = id;
        settings.members = m_founders;
        settings.folder = "/data";
        settings.initialize = initialize;
        settings.seed = 0;
        settings.tick = 5ms;
        settings.heartbeat = 20ms;
        settings.electionTimeout = 300ms;
        settings.segmentBytes = 4'000;
        settings.snapshotAfterBytes = 8'000;
        target.process = std::make_unique<replica>(settings, *target.disk, *target.machine,
                                                   *target.transport, m_clock, m_events, m_metrics);
        m_network.attach(id, [process = target.process.get()](std::string bytes) {
            process->receive(std::move(bytes));
        });
        target.process->start();
    }
    // Stops the replica. Data that was not synced is lost.
    void stop(replica_id id)
    {
        member &target = m_members[id];
        m_network.detach(id);
        if (target.process)
            target.process->stop();
        target.process.reset();
        target.disk->restart(memory_file_system::lost::all, 1);
    }
    // Ends the process of a replica and starts it on the same files, whose disk stays full until
    // `fullUntil`, as often as it takes for a start to succeed. Returns whether the disk had room
    // at that start.
    bool restartAfterFailure(replica_id id, std::chrono::steady_clock::time_point fullUntil)
    {
        member &target = m_members[id];
        m_network.detach(id);
        if (target.process)
            target.process->stop();
        target.process.reset();
        bool hasRoom = false;
        CPPUNIT_ASSERT(waitFor([&] {
            target.disk->restart(memory_file_system::lost::nothing, 1);
            hasRoom = std::chrono::steady_clock::now() >= fullUntil;
            if (!hasRoom)
                target.disk->setFault(memory_file_system::fault::disk_full);
            try {
                start(id);
                return true;
            } catch (const storage_full &) {
                return false;
            }
        }));
        return hasRoom;
    }
    bool hasFailed(replica_id id)
    {
        const member &target = m_members[id];
        return !target.process || !target.process->membership().failure.empty();
    }
    void emptyDisk(replica_id id) { m_members[id].disk = std::make_unique<memory_file_system>(); }

    replica &at(replica_id id) { return *m_members[id].process; }
    recording_state_machine &machine(replica_id id) { return *m_members[id].machine; }
    memory_file_system &disk(replica_id id) { return *m_members[id].disk; }
    in_process_network &network() { return m_network; }

    // Waits for a leader other than `except` that a quorum confirms.
    replica_id leader(replica_id except = 0)
    {
        replica_id found = 0;
        CPPUNIT_ASSERT(waitFor([&] {
            for (auto &[id, target] : m_members) {
                if (id != except && target.process && target.process->view().isLeader
                    && target.process->confirmRead(requestTimeout).get())
                    found = id;
            }
            return found != 0;
        }));
        return found;
    }

    // Submits the command until it is applied.
    void write(const std::string &command, replica_id except = 0)
    {
        CPPUNIT_ASSERT(waitFor([&] {
            const replica_id to = leader(except);
            return machine(to).has(command)
                || at(to).submit(command, requestTimeout).get().outcome
                == submit_result::status::applied;
        }));
    }

    bool haveEqualState(const std::vector<replica_id> &ids)
    {
        std::set<std::string> states;
        for (const replica_id id : ids)
            states.insert(machine(id).text());
        return states.size() == 1;
    }
    void waitForEqualState(const std::vector<replica_id> &ids)
    {
        CPPUNIT_ASSERT(waitFor([&] { return haveEqualState(ids); }));
    }

    // Waits until the leader lists `id` as a voter with the current incarnation of the replica.
    void waitForVoter(replica_id id)
    {
        CPPUNIT_ASSERT(waitFor([&] {
            const std::uint64_t incarnation = at(id).membership().incarnation;
            for (const member_status &status : at(leader()).membership().members)
                if (status.id == id && status.incarnation == incarnation && status.voter)
                    return true;
            return false;
        }));
    }

private:
    struct member
    {
        std::unique_ptr<memory_file_system> disk;
        std::unique_ptr<recording_state_machine> machine;
        std::unique_ptr<peer_transport> transport;
        std::unique_ptr<replica> process;
    };

    std::vector<replica_id> m_founders;
    in_process_network m_network{0ms};
    system_clock_source m_clock;
    null_event_log m_events;
    metric_registry m_metrics;
    std::map<replica_id, member> m_members;
};

std::string numbered(const std::string &prefix, int number)
{
    return prefix + std::to_string(number);
}

} // namespace

class replica_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replica_test);
    CPPUNIT_TEST(appliesOnAllReplicas);
    CPPUNIT_TEST(partitionedLeaderStopsAcceptingAndConfirming);
    CPPUNIT_TEST(secondLossRightAfterRepairLosesNothing);
    CPPUNIT_TEST(secondLossBeforePromotionOnlyStopsTheGroup);
    CPPUNIT_TEST(catchesUpThroughSnapshots);
    CPPUNIT_TEST(stopsOnFullDiskAndFailedSync);
    CPPUNIT_TEST(disksThatAreFullInTurnDoNotStopTheGroup);
    CPPUNIT_TEST(replacesAndRemovesMembers);
    CPPUNIT_TEST(rejectsForeignFoldersAndSecondInitialization);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a follower that accepts commands and against replicas whose states diverge.
    void appliesOnAllReplicas()
    {
        replica_cluster cluster({1, 2, 3});
        const replica_id leader = cluster.leader();
        const submit_result applied = cluster.at(leader).submit("a", requestTimeout).get();
        if (applied.outcome == submit_result::status::applied)
            CPPUNIT_ASSERT_EQUAL(std::string("applied a"), applied.result);
        cluster.write("a");
        cluster.write("b");
        int attempt = 0;
        std::string refusedCommand;
        CPPUNIT_ASSERT(waitFor([&] {
            const replica_id current = cluster.leader();
            refusedCommand = numbered("refused", ++attempt);
            const submit_result refused
                = cluster.at(current % 3 + 1).submit(refusedCommand, requestTimeout).get();
            return refused.outcome == submit_result::status::not_accepted
                && refused.leader == current;
        }));
        cluster.write("c");
        cluster.waitForEqualState({1, 2, 3});
        CPPUNIT_ASSERT(!cluster.machine(1).has(refusedCommand));
        const std::string before = cluster.machine(1).text();
        for (const replica_id id : {1, 2, 3})
            cluster.stop(id);
        for (const replica_id id : {1, 2, 3})
            cluster.start(id);
        cluster.write("d");
        CPPUNIT_ASSERT_EQUAL(before + "d\n", cluster.machine(cluster.leader()).text());
    }

    // Guards against stale reads and lost writes at a partitioned leader that does not know its
    // successor.
    void partitionedLeaderStopsAcceptingAndConfirming()
    {
        replica_cluster cluster({1, 2, 3});
        cluster.write("before");
        const replica_id old = cluster.leader();
        cluster.network().isolate(old);
        CPPUNIT_ASSERT(!cluster.at(old).confirmRead(requestTimeout).get());
        const auto lost = cluster.at(old).submit("lost", requestTimeout).get();
        CPPUNIT_ASSERT(lost.outcome != submit_result::status::applied);
        CPPUNIT_ASSERT(waitFor([&] { return !cluster.at(old).view().isLeader; }));
        CPPUNIT_ASSERT(waitFor([&] { return !cluster.at(old).view().isConnected; }));
        CPPUNIT_ASSERT(cluster.at(old).submit("refused", requestTimeout).get().outcome
                       == submit_result::status::not_accepted);
        CPPUNIT_ASSERT(!cluster.at(old).confirmRead(requestTimeout).get());
        cluster.write("after", old);
        cluster.network().healAll();
        cluster.write("healed");
        cluster.waitForEqualState({1, 2, 3});
        CPPUNIT_ASSERT(!cluster.machine(old).has("lost") && !cluster.machine(old).has("refused"));
        CPPUNIT_ASSERT(cluster.machine(old).has("after"));
    }

    // Guards against a repaired replica that is counted in a majority before it has all entries
    // that its previous incarnation acknowledged.
    void secondLossRightAfterRepairLosesNothing()
    {
        replica_cluster cluster({1, 2, 3});
        for (int i = 0; i < 50; ++i)
            cluster.write(numbered("first", i));
        const replica_id emptied = cluster.leader() % 3 + 1;
        cluster.stop(emptied);
        cluster.emptyDisk(emptied);
        cluster.write("while away");
        cluster.start(emptied);
        CPPUNIT_ASSERT(!cluster.at(emptied).view().isVoter);
        cluster.waitForVoter(emptied);
        // The leader is lost right after the promotion, with its disk.
        const replica_id second = cluster.leader();
        cluster.stop(second);
        cluster.emptyDisk(second);
        cluster.write("after second loss", second);
        const std::string state = cluster.machine(cluster.leader(second)).text();
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT(state.find(numbered("first", i) + "\n") != std::string::npos);
        CPPUNIT_ASSERT(state.find("while away\n") != std::string::npos);
        cluster.start(second);
        cluster.waitForVoter(second);
        cluster.write("end");
        cluster.waitForEqualState({1, 2, 3});
    }

    // Guards against a majority that includes a replica with only a part of the log. Until its
    // promotion, the loss of a second replica makes the group unavailable; the group works again
    // when that replica returns with its disk.
    void secondLossBeforePromotionOnlyStopsTheGroup()
    {
        replica_cluster cluster({1, 2, 3});
        cluster.write("kept");
        const replica_id leader = cluster.leader();
        const replica_id emptied = leader % 3 + 1;
        const replica_id other = emptied % 3 + 1;
        cluster.stop(emptied);
        cluster.emptyDisk(emptied);
        cluster.stop(other);
        cluster.start(emptied);
        CPPUNIT_ASSERT(waitFor([&] { return !cluster.at(leader).view().isLeader; }));
        const auto refused = cluster.at(leader).submit("refused", 200ms).get();
        CPPUNIT_ASSERT(refused.outcome == submit_result::status::not_accepted);
        CPPUNIT_ASSERT(!cluster.at(emptied).view().isLeader && !cluster.at(emptied).view().isVoter);
        cluster.start(other);
        cluster.waitForVoter(emptied);
        cluster.write("end");
        cluster.waitForEqualState({1, 2, 3});
        CPPUNIT_ASSERT(cluster.machine(emptied).has("kept"));
    }

    // Guards against a replica that cannot catch up because the log entries it needs were
    // compacted.
    void catchesUpThroughSnapshots()
    {
        replica_cluster cluster({1, 2, 3});
        const replica_id away = cluster.leader() % 3 + 1;
        cluster.stop(away);
        for (int i = 0; i < 600; ++i)
            cluster.write(numbered("a command that is long enough to fill the log quickly ", i));
        cluster.start(away);
        cluster.waitForEqualState({1, 2, 3});
        // A restart also recovers from the snapshot instead of the log.
        for (const replica_id id : {1, 2, 3}) {
            cluster.stop(id);
            cluster.start(id);
        }
        cluster.write("end");
        cluster.waitForEqualState({1, 2, 3});
        CPPUNIT_ASSERT(cluster.machine(away).has(
            numbered("a command that is long enough to fill the log quickly ", 0)));
    }

    // Guards against acknowledging data that was lost to a full disk or a failed sync.
    void stopsOnFullDiskAndFailedSync()
    {
        for (const auto fault :
             {memory_file_system::fault::disk_full, memory_file_system::fault::failed_sync}) {
            replica_cluster cluster({1, 2, 3});
            cluster.write("before");
            const replica_id failing = cluster.leader();
            cluster.disk(failing).setFault(fault);
            const auto result = cluster.at(failing).submit("at fault", requestTimeout).get();
            CPPUNIT_ASSERT(result.outcome != submit_result::status::applied);
            CPPUNIT_ASSERT(waitFor([&] {
                // Submits to all replicas, so that the failing one must store data whichever leads.
                for (const replica_id id : {1, 2, 3})
                    cluster.at(id).submit("more", requestTimeout);
                return !cluster.at(failing).membership().failure.empty();
            }));
            CPPUNIT_ASSERT(!cluster.at(failing).view().isLeader);
            CPPUNIT_ASSERT(cluster.at(failing).submit("refused", requestTimeout).get().outcome
                           == submit_result::status::not_accepted);
            CPPUNIT_ASSERT(!cluster.at(failing).confirmRead(requestTimeout).get());
            cluster.write("during", failing);
            cluster.stop(failing);
            cluster.start(failing);
            cluster.write("after");
            cluster.waitForEqualState({1, 2, 3});
            CPPUNIT_ASSERT(cluster.machine(failing).has("before")
                           && cluster.machine(failing).has("during"));
        }
    }

    // Guards against a group that refuses changes, or never answers them, after the disk of each
    // replica was full for a while, one after the other: a failed write to the log, to a new
    // segment, to a snapshot or to the vote must leave files that the next process can use.
    void disksThatAreFullInTurnDoNotStopTheGroup()
    {
        const std::vector<replica_id> all{1, 2, 3, 4, 5};
        constexpr int rounds = 4;
        constexpr auto fullFor = 400ms;
        const std::string filler(300, 'f');
        replica_cluster cluster(all);
        cluster.write("before");
        int written = 0;
        const auto writeSome = [&] {
            cluster.at(cluster.leader())
                .submit(numbered("c", ++written) + filler, requestTimeout)
                .get();
        };
        // A process reports a failed file operation some time after the operation, so it may fail
        // when its disk has room again. A process that was started since then must not fail.
        std::set<replica_id> mayFail;
        std::map<replica_id, std::chrono::steady_clock::time_point> fullUntil;
        const auto restartFailed = [&] {
            for (const replica_id id : all)
                if (cluster.hasFailed(id)) {
                    CPPUNIT_ASSERT(mayFail.contains(id));
                    if (cluster.restartAfterFailure(id, fullUntil[id]))
                        mayFail.erase(id);
                }
        };
        for (int round = 0; round < rounds; ++round)
            for (const replica_id full : all) {
                cluster.disk(full).setFault(memory_file_system::fault::disk_full);
                mayFail.insert(full);
                fullUntil[full] = std::chrono::steady_clock::now() + fullFor;
                while (std::chrono::steady_clock::now() < fullUntil[full]) {
                    writeSome();
                    restartFailed();
                }
                cluster.disk(full).setFault(memory_file_system::fault::none);
                restartFailed();
                cluster.write(numbered("room again ", round * 10 + static_cast<int>(full)));
            }
        cluster.write("after");
        CPPUNIT_ASSERT(waitFor([&] {
            restartFailed();
            return cluster.haveEqualState(all);
        }));
        for (const replica_id id : all)
            CPPUNIT_ASSERT(cluster.machine(id).has("before") && cluster.machine(id).has("after"));
    }

    // Guards against membership changes that leave a replica without the log or the group without a
    // quorum.
    void replacesAndRemovesMembers()
    {
        replica_cluster cluster({1, 2, 3});
        cluster.write("before");
        CPPUNIT_ASSERT(waitFor([&] {
            return cluster.at(cluster.leader()).addMember(9, false).get()
                == membership_result::no_request;
        }));
        // A change that was started is lost if the leader changes before it is committed, so each
        // is repeated until the leader lists its effect.
        const auto isMember = [&](replica_id id) {
            const auto members = cluster.at(cluster.leader()).membership().members;
            return std::ranges::find(members, id, &member_status::id) != members.end();
        };
        const replica_id removed = cluster.leader() % 3 + 1;
        cluster.network().isolate(removed); // so that it cannot become the leader
        cluster.start(4);
        CPPUNIT_ASSERT(waitFor([&] {
            cluster.at(cluster.leader()).replaceMember(removed, 4).get();
            return isMember(4);
        }));
        cluster.waitForVoter(4);
        cluster.stop(removed);
        cluster.start(5);
        CPPUNIT_ASSERT(waitFor([&] {
            cluster.at(cluster.leader()).addMember(5, true).get();
            return isMember(5);
        }));
        cluster.write("after");
        std::vector<replica_id> present{1, 2, 3, 4, 5};
        std::erase(present, removed);
        cluster.waitForEqualState(present);
        CPPUNIT_ASSERT(!cluster.at(5).view().isVoter);
        CPPUNIT_ASSERT(waitFor([&] {
            cluster.at(cluster.leader()).removeMember(5).get();
            return !isMember(5);
        }));
        CPPUNIT_ASSERT(waitFor([&] {
            const replica_id leader = cluster.leader();
            return cluster.at(leader).removeMember(leader).get()
                == membership_result::quorum_at_risk;
        }));
        cluster.write("end");
        CPPUNIT_ASSERT(waitFor([&] {
            return !isMember(5) && !isMember(removed)
                && cluster.at(cluster.leader()).membership().members.size() == 3;
        }));
    }

    // Guards against the use of another replica's folder and against a second initialization of the
    // group.
    void rejectsForeignFoldersAndSecondInitialization()
    {
        replica_cluster cluster({1, 2, 3});
        cluster.write("before");
        const replica_id stopped = cluster.leader() % 3 + 1;
        const replica_id other = stopped % 3 + 1;
        cluster.stop(stopped);
        CPPUNIT_ASSERT_THROW(cluster.start(stopped, true), agreement_error);
        CPPUNIT_ASSERT_THROW(cluster.start(stopped, false, "foreign"), storage_corruption);
        cluster.stop(other);
        cluster.disk(other).copyTo(cluster.disk(stopped));
        CPPUNIT_ASSERT_THROW(cluster.start(stopped), storage_corruption);
        cluster.emptyDisk(stopped);
        cluster.start(stopped);
        cluster.start(other);
        cluster.waitForVoter(stopped);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_test);
