#pragma once

#include "agreement/consensus_core.h"
#include "agreement/file_system.h"
#include "agreement/peer_transport.h"
#include "agreement/replica_storage.h"
#include "agreement/replicator.h"
#include "base/bounded_ring.h"
#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace buckthorngrade {

struct replica_settings
{
    std::string cluster;
    replica_id self = 0;
    std::vector<replica_id> members; // founding members, including this one if it is one of them
    std::filesystem::path folder;
    // Creates the data folder of a founding member. Without it, an empty folder is a repair: the
    // replica starts with a new incarnation and no vote, and asks the members to join.
    bool initialize = false;
    bool keepsExisting = false; // with `initialize`: a folder that has been made is used as it is
    std::uint64_t seed = 0; // of election timeouts and the incarnation; 0: random
    // The leader adds replicas that ask to join up to this many members; 0: only operators do.
    std::size_t automaticMembers = 0;

    std::chrono::milliseconds tick{50};
    std::chrono::milliseconds heartbeat{150};
    std::chrono::milliseconds electionTimeout{1'000}; // at least; at most twice this
    std::uint64_t segmentBytes = 4U << 20;
    // A snapshot is taken when the log since the last one is larger than this and than the
    // snapshot.
    std::uint64_t snapshotAfterBytes = 8U << 20;
    std::size_t ringItems = 16'384; // requests and messages that wait
    std::size_t ringBytes = 64U << 20;
};

// A replica of the log. One thread drives the protocol core, the storage and the state machine. It
// syncs once for all requests and messages that wait, and only then acknowledges them.
//
// A leader that refuses a command because too much is not committed yet names itself as the leader;
// the command may be submitted again later.
//
// After a failed file operation the replica stops for good and acknowledges nothing more; the
// process should exit and start again.
class replica final : public replicator
{
public:
    // Reads the data folder and restores the state machine. Throws agreement_error if the folder is
    // damaged or another's, or for `initialize` if it was initialized before. All arguments must
    // outlive this. Nothing is sent before start().
    replica(const replica_settings &settings, file_system &files, state_machine &machine,
            peer_transport &transport, const clock_source &clock, event_log &events,
            metric_registry &metrics);
    ~replica() override;
    replica(const replica &) = delete;
    replica &operator=(const replica &) = delete;

    // `onFailure` is called once, on the replica's thread, if it stops because of an error. It may
    // be empty.
    void start(std::function<void(const std::string &what)> onFailure = {});
    // Requests that wait end as unknown. Idempotent.
    void stop();

    std::future<submit_result> submit(std::string command,
                                      std::chrono::milliseconds timeout) override;
    std::future<bool> confirmRead(std::chrono::milliseconds timeout) override;
    role_view view() const override;

    // A message of another replica. Never blocks; drops the message if too many wait.
    void receive(std::string bytes);

    struct membership_view
    {
        std::uint64_t incarnation = 0; // of this replica
        std::vector<member_status> members;
        log_index lastIndex = 0;
        std::string failure; // why the replica stopped; empty while it runs
    };
    membership_view membership() const;

    // Only the leader accepts these. `started` means that the change is in its log; membership()
    // shows when it is in force. See consensus_core.
    std::future<membership_result> addMember(replica_id id, bool staysLearner);
    std::future<membership_result> removeMember(replica_id id);
    std::future<membership_result> replaceMember(replica_id oldId, replica_id newId);

private:
    struct submit_request
    {
        std::string command;
        std::promise<submit_result> promise;
        steady_time deadline;
    };
    struct read_request
    {
        std::promise<bool> promise;
        steady_time deadline;
    };
    struct change_request
    {
        std::function<membership_result(consensus_core &)> change;
        std::promise<membership_result> promise;
    };
    struct peer_input
    {
        std::string bytes;
    };
    using input = std::variant<peer_input, submit_request, read_request, change_request>;

    struct pending_submit
    {
        std::uint64_t term = 0;
        std::promise<submit_result> promise;
        steady_time deadline;
    };
    struct pending_read
    {
        std::promise<bool> promise;
        steady_time deadline;
        bool confirmed = false;
        log_index index = 0;
    };

    core_state openFolder();
    std::future<membership_result> change(std::function<membership_result(consensus_core &)> call);
    void run();
    void runOnce(steady_time &nextTick);
    void handle(input item);
    void handlePeer(const std::string &bytes);
    void handleSubmit(submit_request request);
    void handleRead(read_request request);
    void process();
    void store(const core_output &output);
    void send(const std::vector<wire::peer_message> &messages);
    void apply(const wire::log_entry &entry);
    void finishReads();
    void expire(steady_time now);
    void takeSnapshotIfDue();
    void finishSnapshot();
    void publish();
    void fail(event_id event, const std::string &what);
    void abandonRequests();

    replica_settings m_settings;
    state_machine &m_machine;
    peer_transport &m_transport;
    const clock_source &m_clock;
    event_log &m_events;
    replica_storage m_storage;
    core_settings m_coreSettings;
    std::unique_ptr<consensus_core> m_core;

    log_index m_applied = 0;
    log_index m_snapshotIndex = 0;
    std::uint64_t m_snapshotBytes = 0; // size of the last snapshot
    std::uint64_t m_bytesSinceSnapshot = 0;
    // A snapshot that a thread of its own stores, because that may take longer than an election
    // timeout. The destructor of the future waits for the thread.
    struct stored_later
    {
        std::shared_ptr<const log_snapshot> snapshot;
        std::future<void> stored;
    };
    std::optional<stored_later> m_storing;
    std::map<log_index, pending_submit> m_submits;
    std::map<std::uint64_t, pending_read> m_reads; // by id

    bounded_ring<input> m_ring;
    std::atomic<std::size_t> m_ringBytes = 0;
    std::atomic<bool> m_stopping = false;
    std::function<void(const std::string &)> m_onFailure;
    std::thread m_thread;

    mutable std::mutex m_viewMutex;
    role_view m_view;
    membership_view m_membership;

    metric_counter &m_committedCount;
    metric_counter &m_droppedCount;
    metric_summary &m_syncTime;
};

} // namespace buckthorngrade
