#pragma once

#include "agreement.pb.h"
#include "agreement/replicator.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace buckthorngrade {

// Who a replica is, and its limits. Times are in ticks, because the core has no clock.
struct core_settings
{
    replica_id self = 0;
    std::uint64_t incarnation = 0;
    bool founding = false; // the data folder was created as that of a founding member
    std::vector<replica_id> peers; // whom a replica without a vote asks to join
    std::uint64_t seed = 1; // of election timeouts
    // The leader adds replicas that ask to join by itself while there are fewer members than this;
    // 0: only operators add members.
    std::size_t automaticMembers = 0;
    // With automaticMembers: a member that was silent for so long gives way to one that asks to
    // join once the group is full.
    unsigned abandonTicks = 400;

    unsigned electionTicks = 20; // timeouts are drawn from electionTicks to 2 * electionTicks - 1
    unsigned heartbeatTicks = 3;

    std::size_t maxCommandBytes = 1U << 20;
    std::size_t maxBatchBytes = 512U << 10; // of one message; a single larger entry is still sent
    std::size_t maxBatchEntries = 512;
    std::size_t maxInFlight = 64; // append messages to one peer that are not acknowledged
    std::size_t maxInFlightBytes = 8U << 20;
    std::size_t maxUncommittedBytes = 32U << 20; // proposals beyond this are refused
    std::size_t chunkBytes = 256U << 10; // of a snapshot
    std::size_t maxChunksInFlight = 8;
    std::size_t maxSnapshotBytes = 1U << 30;
};

struct hard_state
{
    std::uint64_t term = 0;
    replica_id votedFor = 0;
    std::uint64_t votedIncarnation = 0;
    bool operator==(const hard_state &) const = default;
};

// The state machine's state after applying all entries up to `index`.
struct log_snapshot
{
    log_index index = 0;
    std::uint64_t term = 0;
    wire::membership members; // as of `index`
    std::string data;
};

// What was found on disk at the start. `base` has no data if nothing precedes the log.
struct core_state
{
    hard_state hard;
    log_index baseIndex = 0; // the entry before the first one in `entries`
    std::uint64_t baseTerm = 0;
    wire::membership baseMembers;
    std::shared_ptr<const log_snapshot> snapshot; // newest; its index is at or above baseIndex
    std::deque<wire::log_entry> entries;
};

struct confirmed_read
{
    std::uint64_t id = 0;
    bool confirmed = false;
    log_index index = 0; // the read sees everything up to here
};

// Work for the driver, in this order: send `unsynced`; save `hard`; store `snapshot` and discard
// the log; append `entries`, of which the first may replace entries with the same or a higher
// index; sync; call persisted(); send `messages`; restore `snapshot`; apply `committed`.
struct core_output
{
    std::vector<wire::peer_message> unsynced; // promise nothing about this replica's disk
    std::optional<hard_state> hard;
    std::shared_ptr<const log_snapshot> snapshot;
    std::vector<wire::log_entry> entries;
    std::vector<wire::peer_message> messages;
    std::vector<wire::log_entry> committed;
    std::vector<confirmed_read> reads;

    bool isEmpty() const;
    bool needsSync() const { return hard || snapshot || !entries.empty(); }
};

enum class membership_result {
    started, // the entry is in the leader's log
    not_leader,
    busy, // another change or the first entry of the term is not committed yet
    no_request, // the replica did not ask to join recently
    not_member,
    already_member,
    quorum_at_risk, // the remaining voters that answer are no majority, or it is the leader itself
};

struct member_status
{
    replica_id id = 0;
    std::uint64_t incarnation = 0;
    bool voter = false;
    log_index match = 0; // known only to the leader
    bool recentlyHeard = false;
};

enum class core_role { follower, pre_candidate, candidate, leader };

