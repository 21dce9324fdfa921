#include "agreement/consensus_core.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <iterator>

namespace buckthorngrade {

namespace {

// Limits the replicas whose join requests are tracked, because the ids come from the network.
constexpr std::size_t maxTrackedJoins = 64;

std::size_t entryBytes(const wire::log_entry &entry)
{
    constexpr std::size_t overhead = 64;
    return overhead + entry.command().size();
}

wire::membership withoutMember(const wire::membership &members, replica_id id)
{
    wire::membership result;
    for (const wire::log_member &member : members.members())
        if (member.id() != id)
            *result.add_members() = member;
    return result;
}

void addLearner(wire::membership &members, replica_id id, std::uint64_t incarnation,
                bool staysLearner)
{
    wire::log_member &added = *members.add_members();
    added.set_id(id);
    added.set_incarnation(incarnation);
    added.set_voter(false);
    added.set_stays_learner(staysLearner);
    std::ranges::sort(*members.mutable_members(), {}, &wire::log_member::id);
}

} // namespace

bool core_output::isEmpty() const
{
    return messagesBeforeSync.empty() && !needsSync() && messagesAfterSync.empty()
        && committed.empty() && reads.empty();
}

consensus_core::consensus_core(const core_settings &settings, core_state state)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_hardState(state.hardState)
    , m_savedHardState(state.hardState)
    , m_baseIndex(state.baseIndex)
    , m_baseTerm(state.baseTerm)
    , m_entries(std::move(state.entries))
    , m_snapshot(std::move(state.snapshot))
{
    m_memberships[m_baseIndex] = std::move(state.baseMembers);
    for (const wire::log_entry &entry : m_entries)
        if (entry.kind() == wire::log_entry::MEMBERSHIP)
            m_memberships[entry.index()] = entry.members();
    m_commitIndex = m_snapshot ? m_snapshot->index : m_baseIndex;
    m_deliveredIndex = m_commitIndex;
    m_stableIndex = lastIndex();
    m_persistingIndex = m_stableIndex;
    resetElectionTimer();
}

// Membership

const wire::log_member *consensus_core::findMember(replica_id id) const
{
    for (const wire::log_member &member : members().members())
        if (member.id() == id)
            return &member;
    return nullptr;
}

bool consensus_core::hasIncarnation(const wire::log_member &member, std::uint64_t incarnation,
                                    bool founding)
{
    return member.incarnation() == 0 ? founding : member.incarnation() == incarnation;
}

bool consensus_core::isSelf(const wire::log_member &member) const
{
    return member.id() == m_settings.self
        && hasIncarnation(member, m_settings.incarnation, m_settings.founding);
}

bool consensus_core::isVoter() const
{
    const wire::log_member *self = findMember(m_settings.self);
    return self != nullptr && isSelf(*self) && self->voter();
}

const wire::membership &consensus_core::membersAt(log_index index) const
{
    return std::prev(m_memberships.upper_bound(std::max(index, m_baseIndex)))->second;
}

template <typename F>
bool consensus_core::hasMajority(const wire::membership &members, F accepts) const
{
    std::size_t voters = 0;
    std::size_t accepting = 0;
    for (const wire::log_member &member : members.members()) {
        if (!member.voter())
            continue;
        ++voters;
        if (isSelf(member) || accepts(member))
            ++accepting;
    }
    return accepting > voters / 2;
}

std::uint64_t consensus_core::termAt(log_index index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return 0;
    return m_entries[index - m_baseIndex - 1].term();
}

bool consensus_core::isConnected() const
{
    if (m_role != core_role::leader)
        return m_leaderHeard && isRecent(m_leaderLastHeardTick);
    return hasMajority(members(), [this](const wire::log_member &member) {
        const auto found = m_progress.find(member.id());
        return found != m_progress.end() && isRecent(found->second.lastHeardTick);
    });
}

std::vector<member_status> consensus_core::status() const
{
    std::vector<member_status> result;
    for (const wire::log_member &member : members().members()) {
        member_status status{member.id(), member.incarnation(), member.voter(), 0, false};
        const auto found = m_progress.find(member.id());
        if (isSelf(member)) {
            status.incarnation = m_settings.incarnation;
            status.match = m_stableIndex;
            status.recentlyHeard = true;
        } else if (found != m_progress.end()) {
            if (status.incarnation == 0)
                status.incarnation = found->second.incarnation;
            status.match = found->second.match;
            status.recentlyHeard
                = found->second.hasReplied && isRecent(found->second.lastHeardTick);
        }
        result.push_back(status);
    }
    return result;
}

// Messages

wire::peer_message &consensus_core::addMessage(std::vector<wire::peer_message> &out, replica_id to,
                                               std::uint64_t incarnation, std::uint64_t term) const
{
    wire::peer_message &message = out.emplace_back();
    message.set_term(term);
    message.set_from(m_settings.self);
    message.set_from_incarnation(m_settings.incarnation);
    message.set_from_founding(m_settings.founding);
    message.set_to(to);
    message.set_to_incarnation(incarnation);
    return message;
}

wire::peer_message &consensus_core::addReply(const wire::peer_message &to)
{
    return addMessage(m_messagesAfterSync, to.from(), to.from_incarnation(), m_hardState.term);
}

void consensus_core::receive(const wire::peer_message &message)
{
    if (message.to() != m_settings.self || message.from() == m_settings.self)
        return;
    if (message.body_case() == wire::peer_message::kJoin) {
        handleJoin(message);
        return;
    }
    // Incarnation 0 addresses the founding member. A replica that has lost its disk since has
    // another incarnation and must not reply in its place.
    if (message.to_incarnation() == 0 ? !m_settings.founding
                                      : message.to_incarnation() != m_settings.incarnation)
        return;
    switch (message.body_case()) {
    case wire::peer_message::kAskVote:
        handleVoteRequest(message);
        return;
    case wire::peer_message::kVote:
        handleVoteReply(message);
        return;
    case wire::peer_message::kAppend:
        handleAppend(message);
        return;
    case wire::peer_message::kChunk:
        handleChunk(message);
        return;
    case wire::peer_message::kAppended:
    case wire::peer_message::kChunkReceived:
        if (message.term() > m_hardState.term)
            becomeFollower(message.term(), 0);
        else if (message.body_case() == wire::peer_message::kAppended)
            handleAppendReply(message);
        else
            handleChunkReply(message);
        return;
    default:
        return;
    }
}

// Elections

void consensus_core::resetElectionTimer()
{
    m_electionElapsed = 0;
    m_electionTimeout
        = m_settings.electionTicks + static_cast<unsigned>(m_random() % m_settings.electionTicks);
}

void consensus_core::failReads()
{
    for (const pending_read &read : m_pendingReads)
        m_readResults.push_back({read.id, false, 0});
    m_pendingReads.clear();
}

void consensus_core::becomeFollower(std::uint64_t term, replica_id leader)
{
    if (m_role == core_role::leader) {
        failReads();
        m_progress.clear();
        m_joinRequests.clear();
        m_leaderHeard = false;
    }
    if (term > m_hardState.term)
        m_hardState = {term, 0, 0};
    if (leader != m_leader)
        m_incomingSnapshot.reset();
    m_role = core_role::follower;
    m_leader = leader;
    m_votes.clear();
    resetElectionTimer();
}

void consensus_core::stepDown()
{
    becomeFollower(m_hardState.term, 0);
}

void consensus_core::startPreVote()
{
    m_role = core_role::pre_candidate;
    m_leader = 0;
    m_votes.clear();
    resetElectionTimer();
    requestVotes(true, m_hardState.term + 1);
    countVotes();
}

void consensus_core::startElection()
{
    m_role = core_role::candidate;
    m_hardState = {m_hardState.term + 1, m_settings.self, m_settings.incarnation};
    m_votes.clear();
    resetElectionTimer();
    requestVotes(false, m_hardState.term);
    countVotes();
}

void consensus_core::requestVotes(bool preVote, std::uint64_t term)
{
    for (const wire::log_member &member : members().members()) {
        if (!member.voter() || isSelf(member))
            continue;
        wire::vote_request &request
            = *addMessage(m_messagesAfterSync, member.id(), member.incarnation(), term)
                   .mutable_ask_vote();
        request.set_pre_vote(preVote);
        request.set_last_index(lastIndex());
        request.set_last_term(termAt(lastIndex()));
    }
}

void consensus_core::countVotes()
{
    if (!hasMajority(members(), [this](const wire::log_member &member) {
            return m_votes.contains(member.id());
        }))
        return;
    if (m_role == core_role::pre_candidate)
        startElection();
    else if (m_role == core_role::candidate)
        becomeLeader();
}

void consensus_core::becomeLeader()
{
    m_role = core_role::leader;
    m_leader = m_settings.self;
    m_progress.clear();
    m_promotionThresholds.clear();
    m_joinRequests.clear();
    m_heartbeatElapsed = 0;
    m_incomingSnapshot.reset();
    m_uncommittedBytes = 0;
    for (log_index index = m_commitIndex + 1; index <= lastIndex(); ++index)
        m_uncommittedBytes += entryBytes(m_entries[index - m_baseIndex - 1]);
    updateProgressMap();
    m_termStartIndex = lastIndex() + 1;
    appendEntry(wire::log_entry());
}

bool consensus_core::isUpToDate(log_index lastIndexOfOther, std::uint64_t lastTermOfOther) const
{
    const std::uint64_t ownTerm = termAt(lastIndex());
    return lastTermOfOther > ownTerm
        || (lastTermOfOther == ownTerm && lastIndexOfOther >= lastIndex());
}

// A learner grants votes too: it is asked only by a candidate whose log already has the entry that
// promotes it, and that candidate may be the only remaining replica with the entry.
void consensus_core::handleVoteRequest(const wire::peer_message &message)
{
    const wire::vote_request &request = message.ask_vote();
    if (message.term() >= m_hardState.term && isConnected() && m_leader != message.from()) {
        // A replica that returns from a network partition must not depose a working leader.
        if (request.pre_vote())
            addReply(message).mutable_vote()->set_pre_vote(true);
        return;
    }
    if (!request.pre_vote() && message.term() > m_hardState.term)
        becomeFollower(message.term(), 0);
    bool granted = isUpToDate(request.last_index(), request.last_term());
    if (request.pre_vote()) {
        granted = granted && message.term() > m_hardState.term;
    } else {
        const bool canVote = m_hardState.votedFor == 0
            || (m_hardState.votedFor == message.from()
                && m_hardState.votedIncarnation == message.from_incarnation());
        granted = granted && message.term() == m_hardState.term && canVote;
        if (granted) {
            m_hardState.votedFor = message.from();
            m_hardState.votedIncarnation = message.from_incarnation();
            resetElectionTimer();
        }
    }
    wire::peer_message &reply = addReply(message);
    if (granted)
        reply.set_term(message.term());
    reply.mutable_vote()->set_pre_vote(request.pre_vote());
    reply.mutable_vote()->set_granted(granted);
}

void consensus_core::handleVoteReply(const wire::peer_message &message)
{
    const wire::vote_reply &reply = message.vote();
    if (!reply.granted()) {
        if (message.term() > m_hardState.term)
            becomeFollower(message.term(), 0);
        return;
    }
    const bool expected = reply.pre_vote()
        ? m_role == core_role::pre_candidate && message.term() == m_hardState.term + 1
        : m_role == core_role::candidate && message.term() == m_hardState.term;
    const wire::log_member *member = findMember(message.from());
    if (!expected || member == nullptr || !member->voter()
        || !hasIncarnation(*member, message.from_incarnation(), message.from_founding()))
        return;
    m_votes.insert(message.from());
    countVotes();
}

// Log

void consensus_core::appendEntry(wire::log_entry entry)
{
    entry.set_index(lastIndex() + 1);
    entry.set_term(m_hardState.term);
    m_uncommittedBytes += entryBytes(entry);
    if (entry.kind() == wire::log_entry::MEMBERSHIP) {
        m_memberships[entry.index()] = entry.members();
        m_entries.push_back(std::move(entry));
        updateProgressMap();
        return;
    }
    m_entries.push_back(std::move(entry));
}

void consensus_core::truncateFrom(log_index index)
{
    if (index <= m_commitIndex)
        throw agreement_error("a leader's log contradicts a committed entry");
    m_entries.resize(index - m_baseIndex - 1);
    m_memberships.erase(m_memberships.lower_bound(index), m_memberships.end());
    m_persistingIndex = std::min(m_persistingIndex, index - 1);
    m_stableIndex = std::min(m_stableIndex, index - 1);
}

void consensus_core::advanceCommit(log_index index)
{
    if (index <= m_commitIndex)
        return;
    if (m_role == core_role::leader) {
        for (log_index i = m_commitIndex + 1; i <= index; ++i)
            m_uncommittedBytes -= entryBytes(m_entries[i - m_baseIndex - 1]);
    }
    m_commitIndex = index;
}

void consensus_core::updateCommit()
{
    std::vector<log_index> matches;
    for (const wire::log_member &member : members().members()) {
        if (!member.voter())
            continue;
        const auto found = m_progress.find(member.id());
        matches.push_back(isSelf(member)                  ? m_stableIndex
                              : found != m_progress.end() ? found->second.match
                                                          : 0);
    }
    if (matches.empty())
        return;
    std::ranges::sort(matches, std::greater<>());
    const log_index majorityMatch = matches[matches.size() / 2];
    if (majorityMatch > m_commitIndex && termAt(majorityMatch) == m_hardState.term)
        advanceCommit(majorityMatch);
}

std::optional<log_index> consensus_core::propose(std::string command)
{
    if (m_role != core_role::leader || command.size() > m_settings.maxCommandBytes
        || m_uncommittedBytes + command.size() > m_settings.maxUncommittedBytes)
        return std::nullopt;
    wire::log_entry entry;
    entry.set_kind(wire::log_entry::COMMAND);
    entry.set_command(std::move(command));
    appendEntry(std::move(entry));
    return lastIndex();
}

// Returns the highest index at or below `from` whose term is at most `term`, or the base index if
// there is none.
log_index consensus_core::findLastWithTermAtMost(log_index from, std::uint64_t term) const
{
    log_index index = std::min(from, lastIndex());
    while (index > m_baseIndex && termAt(index) > term)
        --index;
    return index;
}

void consensus_core::acceptLeader(const wire::peer_message &message)
{
    if (message.term() > m_hardState.term || m_role != core_role::follower
        || m_leader != message.from())
        becomeFollower(message.term(), message.from());
    m_leaderHeard = true;
    m_leaderLastHeardTick = m_currentTick;
    m_electionElapsed = 0;
}

void consensus_core::handleAppend(const wire::peer_message &message)
{
    const wire::append_request &request = message.append();
    if (message.term() < m_hardState.term) {
        // The higher term in the reply makes the stale leader step down.
        addReply(message).mutable_appended()->set_rejected_index(request.previous_index());
        return;
    }
    if (message.term() == m_hardState.term && m_role == core_role::leader)
        throw agreement_error("two replicas lead the same term");
    acceptLeader(message);

    const log_index previous = request.previous_index();
    const log_index end = previous + static_cast<log_index>(request.entries_size());
    wire::append_reply &reply = *addReply(message).mutable_appended();
    reply.set_round(request.round());
    // Entries before the base are committed and therefore match.
    if (previous >= m_baseIndex
        && (previous > lastIndex() || termAt(previous) != request.previous_term())) {
        const log_index hint = findLastWithTermAtMost(previous, request.previous_term());
        reply.set_rejected_index(previous);
        reply.set_hint_index(hint);
        reply.set_hint_term(termAt(hint));
        return;
    }
    for (const wire::log_entry &entry : request.entries()) {
        if (entry.index() <= m_baseIndex)
            continue;
        if (entry.index() <= lastIndex()) {
            if (termAt(entry.index()) == entry.term())
                continue;
            truncateFrom(entry.index());
        }
        if (entry.index() != lastIndex() + 1)
            throw agreement_error("an append message has a gap");
        if (entry.kind() == wire::log_entry::MEMBERSHIP)
            m_memberships[entry.index()] = entry.members();
        m_entries.push_back(entry);
    }
    advanceCommit(std::min(request.commit(), end));
    reply.set_success(true);
    reply.set_match(end);
}

consensus_core::progress *consensus_core::recordReply(const wire::peer_message &message)
{
    if (m_role != core_role::leader || message.term() != m_hardState.term)
        return nullptr;
    const wire::log_member *member = findMember(message.from());
    const auto found = m_progress.find(message.from());
    if (member == nullptr || found == m_progress.end()
        || !hasIncarnation(*member, message.from_incarnation(), message.from_founding()))
        return nullptr;
    progress &peer = found->second;
    if (peer.incarnation == 0)
        peer.incarnation = message.from_incarnation();
    if (peer.incarnation != message.from_incarnation())
        return nullptr;
    peer.lastHeardTick = m_currentTick;
    peer.hasReplied = true;
    return &peer;
}

void consensus_core::handleAppendReply(const wire::peer_message &message)
{
    progress *peer = recordReply(message);
    if (peer == nullptr)
        return;
    const wire::append_reply &reply = message.appended();
    peer->ackedRound = std::max(peer->ackedRound, reply.round());
    if (reply.success()) {
        if (reply.match() > lastIndex())
            throw agreement_error("a replica acknowledged entries that were never sent");
        peer->match = std::max(peer->match, reply.match());
        peer->next = std::max(peer->next, peer->match + 1);
        while (!peer->inFlight.empty() && peer->inFlight.front().first <= peer->match) {
            peer->inFlightBytes -= peer->inFlight.front().second;
            peer->inFlight.pop_front();
        }
        if (peer->state == peer_state::snapshot) {
            if (peer->match >= peer->snapshot->index) {
                peer->snapshot.reset();
                peer->state = peer_state::replicate;
            }
        } else if (peer->state == peer_state::probe && reply.match() + 1 >= peer->next) {
            peer->state = peer_state::replicate;
        }
        updateCommit();
    } else if (peer->state != peer_state::snapshot && reply.rejected_index() > peer->match
               && (peer->state == peer_state::replicate
                   || reply.rejected_index() == peer->next - 1)) {
        // All messages sent after a lost one are rejected as well. Probing with a single message
        // prevents a resend for each of those rejections.
        const log_index hint = findLastWithTermAtMost(reply.hint_index(), reply.hint_term());
        peer->next = std::max(peer->match, std::min(hint, reply.rejected_index() - 1)) + 1;
        peer->state = peer_state::probe;
        peer->probeSent = false;
        peer->inFlight.clear();
        peer->inFlightBytes = 0;
    }
    confirmReads();
}

// Snapshots

void consensus_core::handleChunk(const wire::peer_message &message)
{
    const wire::snapshot_chunk &chunk = message.chunk();
    if (message.term() < m_hardState.term) {
        addReply(message).mutable_chunk_received();
        return;
    }
    acceptLeader(message);
    if (chunk.index() <= m_commitIndex) {
        wire::append_reply &reply = *addReply(message).mutable_appended();
        reply.set_success(true);
        reply.set_match(chunk.index());
        reply.set_round(chunk.round());
        return;
    }
    if (chunk.total() > m_settings.maxSnapshotBytes)
        return;
    if (!m_incomingSnapshot || m_incomingSnapshot->snapshot.index != chunk.index()
        || m_incomingSnapshot->checksum != chunk.checksum()
        || m_incomingSnapshot->total != chunk.total()) {
        m_incomingSnapshot = incoming_snapshot{
            {chunk.index(), chunk.term(), chunk.members(), {}}, chunk.total(), chunk.checksum()};
    }
    std::string &data = m_incomingSnapshot->snapshot.data;
    if (chunk.offset() == data.size() && data.size() + chunk.data().size() <= chunk.total())
        data += chunk.data();
    if (data.size() == chunk.total()) {
        if (XXH64(data.data(), data.size(), 0) == chunk.checksum()) {
            installSnapshot(std::move(m_incomingSnapshot->snapshot));
            m_incomingSnapshot.reset();
            wire::append_reply &reply = *addReply(message).mutable_appended();
            reply.set_success(true);
            reply.set_match(chunk.index());
            reply.set_round(chunk.round());
            return;
        }
        data.clear();
    }
    wire::snapshot_reply &reply = *addReply(message).mutable_chunk_received();
    reply.set_index(chunk.index());
    reply.set_offset(data.size());
    reply.set_round(chunk.round());
}

void consensus_core::installSnapshot(log_snapshot snapshot)
{
    if (termAt(snapshot.index) == snapshot.term && snapshot.index > m_baseIndex) {
        advanceCommit(snapshot.index);
        return;
    }
    m_entries.clear();
    m_memberships.clear();
    m_memberships[snapshot.index] = snapshot.members;
    m_baseIndex = snapshot.index;
    m_baseTerm = snapshot.term;
    m_commitIndex = snapshot.index;
    m_deliveredIndex = snapshot.index;
    m_stableIndex = snapshot.index;
    m_persistingIndex = snapshot.index;
    m_snapshot = std::make_shared<const log_snapshot>(std::move(snapshot));
    m_snapshotToInstall = m_snapshot;
}

void consensus_core::handleChunkReply(const wire::peer_message &message)
{
    progress *peer = recordReply(message);
    if (peer == nullptr)
        return;
    const wire::snapshot_reply &reply = message.chunk_received();
    peer->ackedRound = std::max(peer->ackedRound, reply.round());
    confirmReads();
    if (peer->state != peer_state::snapshot || reply.index() != peer->snapshot->index
        || reply.offset() > peer->snapshot->data.size() || reply.offset() == peer->ackedOffset)
        return;
    peer->offsetChanged = true;
    // The offset decreases if the receiver has restarted.
    if (reply.offset() < peer->ackedOffset)
        peer->sentOffset = reply.offset();
    peer->ackedOffset = reply.offset();
    peer->sentOffset = std::max(peer->sentOffset, peer->ackedOffset);
}

void consensus_core::startSnapshot(progress &peer)
{
    peer.state = peer_state::snapshot;
    peer.snapshot = m_snapshot;
    peer.snapshotChecksum = XXH64(m_snapshot->data.data(), m_snapshot->data.size(), 0);
    peer.sentOffset = 0;
    peer.ackedOffset = 0;
    peer.offsetChanged = true;
    peer.probeSent = false;
    peer.inFlight.clear();
    peer.inFlightBytes = 0;
}

void consensus_core::sendChunks(const wire::log_member &member, progress &peer)
{
    const std::string &data = peer.snapshot->data;
    const std::size_t window = m_settings.chunkBytes * m_settings.maxChunksInFlight;
    while ((!peer.probeSent || peer.sentOffset < data.size())
           && peer.sentOffset < peer.ackedOffset + window) {
        const std::size_t size = std::min(m_settings.chunkBytes, data.size() - peer.sentOffset);
        wire::snapshot_chunk &chunk
            = *addMessage(m_messagesBeforeSync, member.id(), member.incarnation(), m_hardState.term)
                   .mutable_chunk();
        chunk.set_index(peer.snapshot->index);
        chunk.set_term(peer.snapshot->term);
        *chunk.mutable_members() = peer.snapshot->members;
        chunk.set_offset(peer.sentOffset);
        chunk.set_total(data.size());
        chunk.set_checksum(peer.snapshotChecksum);
        chunk.set_data(data.substr(peer.sentOffset, size));
        chunk.set_round(m_round);
        peer.sentOffset += size;
        peer.probeSent = true;
    }
}

void consensus_core::compact(std::shared_ptr<const log_snapshot> snapshot, log_index keepAfter)
{
    m_snapshot = std::move(snapshot);
    if (keepAfter <= m_baseIndex)
        return;
    if (keepAfter > m_deliveredIndex || keepAfter > m_snapshot->index)
        throw agreement_error("the log can't be dropped beyond the snapshot");
    const std::uint64_t term = termAt(keepAfter);
    const auto last = std::prev(m_memberships.upper_bound(keepAfter));
    wire::membership base = last->second;
    m_memberships.erase(m_memberships.begin(), std::next(last));
    m_memberships[keepAfter] = std::move(base);
    m_entries.erase(m_entries.begin(),
                    m_entries.begin() + static_cast<std::ptrdiff_t>(keepAfter - m_baseIndex));
    m_baseIndex = keepAfter;
    m_baseTerm = term;
}

// Replication

wire::append_request &consensus_core::addAppend(const wire::log_member &member, log_index previous)
{
    wire::append_request &request
        = *addMessage(m_messagesBeforeSync, member.id(), member.incarnation(), m_hardState.term)
               .mutable_append();
    request.set_previous_index(previous);
    request.set_previous_term(termAt(previous));
    request.set_commit(m_commitIndex);
    request.set_round(m_round);
    return request;
}

void consensus_core::replicate()
{
    for (const wire::log_member &member : members().members()) {
        const auto found = m_progress.find(member.id());
        if (found == m_progress.end())
            continue;
        progress &peer = found->second;
        if (peer.state != peer_state::snapshot && peer.next - 1 < m_baseIndex)
            startSnapshot(peer);
        if (peer.state == peer_state::snapshot) {
            sendChunks(member, peer);
        } else if (peer.state == peer_state::replicate) {
            sendEntries(member, peer);
        } else if (!peer.probeSent) {
            addAppend(member, peer.next - 1);
            peer.probeSent = true;
        }
    }
}

void consensus_core::sendEntries(const wire::log_member &member, progress &peer)
{
    while (peer.next <= lastIndex() && peer.inFlight.size() < m_settings.maxInFlight
           && peer.inFlightBytes < m_settings.maxInFlightBytes) {
        wire::append_request &request = addAppend(member, peer.next - 1);
        std::size_t bytes = 0;
        while (peer.next <= lastIndex()
               && static_cast<std::size_t>(request.entries_size()) < m_settings.maxBatchEntries) {
            const wire::log_entry &entry = m_entries[peer.next - m_baseIndex - 1];
            if (bytes > 0 && bytes + entryBytes(entry) > m_settings.maxBatchBytes)
                break;
            bytes += entryBytes(entry);
            *request.add_entries() = entry;
            ++peer.next;
        }
        peer.inFlight.emplace_back(peer.next - 1, bytes);
        peer.inFlightBytes += bytes;
    }
}

// A peer that is receiving a snapshot gets previous index 0, which always matches, so that it still
// receives heartbeats.
void consensus_core::sendHeartbeat(const wire::log_member &member, progress &peer)
{
    if (peer.state != peer_state::snapshot && peer.next - 1 < m_baseIndex)
        startSnapshot(peer);
    if (peer.state == peer_state::snapshot) {
        wire::append_request &request = addAppend(member, 0);
        request.set_previous_term(0);
        return;
    }
    addAppend(member, peer.next - 1);
    peer.probeSent = true;
}

void consensus_core::sendHeartbeats()
{
    for (const wire::log_member &member : members().members()) {
        const auto found = m_progress.find(member.id());
        if (found != m_progress.end())
            sendHeartbeat(member, found->second);
    }
}

// Reads

std::optional<std::uint64_t> consensus_core::requestRead()
{
    if (m_role != core_role::leader)
        return std::nullopt;
    m_pendingReads.push_back({m_nextReadId, 0, 0});
    return m_nextReadId++;
}

void consensus_core::confirmReads()
{
    while (!m_pendingReads.empty() && m_pendingReads.front().round != 0) {
        const pending_read &read = m_pendingReads.front();
        if (!hasMajority(members(), [&](const wire::log_member &member) {
                const auto found = m_progress.find(member.id());
                return found != m_progress.end() && found->second.ackedRound >= read.round;
            }))
            return;
        m_readResults.push_back({read.id, true, read.index});
        m_pendingReads.pop_front();
    }
}

// Membership changes

void consensus_core::updateProgressMap()
{
    std::map<replica_id, progress> kept;
    for (const wire::log_member &member : members().members()) {
        if (isSelf(member))
            continue;
        const auto found = m_progress.find(member.id());
        const bool same = found != m_progress.end()
            && (member.incarnation() == 0 || found->second.incarnation == member.incarnation());
        if (same) {
            kept[member.id()] = std::move(found->second);
            continue;
        }
        m_promotionThresholds.erase(member.id());
        progress &peer = kept[member.id()];
        peer.incarnation = member.incarnation();
        peer.next = lastIndex() + 1;
        peer.lastHeardTick = m_currentTick;
    }
    m_progress = std::move(kept);
}

bool consensus_core::canChangeMembership() const
{
    return m_role == core_role::leader && m_commitIndex >= m_termStartIndex
        && m_memberships.rbegin()->first <= m_commitIndex;
}

// Refuses a change after which no majority of the voters is reachable, because it could not be
// committed.
membership_result consensus_core::checkQuorumReachable(const wire::membership &changed) const
{
    const bool reachable = hasMajority(changed, [this](const wire::log_member &member) {
        const auto found = m_progress.find(member.id());
        return found != m_progress.end() && found->second.hasReplied
            && isRecent(found->second.lastHeardTick)
            && (member.incarnation() == 0 || found->second.incarnation == member.incarnation());
    });
    return reachable ? membership_result::started : membership_result::quorum_at_risk;
}

void consensus_core::appendMembership(wire::membership changed)
{
    wire::log_entry entry;
    entry.set_kind(wire::log_entry::MEMBERSHIP);
    *entry.mutable_members() = std::move(changed);
    appendEntry(std::move(entry));
}

membership_result consensus_core::addMember(replica_id id, bool staysLearner)
{
    if (m_role != core_role::leader)
        return membership_result::not_leader;
    if (!canChangeMembership())
        return membership_result::busy;
    if (findMember(id) != nullptr)
        return membership_result::already_member;
    const auto found = m_joinRequests.find(id);
    if (found == m_joinRequests.end() || !isRecentJoin(found->second))
        return membership_result::no_request;
    wire::membership changed = members();
    addLearner(changed, id, found->second.incarnation, staysLearner);
    appendMembership(std::move(changed));
    return membership_result::started;
}

membership_result consensus_core::removeMember(replica_id id)
{
    if (m_role != core_role::leader)
        return membership_result::not_leader;
    if (!canChangeMembership())
        return membership_result::busy;
    if (findMember(id) == nullptr)
        return membership_result::not_member;
    if (id == m_settings.self)
        return membership_result::quorum_at_risk;
    wire::membership changed = withoutMember(members(), id);
    const membership_result allowed = checkQuorumReachable(changed);
    if (allowed == membership_result::started)
        appendMembership(std::move(changed));
    return allowed;
}

membership_result consensus_core::replaceMember(replica_id oldId, replica_id newId)
{
    if (m_role != core_role::leader)
        return membership_result::not_leader;
    if (!canChangeMembership())
        return membership_result::busy;
    const wire::log_member *replaced = findMember(oldId);
    if (replaced == nullptr)
        return membership_result::not_member;
    if (oldId == m_settings.self)
        return membership_result::quorum_at_risk;
    if (newId != oldId && findMember(newId) != nullptr)
        return membership_result::already_member;
    const auto found = m_joinRequests.find(newId);
    if (found == m_joinRequests.end() || !isRecentJoin(found->second)
        || (newId == oldId && found->second.incarnation == replaced->incarnation()))
        return membership_result::no_request;
    const bool staysLearner = replaced->stays_learner();
    wire::membership changed = withoutMember(members(), oldId);
    addLearner(changed, newId, found->second.incarnation, staysLearner);
    const membership_result allowed = checkQuorumReachable(changed);
    if (allowed == membership_result::started)
        appendMembership(std::move(changed));
    return allowed;
}

void consensus_core::handleJoin(const wire::peer_message &message)
{
    if (m_role != core_role::leader) {
        // The joining replica may know only this member. The leader replies to it directly.
        if (m_settings.autoJoinMaxMembers > 0 && m_leader != 0 && m_leader != message.from()) {
            wire::peer_message &forwarded = m_messagesAfterSync.emplace_back(message);
            forwarded.set_to(m_leader);
        }
        return;
    }
    const wire::log_member *member = findMember(message.from());
    if (member != nullptr
        && hasIncarnation(*member, message.from_incarnation(), message.from_founding()))
        return;
    if (m_joinRequests.size() >= maxTrackedJoins)
        std::erase_if(m_joinRequests,
                      [this](const auto &request) { return !isRecentJoin(request.second); });
    if (m_joinRequests.size() >= maxTrackedJoins && !m_joinRequests.contains(message.from()))
        return;
    m_joinRequests[message.from()] = {message.from_incarnation(), m_currentTick};
}

// Starts the membership changes that need no operator, at most one at a time: the leader records
// the incarnations of founding members, promotes learners, replaces replicas that lost their disk,
// and admits replicas that request to join.
void consensus_core::maintainMembership()
{
    if (!canChangeMembership())
        return;
    wire::membership changed = members();
    bool recorded = false;
    for (wire::log_member &member : *changed.mutable_members()) {
        if (member.incarnation() != 0)
            continue;
        const auto found = m_progress.find(member.id());
        member.set_incarnation(isSelf(member)                  ? m_settings.incarnation
                                   : found != m_progress.end() ? found->second.incarnation
                                                               : 0);
        recorded = recorded || member.incarnation() != 0;
    }
    if (recorded) {
        appendMembership(std::move(changed));
        return;
    }
    for (wire::log_member &member : *changed.mutable_members()) {
        const auto found = m_progress.find(member.id());
        if (member.voter() || member.stays_learner() || found == m_progress.end())
            continue;
        // The entry that added the learner is committed. The learner must have everything that is
        // committed when this leader first sees that; after a change of leader this is a later
        // index.
        const log_index needed
            = m_promotionThresholds.try_emplace(member.id(), m_commitIndex).first->second;
        const progress &peer = found->second;
        if (!peer.hasReplied || !isRecent(peer.lastHeardTick) || peer.match < needed)
            continue;
        member.set_voter(true);
        if (checkQuorumReachable(changed) == membership_result::started) {
            appendMembership(std::move(changed));
            return;
        }
        member.set_voter(false);
    }
    for (const auto &[id, attempt] : m_joinRequests) {
        const wire::log_member *member = findMember(id);
        const auto found = m_progress.find(id);
        if (member == nullptr || found == m_progress.end() || !isRecentJoin(attempt)
            || member->incarnation() == attempt.incarnation
            || isRecent(found->second.lastHeardTick))
            continue;
        if (replaceMember(id, id) == membership_result::started)
            return;
    }
    if (m_settings.autoJoinMaxMembers > 0 && !admitJoiningReplica())
        removeSilentMember();
}

// Returns the member that has been silent for the longest time, at least `silentMemberTicks`.
// Voters come first, because only they count for a majority.
std::optional<replica_id> consensus_core::findSilentMember() const
{
    std::optional<replica_id> result;
    std::pair<bool, unsigned> longest; // is a voter, ticks of silence
    for (const wire::log_member &member : members().members()) {
        const auto found = m_progress.find(member.id());
        if (found == m_progress.end() || member.stays_learner())
            continue;
        const std::pair candidate{member.voter(), silenceOf(found->second)};
        if (candidate.second < m_settings.silentMemberTicks || (result && candidate <= longest))
            continue;
        result = member.id();
        longest = candidate;
    }
    return result;
}

// Adds one replica that requests to join. It takes the place of a silent member if there is one:
// a machine that is replaced never comes back, and if it stayed a voter, a few replacements would
// leave the group without a majority. Returns whether a change was started.
bool consensus_core::admitJoiningReplica()
{
    const auto joining = std::ranges::find_if(m_joinRequests, [this](const auto &request) {
        return findMember(request.first) == nullptr && isRecentJoin(request.second);
    });
    if (joining == m_joinRequests.end())
        return false;
    const replica_id id = joining->first;
    if (const std::optional<replica_id> silent = findSilentMember())
        return replaceMember(*silent, id) == membership_result::started;
    // The replica may be the successor of a voter that has just become silent, or that this leader
    // has not heard from since its election; this is known within `silentMemberTicks`.
    const bool allVotersReply
        = std::ranges::all_of(members().members(), [this](const wire::log_member &member) {
              const auto found = m_progress.find(member.id());
              return !member.voter() || found == m_progress.end()
                  || (found->second.hasReplied && isRecent(found->second.lastHeardTick));
          });
    if (!allVotersReply
        || static_cast<std::size_t>(members().members_size()) >= m_settings.autoJoinMaxMembers)
        return false;
    return addMember(id, false) == membership_result::started;
}

// Removes a member whose successor may have been added while it still replied. Returns whether a
// change was started.
bool consensus_core::removeSilentMember()
{
    const std::optional<replica_id> silent = findSilentMember();
    if (!silent || silenceOf(m_progress.at(*silent)) < m_settings.removeMemberTicks)
        return false;
    const auto voters = std::ranges::count_if(members().members(), &wire::log_member::voter);
    if (findMember(*silent)->voter() && static_cast<std::size_t>(voters) <= m_settings.minVoters)
        return false;
    return removeMember(*silent) == membership_result::started;
}

// Asks all replicas that this one knows, because those of the settings may have been replaced.
void consensus_core::requestToJoin()
{
    std::set<replica_id> known(m_settings.peers.begin(), m_settings.peers.end());
    std::ranges::transform(members().members(), std::inserter(known, known.end()),
                           &wire::log_member::id);
    known.erase(m_settings.self);
    for (const replica_id peer : known)
        addMessage(m_messagesAfterSync, peer, 0, m_hardState.term).mutable_join();
}

// Time

void consensus_core::leaderTick()
{
    if (!isConnected()) {
        becomeFollower(m_hardState.term, 0);
        return;
    }
    if (++m_heartbeatElapsed >= m_settings.heartbeatTicks) {
        m_heartbeatElapsed = 0;
        for (auto &[id, peer] : m_progress) {
            if (peer.state == peer_state::snapshot && !peer.offsetChanged) {
                peer.sentOffset = peer.ackedOffset;
                peer.probeSent = false;
            }
            peer.offsetChanged = false;
        }
        sendHeartbeats();
    }
    maintainMembership();
}

void consensus_core::tick()
{
    ++m_currentTick;
    if (m_role == core_role::leader) {
        leaderTick();
        return;
    }
    if (++m_electionElapsed < m_electionTimeout)
        return;
    if (isVoter()) {
        // The group may have removed this replica while it was unreachable. Nobody tells it, so a
        // voter whose election fails also requests to join; a leader that knows it ignores this.
        if (m_role != core_role::follower)
            requestToJoin();
        startPreVote();
        return;
    }
    resetElectionTimer();
    // A replica that is a learner in its own log also requests to join: the leader that added it
    // may have failed before the entry was committed, and the next leader then does not know this
    // replica.
    requestToJoin();
}

// Output

core_output consensus_core::takeOutput()
{
    if (m_role == core_role::leader) {
        bool newRound = false;
        for (pending_read &read : m_pendingReads) {
            if (read.round != 0 || m_commitIndex < m_termStartIndex)
                continue;
            if (!newRound)
                ++m_round;
            newRound = true;
            read.index = m_commitIndex;
            read.round = m_round;
        }
        if (newRound) {
            sendHeartbeats();
            confirmReads();
        }
        replicate();
    }
    core_output output;
    if (m_hardState != m_savedHardState) {
        output.hardState = m_hardState;
        m_savedHardState = m_hardState;
    }
    output.snapshot = std::move(m_snapshotToInstall);
    m_snapshotToInstall.reset();
    for (log_index index = m_persistingIndex + 1; index <= lastIndex(); ++index)
        output.entries.push_back(m_entries[index - m_baseIndex - 1]);
    m_persistingIndex = lastIndex();
    // A new leader must not send entries before its vote for itself is synced.
    output.messagesBeforeSync = std::exchange(m_messagesBeforeSync, {});
    output.messagesAfterSync = std::exchange(m_messagesAfterSync, {});
    if (output.hardState) {
        std::ranges::move(output.messagesBeforeSync, std::back_inserter(output.messagesAfterSync));
        output.messagesBeforeSync.clear();
    }
    const log_index applicable = std::min(m_commitIndex, m_stableIndex);
    for (log_index index = m_deliveredIndex + 1; index <= applicable; ++index)
        output.committed.push_back(m_entries[index - m_baseIndex - 1]);
    m_deliveredIndex = std::max(m_deliveredIndex, applicable);
    output.reads = std::exchange(m_readResults, {});
    return output;
}

void consensus_core::markPersisted()
{
    m_stableIndex = m_persistingIndex;
    if (m_role == core_role::leader)
        updateCommit();
}

} // namespace buckthorngrade
