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

// Identity and limits of a replica. Times are in ticks because the core has no clock.
struct core_settings
{
    replica_id self = 0;
    std::uint64_t incarnation = 0;
    bool founding = false; // the data folder was initialized as that of a founding member
    std::vector<replica_id> peers; // a non-voting replica sends its join requests to these
    std::uint64_t seed = 1; // of the random election timeouts
    // The leader adds replicas that request to join without an operator while the group has fewer
    // members than this. 0: only operators add members.
    std::size_t autoJoinMaxMembers = 0;
    // With autoJoinMaxMembers: the leader replaces a member that it has not heard from for
    // `silentMemberTicks` with a replica that requests to join, and removes one that it has not
    // heard from for `removeMemberTicks` unless fewer than `minVoters` voters would remain. A
    // member that comes back afterwards requests to join.
    unsigned silentMemberTicks = 40;
    unsigned removeMemberTicks = 100;
    std::size_t minVoters = 3;

    unsigned electionTicks = 20; // the timeout is random in [electionTicks, 2 * electionTicks)
    unsigned heartbeatTicks = 3;

    std::size_t maxCommandBytes = 1U << 20;
    std::size_t maxBatchBytes = 512U << 10; // per message; an entry larger than this is sent alone
    std::size_t maxBatchEntries = 512;
    std::size_t maxInFlight = 64; // unacknowledged append messages per peer
    std::size_t maxInFlightBytes = 8U << 20;
    std::size_t maxUncommittedBytes = 32U << 20; // further proposals are refused
    std::size_t chunkBytes = 256U << 10; // size of a snapshot chunk
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

// State of the state machine after all entries up to `index` are applied.
struct log_snapshot
{
    log_index index = 0;
    std::uint64_t term = 0;
    wire::membership members; // as of `index`
    std::string data;
};

// State recovered from disk at the start. The base is the entry that precedes the first one in
// `entries`; its index is 0 if the log is complete.
struct core_state
{
    hard_state hardState;
    log_index baseIndex = 0;
    std::uint64_t baseTerm = 0;
    wire::membership baseMembers;
    std::shared_ptr<const log_snapshot> snapshot; // the newest; its index is >= baseIndex
    std::deque<wire::log_entry> entries;
};

struct read_result
{
    std::uint64_t id = 0;
    bool confirmed = false;
    log_index index = 0; // the read may be served once this index is applied
};

// Work for the driver, which must do it in this order: send `messagesBeforeSync`; save
// `hardState`; store `snapshot` and discard the log; append `entries`, where the first one replaces
// all stored entries with the same or a higher index; sync; call markPersisted(); send
// `messagesAfterSync`; restore the state machine from `snapshot`; apply `committed`.
struct core_output
{
    // Messages that do not depend on what this replica has synced.
    std::vector<wire::peer_message> messagesBeforeSync;
    std::optional<hard_state> hardState;
    std::shared_ptr<const log_snapshot> snapshot;
    std::vector<wire::log_entry> entries;
    std::vector<wire::peer_message> messagesAfterSync;
    std::vector<wire::log_entry> committed;
    std::vector<read_result> reads;

    bool isEmpty() const;
    bool needsSync() const { return hardState || snapshot || !entries.empty(); }
};

enum class membership_result {
    started, // the entry is in the leader's log but not yet committed
    not_leader,
    busy, // another change, or the first entry of the leader's term, is not committed yet
    no_request, // the replica has sent no recent request to join
    not_member,
    already_member,
    quorum_at_risk, // no majority of the new voters is reachable, or the member is the leader
};

struct member_status
{
    replica_id id = 0;
    std::uint64_t incarnation = 0;
    bool voter = false;
    log_index match = 0; // highest replicated index; known only to the leader
    bool recentlyHeard = false;
};

enum class core_role { follower, pre_candidate, candidate, leader };

// Raft consensus as a deterministic state machine without I/O: its inputs are messages, ticks and
// requests, and takeOutput() returns what to store, send and apply.
//
// The voters elect at most one leader per term by majority. Only the leader appends entries. An
// entry is committed once a majority of the voters has synced it and the leader has committed an
// entry of its own term at or after it. A replica votes only for a candidate whose log is at least
// as up to date as its own, so every later leader has all committed entries.
//
// Membership changes by one voter at a time, and a change takes effect as soon as its entry is in a
// replica's log, so majorities of consecutive memberships overlap. A member is identified by id and
// incarnation. A replica that lost its disk no longer knows its votes and acknowledgements, so it
// returns with a new incarnation. That incarnation is not counted in any majority until a leader
// has replaced the old one with a learner and has then promoted the learner to a voter.
class consensus_core
{
public:
    consensus_core(const core_settings &settings, core_state state);