// Replicated log as a pure state machine: messages, ticks and requests go in, takeOutput() returns
// what to store, send and apply.
//
// The protocol elects one leader a term by majority vote. Only the leader adds entries, and an
// entry is committed once a majority of the voters has synced it and the leader has an entry of its
// own term committed at or after it. Votes go only to candidates whose log is at least as new, so
// every later leader has all committed entries.
//
// Membership changes one voter at a time and takes effect as soon as the entry is in a replica's
// log, so any two majorities of consecutive memberships overlap. A member is a pair of id and
// incarnation. A replica whose disk was emptied has forgotten its votes and acknowledgements: it
// comes back with a new incarnation, which counts for nothing until a leader has replaced the old
// incarnation with a learner and, later, has made that learner a voter.
class consensus_core
{
public:
    consensus_core(const core_settings &settings, core_state state);

    void tick();
    // Ignores messages that are for another replica or incarnation.
    void receive(const wire::peer_message &message);

    // Adds a command if this is the leader. Returns its index, or nothing if it was refused.
    std::optional<log_index> propose(std::string command);
    // Asks for confirmation that this is still the leader. Returns the id that the output will
    // name, or nothing if this is not the leader.
    std::optional<std::uint64_t> requestRead();

    // Adds a replica that asked to join.
    membership_result addMember(replica_id id, bool staysLearner);
    membership_result removeMember(replica_id id);
    // Replaces `oldId` with a learner that asked to join as `newId`, which may be the same id. The
    // leader does so by itself for an equal id once the old incarnation stopped answering.
    membership_result replaceMember(replica_id oldId, replica_id newId);

    core_output takeOutput();
    // Everything in the last output is synced.
    void persisted();

    // Gives up leadership without a new term; the driver calls it when its disk fails.
    void stepDown();

    // A newer snapshot of this replica, already stored. Entries up to `keepAfter` are dropped.
    void compact(std::shared_ptr<const log_snapshot> snapshot, log_index keepAfter);

    core_role role() const { return m_role; }
    std::uint64_t term() const { return m_hard.term; }
    replica_id leader() const { return m_leader; }
    log_index commitIndex() const { return m_commit; }
    log_index lastIndex() const { return m_baseIndex + m_entries.size(); }
    log_index baseIndex() const { return m_baseIndex; }
    // 0 for an index that is not in the log.
    std::uint64_t termAt(log_index index) const;
    bool isVoter() const;
    // As a leader: a majority answered within the last election timeout; otherwise: a leader was
    // heard.
    bool isConnected() const;
    const wire::membership &members() const { return m_memberships.rbegin()->second; }
    const wire::membership &membersAt(log_index index) const;
    std::vector<member_status> status() const;
    const std::deque<wire::log_entry> &entries() const { return m_entries; }

private:
    enum class peer_state { probe, replicate, snapshot };

    // What the leader knows about another member.
    struct progress
    {
        std::uint64_t incarnation = 0; // 0: a founding member that has not answered yet
        peer_state state = peer_state::probe;
        log_index match = 0;
        log_index next = 1;
        std::uint64_t heardAt = 0; // tick
        bool hasAnswered = false;
        std::uint64_t ackedRound = 0;
        bool probeSent = false;
        std::deque<std::pair<log_index, std::size_t>> inFlight; // last index and bytes of a message
        std::size_t inFlightBytes = 0;
        std::shared_ptr<const log_snapshot> snapshot;
        std::uint64_t snapshotChecksum = 0;
        std::size_t sentOffset = 0;
        std::size_t ackedOffset = 0;
        bool offsetMoved = false; // since the last heartbeat
    };

    struct pending_read
    {
        std::uint64_t id = 0;
        log_index index = 0;
        std::uint64_t round = 0; // 0: the first entry of the term is not committed yet
    };

    struct join_attempt
    {
        std::uint64_t incarnation = 0;
        std::uint64_t heardAt = 0;
    };

    struct incoming_snapshot
    {
        log_snapshot snapshot;
        std::uint64_t total;
        std::uint64_t checksum;
    };

    const wire::log_member *findMember(replica_id id) const;
    static bool isSame(const wire::log_member &member, std::uint64_t incarnation, bool founding);
    bool isSelf(const wire::log_member &member) const;
    template <typename F>
    bool hasMajority(const wire::membership &members, F accepts) const;

