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
    // Initializes the data folder as that of a founding member. Without it, an empty folder means
    // that a replica is being repaired: it starts with a new incarnation and without a vote, and
    // requests to join the members.
    bool initialize = false;
    bool allowInitialized = false; // with `initialize`: an initialized folder is used, not an error
    std::uint64_t seed = 0; // of the election timeouts; 0: random
    // The leader adds replicas that request to join up to this many members. 0: only operators add
    // members.
    std::size_t autoJoinMaxMembers = 0;
    // With autoJoinMaxMembers, see core_settings. The first time is longer than an election takes,
    // the second one longer than a restart.
    std::chrono::milliseconds replaceSilentAfter{2'000};
    std::chrono::milliseconds removeSilentAfter{5'000};
    std::size_t minVoters = 3;

    std::chrono::milliseconds tick{50};
    std::chrono::milliseconds heartbeat{150};
    std::chrono::milliseconds electionTimeout{1'000}; // minimum; the maximum is twice this
    std::uint64_t segmentBytes = 4U << 20;
    // A snapshot is taken when the log since the last one exceeds both this size and the size of
    // the last snapshot.
    std::uint64_t snapshotAfterBytes = 8U << 20;
    std::size_t ringItems = 16'384; // queued requests and messages
    std::size_t ringBytes = 64U << 20; // of queued messages
};

// A replica of the log. One thread drives the consensus core, the storage and the state machine. It
// syncs once for a batch of queued requests and messages and acknowledges them only after that.
//
// A leader that refuses a command because too many bytes are uncommitted reports itself as the
// leader in the result; the caller may submit the command again later.
//
// After a failed file operation the replica stops permanently and acknowledges nothing more. The
// process should exit and be restarted.
class replica final : public replicator
{
public:
    // Reads the data folder and restores the state machine. Throws agreement_error if the folder is
    // damaged or belongs to another replica, or if `initialize` is set and the folder is already
    // initialized (unless `allowInitialized`). All arguments must outlive this. Nothing is sent
    // before start().
    replica(const replica_settings &settings, file_system &files, state_machine &machine,
            peer_transport &transport, const clock_source &clock, event_log &events,
            metric_registry &metrics);
    ~replica() override;
    replica(const replica &) = delete;
    replica &operator=(const replica &) = delete;

    // `onFailure` is called once, on the replica's thread, if the replica stops because of an
    // error. It may be empty.
    void start(std::function<void(const std::string &what)> onFailure = {});
    // Stops the thread. Commands in the log end as `unknown`, queued ones as `not_accepted`, and
    // reads as not confirmed. Idempotent.
    void stop();

    std::future<submit_result> submit(std::string command,
                                      std::chrono::milliseconds timeout) override;
    std::future<bool> confirmRead(std::chrono::milliseconds timeout) override;
    role_view view() const override;

    // Queues a message from another replica. Never blocks; drops the message if the queue is full.
    void receive(std::string bytes);

    struct membership_view
    {
        std::uint64_t incarnation = 0; // of this replica
        std::vector<member_status> members;
        log_index lastIndex = 0;
        std::string failure; // why the replica stopped; empty while it runs
    };
    membership_view membership() const;

    // Membership changes, which only the leader accepts. `started` means that the change is in its
    // log but not yet committed; membership() shows the current members. See consensus_core.
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
    std::future<membership_result>
    requestChange(std::function<membership_result(consensus_core &)> call);
    void run();
    void runOnce(steady_time &nextTick);
    void handle(input item);
    void handlePeerMessage(const std::string &bytes);
    void handleSubmit(submit_request request);
    void handleRead(read_request request);
    void processOutput();
    void store(const core_output &output);
    void send(const std::vector<wire::peer_message> &messages);
    void apply(const wire::log_entry &entry);
    void finishReads();
    void expireRequests(steady_time now);
    void takeSnapshotIfDue();
    void finishSnapshot();
    void publishStatus();
    void fail(event_id event, const std::string &what);
    void failPendingRequests();

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
    // A snapshot that a separate thread is storing, because that may take longer than an election
    // timeout. The destructor of the future waits for the thread.
    struct pending_snapshot
    {
        std::shared_ptr<const log_snapshot> snapshot;
        std::future<void> stored;
    };
    std::optional<pending_snapshot> m_pendingSnapshot;
    std::map<log_index, pending_submit> m_pendingSubmits;
    std::map<std::uint64_t, pending_read> m_pendingReads; // by id

    bounded_ring<input> m_ring;
    std::atomic<std::size_t> m_ringBytes = 0;
    std::atomic<bool> m_stopping = false;
    std::function<void(const std::string &)> m_onFailure;
    std::thread m_thread;

    mutable std::mutex m_viewMutex;
    role_view m_view;
    membership_view m_membership;

    metric_counter &m_appliedCount;
    metric_counter &m_droppedCount;
    metric_summary &m_storeTime;
};

} // namespace buckthorngrade