    void tick();
    // Ignores messages that are addressed to another replica or incarnation.
    void receive(const wire::peer_message &message);

    // Appends a command to the log. Returns its index, or nullopt if this replica is not the leader
    // or a size limit is exceeded.
    std::optional<log_index> propose(std::string command);
    // Starts a confirmation that this replica is still the leader. Returns the id that the result
    // in core_output::reads will have, or nullopt if this replica is not the leader.
    std::optional<std::uint64_t> requestRead();

    // Adds a replica that has requested to join. With `staysLearner` it is never promoted to a
    // voter.
    membership_result addMember(replica_id id, bool staysLearner);
    membership_result removeMember(replica_id id);
    // Replaces `oldId` with a learner that has requested to join as `newId`, which may be the same
    // id. If the ids are equal, the leader also does so without a call once the old incarnation no
    // longer replies.
    membership_result replaceMember(replica_id oldId, replica_id newId);

    core_output takeOutput();
    // Reports that everything in the last output is synced.
    void markPersisted();

    // Becomes a follower in the same term. The driver calls it after a storage failure.
    void stepDown();

    // Sets a newer snapshot of this replica, which must be stored already, and drops the entries up
    // to `keepAfter`.
    void compact(std::shared_ptr<const log_snapshot> snapshot, log_index keepAfter);

    core_role role() const { return m_role; }
    std::uint64_t term() const { return m_hardState.term; }
    replica_id leader() const { return m_leader; }
    log_index commitIndex() const { return m_commitIndex; }
    log_index lastIndex() const { return m_baseIndex + m_entries.size(); }
    log_index baseIndex() const { return m_baseIndex; }
    // Returns 0 for an index that is not in the log.
    std::uint64_t termAt(log_index index) const;
    bool isVoter() const;
    // On the leader: whether a majority of the voters was heard within the last election timeout.
    // On others: whether a leader was heard within it.
    bool isConnected() const;
    const wire::membership &members() const { return m_memberships.rbegin()->second; }
    const wire::membership &membersAt(log_index index) const;
    std::vector<member_status> status() const;
    const std::deque<wire::log_entry> &entries() const { return m_entries; }

private:
    enum class peer_state { probe, replicate, snapshot };

    // The leader's replication state of another member.
    struct progress
    {
        std::uint64_t incarnation = 0; // 0: a founding member that has not replied yet
        peer_state state = peer_state::probe;
        log_index match = 0;
        log_index next = 1;
        std::uint64_t lastHeardTick = 0; // tick of the last reply
        bool hasReplied = false;
        std::uint64_t ackedRound = 0;
        bool probeSent = false;
        std::deque<std::pair<log_index, std::size_t>> inFlight; // last index, bytes
        std::size_t inFlightBytes = 0;
        std::shared_ptr<const log_snapshot> snapshot;
        std::uint64_t snapshotChecksum = 0;
        std::size_t sentOffset = 0;
        std::size_t ackedOffset = 0;
        bool offsetChanged = false; // since the last heartbeat
    };

    struct pending_read
    {
        std::uint64_t id = 0;
        log_index index = 0;
        std::uint64_t round = 0; // 0: waits for the first entry of the term to be committed
    };

    struct join_attempt
    {
        std::uint64_t incarnation = 0;
        std::uint64_t lastHeardTick = 0;
    };

    struct incoming_snapshot
    {
        log_snapshot snapshot;
        std::uint64_t total;
        std::uint64_t checksum;
    };

    const wire::log_member *findMember(replica_id id) const;
    static bool hasIncarnation(const wire::log_member &member, std::uint64_t incarnation,
                               bool founding);
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
    void requestVotes(bool preVote, std::uint64_t term);
    void countVotes();
    void failReads();