    wire::peer_message &addMessage(std::vector<wire::peer_message> &out, replica_id to,
                                   std::uint64_t incarnation, std::uint64_t term) const;
    wire::peer_message &addReply(const wire::peer_message &to);

    void becomeFollower(std::uint64_t term, replica_id leader);
    void startPreVote();
    void startElection();
    void becomeLeader();
    void resetElectionTimer();
    void askForVotes(bool preVote, std::uint64_t term);
    void countVotes();
    void failReads();

    void handleVoteRequest(const wire::peer_message &message);
    void handleVoteReply(const wire::peer_message &message);
    void handleAppend(const wire::peer_message &message);
    void handleAppendReply(const wire::peer_message &message);
    void handleChunk(const wire::peer_message &message);
    void handleChunkReply(const wire::peer_message &message);
    void handleJoin(const wire::peer_message &message);
    bool admitJoining();
    progress *acknowledgedBy(const wire::peer_message &message);
    void acceptLeader(const wire::peer_message &message);

    bool isUpToDate(log_index lastIndex, std::uint64_t lastTerm) const;
    log_index findAtMostTerm(log_index from, std::uint64_t term) const;
    void appendEntry(wire::log_entry entry);
    void truncateFrom(log_index index);
    void advanceCommit(log_index index);
    void updateCommit();
    void installSnapshot(log_snapshot snapshot);

    void leaderTick();
    void maintainMembership();
    void syncProgress();
    bool canChangeMembership() const;
    membership_result checkChange(const wire::membership &changed) const;
    void appendMembership(wire::membership changed);
    bool isRecent(std::uint64_t tick) const { return m_now - tick < m_settings.electionTicks; }

    // Requests to join are sent every one to two election timeouts and may be lost.
    bool isRecentJoin(const join_attempt &attempt) const
    {
        return m_now - attempt.heardAt < 5 * m_settings.electionTicks;
    }

    void replicate();
    void sendEntries(const wire::log_member &member, progress &peer);
    void sendHeartbeat(const wire::log_member &member, progress &peer);
    wire::append_request &addAppend(const wire::log_member &member, log_index previous);
    void sendHeartbeats();
    void sendChunks(const wire::log_member &member, progress &peer);
    void startSnapshot(progress &peer);
    void checkReads();

    core_settings m_settings;
    std::mt19937_64 m_random;

    hard_state m_hard;
    hard_state m_savedHard;
    log_index m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    std::deque<wire::log_entry> m_entries;
    std::map<log_index, wire::membership> m_memberships; // by index of the entry, from the base on
    std::shared_ptr<const log_snapshot> m_snapshot;

    core_role m_role = core_role::follower;
    replica_id m_leader = 0;
    log_index m_commit = 0;
    log_index m_handedOut = 0; // committed entries up to here were in an output
    log_index m_stable = 0; // synced up to here
    log_index m_taken = 0; // in an output up to here
    std::uint64_t m_now = 0;
    std::uint64_t m_leaderHeardAt = 0;
    bool m_leaderHeard = false;
    unsigned m_electionElapsed = 0;
    unsigned m_electionTimeout = 0;
    unsigned m_heartbeatElapsed = 0;
    std::set<replica_id> m_votes;

    std::map<replica_id, progress> m_progress;
    log_index m_termStart = 0; // index of the first entry of the leader's term
    std::map<replica_id, log_index> m_promoteAfter;
    std::map<replica_id, join_attempt> m_joins;
    std::size_t m_uncommittedBytes = 0;
    std::uint64_t m_round = 0;
    std::uint64_t m_nextReadId = 1;
    std::deque<pending_read> m_reads;

    std::optional<incoming_snapshot> m_incoming;
    std::shared_ptr<const log_snapshot> m_installed; // not in an output yet
    std::vector<wire::peer_message> m_unsynced;
    std::vector<wire::peer_message> m_messages;
    std::vector<confirmed_read> m_finishedReads;
};

} // namespace buckthorngrade