    void handleVoteRequest(const wire::peer_message &message);
    void handleVoteReply(const wire::peer_message &message);
    void handleAppend(const wire::peer_message &message);
    void handleAppendReply(const wire::peer_message &message);
    void handleChunk(const wire::peer_message &message);
    void handleChunkReply(const wire::peer_message &message);
    void handleJoin(const wire::peer_message &message);
    void requestToJoin();
    bool admitJoiningReplica();
    bool removeSilentMember();
    std::optional<replica_id> findSilentMember() const;
    unsigned silenceOf(const progress &peer) const
    {
        return static_cast<unsigned>(m_currentTick - peer.lastHeardTick);
    }
    progress *recordReply(const wire::peer_message &message);
    void acceptLeader(const wire::peer_message &message);

    bool isUpToDate(log_index lastIndex, std::uint64_t lastTerm) const;
    log_index findLastWithTermAtMost(log_index from, std::uint64_t term) const;
    void appendEntry(wire::log_entry entry);
    void truncateFrom(log_index index);
    void advanceCommit(log_index index);
    void updateCommit();
    void installSnapshot(log_snapshot snapshot);

    void leaderTick();
    void maintainMembership();
    void updateProgressMap();
    bool canChangeMembership() const;
    membership_result checkQuorumReachable(const wire::membership &changed) const;
    void appendMembership(wire::membership changed);
    bool isRecent(std::uint64_t tick) const
    {
        return m_currentTick - tick < m_settings.electionTicks;
    }

    // A replica requests to join every one to two election timeouts. The limit of five tolerates
    // lost requests.
    bool isRecentJoin(const join_attempt &attempt) const
    {
        return m_currentTick - attempt.lastHeardTick < 5 * m_settings.electionTicks;
    }

    void replicate();
    void sendEntries(const wire::log_member &member, progress &peer);
    void sendHeartbeat(const wire::log_member &member, progress &peer);
    wire::append_request &addAppend(const wire::log_member &member, log_index previous);
    void sendHeartbeats();
    void sendChunks(const wire::log_member &member, progress &peer);
    void startSnapshot(progress &peer);
    void confirmReads();

    core_settings m_settings;
    std::mt19937_64 m_random;

    hard_state m_hardState;
    hard_state m_savedHardState;
    log_index m_baseIndex = 0;
    std::uint64_t m_baseTerm = 0;
    std::deque<wire::log_entry> m_entries;
    std::map<log_index, wire::membership> m_memberships; // by entry index; the first is the base
    std::shared_ptr<const log_snapshot> m_snapshot;

    core_role m_role = core_role::follower;
    replica_id m_leader = 0;
    log_index m_commitIndex = 0;
    log_index m_deliveredIndex = 0; // highest committed index returned by takeOutput()
    log_index m_stableIndex = 0; // highest synced index
    log_index m_persistingIndex = 0; // highest index returned by takeOutput() for storage
    std::uint64_t m_currentTick = 0;
    std::uint64_t m_leaderLastHeardTick = 0;
    bool m_leaderHeard = false;
    unsigned m_electionElapsed = 0;
    unsigned m_electionTimeout = 0;
    unsigned m_heartbeatElapsed = 0;
    std::set<replica_id> m_votes;

    std::map<replica_id, progress> m_progress;
    log_index m_termStartIndex = 0; // index of the first entry of the leader's term
    // Index that a learner must have synced before it is promoted.
    std::map<replica_id, log_index> m_promotionThresholds;
    std::map<replica_id, join_attempt> m_joinRequests;
    std::size_t m_uncommittedBytes = 0;
    std::uint64_t m_round = 0;
    std::uint64_t m_nextReadId = 1;
    std::deque<pending_read> m_pendingReads;

    std::optional<incoming_snapshot> m_incomingSnapshot;
    std::shared_ptr<const log_snapshot> m_snapshotToInstall; // not yet returned by takeOutput()
    std::vector<wire::peer_message> m_messagesBeforeSync;
    std::vector<wire::peer_message> m_messagesAfterSync;
    std::vector<read_result> m_readResults;
};

} // namespace buckthorngrade
