#include "tests/agreement/consensus_simulation.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace buckthorngrade {

namespace {

constexpr unsigned electionTicks = 10;
constexpr unsigned heartbeatTicks = 2;
constexpr unsigned stepsPerRun = 500;
constexpr unsigned recoverySteps = 1'000;
constexpr std::size_t chunkBytes = 64;

std::uint64_t hashCommand(std::uint64_t state, const std::string &command)
{
    return XXH64(command.data(), command.size(), state);
}

// The result is longer than a chunk, so that installing a snapshot takes several messages.
std::string snapshotData(std::uint64_t state)
{
    return fmt::format("{:020}", state) + std::string(3 * chunkBytes, 's');
}

std::uint64_t parseState(const std::string &data)
{
    return std::stoull(data.substr(0, 20));
}

} // namespace

bool consensus_simulation::disk::has(log_index index, std::uint64_t term) const
{
    if (index <= baseIndex)
        return true; // only committed entries are compacted away
    return index <= lastIndex() && entries[index - baseIndex - 1].term() == term;
}

consensus_simulation::consensus_simulation(std::uint64_t seed, bool trace)
    : m_seed(seed)
    , m_trace(trace)
    , m_random(seed)
{
    m_founders = chance(60) ? 3 : 5;
    const unsigned losses[] = {0, 2, 10, 30};
    m_lossPercent = losses[random(4)];
    m_duplicatePercent = chance(50) ? 10 : 0;
    m_maxDelay = static_cast<unsigned>(1 + random(6));
    m_failurePercent = static_cast<unsigned>(chance(30) ? 20 + random(20) : 2 + random(8));
    m_maxBatch = static_cast<unsigned>(1 + random(3));
    m_wipesDisks = chance(50);
    m_changesMembership = chance(40);
    wire::membership founders;
    for (replica_id id = 1; id <= m_founders; ++id) {
        wire::log_member &member = *founders.add_members();
        member.set_id(id);
        member.set_voter(true);
    }
    // Two more replicas that may be added or replace others.
    for (replica_id id = 1; id <= m_founders + (m_changesMembership ? 2 : 0); ++id) {
        node &n = m_nodes.emplace_back();
        n.id = id;
        n.incarnation = m_nextIncarnation++;
        n.founding = id <= m_founders;
        // With a slow clock, a replica notices late that it is no longer the leader.
        n.skippedTicks = chance(25) ? 70 : 10;
        if (n.founding) {
            n.stored.baseMembers = founders;
            m_voterIncarnations.insert(n.incarnation);
        }
    }
    m_stateHashes[0] = 0;
    m_autoJoins = chance(30);
    for (node &n : m_nodes)
        startNode(n);
}

void consensus_simulation::traceEvent(const std::string &text) const
{
    if (m_trace)
        fmt::print(stderr, "{:5} {}\n", m_currentStep, text);
}

void consensus_simulation::fail(const std::string &what) const
{
    throw invariant_violation(fmt::format("seed {}, step {}: {}", m_seed, m_currentStep, what));
}

consensus_simulation::node *consensus_simulation::findNode(replica_id id)
{
    const auto found = std::ranges::find(m_nodes, id, &node::id);
    return found == m_nodes.end() ? nullptr : &*found;
}

consensus_simulation::node *consensus_simulation::findLeader()
{
    std::vector<node *> leaders;
    for (node &n : m_nodes)
        if (n.core && !n.paused && n.core->role() == core_role::leader)
            leaders.push_back(&n);
    return leaders.empty() ? nullptr : leaders[random(leaders.size())];
}

// Failures

void consensus_simulation::startNode(node &n)
{
    core_settings settings;
    settings.self = n.id;
    settings.incarnation = n.incarnation;
    settings.founding = n.founding;
    for (const node &other : m_nodes)
        settings.peers.push_back(other.id);
    settings.seed = m_random();
    settings.electionTicks = electionTicks;
    settings.heartbeatTicks = heartbeatTicks;
    settings.maxInFlight = 4;
    settings.maxBatchEntries = m_maxBatch;
    settings.chunkBytes = chunkBytes;
    settings.maxChunksInFlight = 2;
    if (m_autoJoins) {
        settings.autoJoinMaxMembers = m_founders + 1;
        settings.silentMemberTicks = 2 * electionTicks;
        settings.removeMemberTicks = 4 * electionTicks;
        settings.minVoters = 2;
    }
    core_state state;
    state.hardState = n.stored.hardState;
    state.baseIndex = n.stored.baseIndex;
    state.baseTerm = n.stored.baseTerm;
    state.baseMembers = n.stored.baseMembers;
    state.snapshot = n.stored.snapshot;
    state.entries = n.stored.entries;
    n.core = std::make_unique<consensus_core>(settings, std::move(state));
    n.applied = n.stored.snapshot ? n.stored.snapshot->index : 0;
    n.state = n.stored.snapshot ? parseState(n.stored.snapshot->data) : 0;
    n.checkedCommit = n.applied;
    n.wasLeader = false;
    n.paused = false;
    n.reads.clear();
    traceEvent(fmt::format("start {} incarnation {} term {} last {}", n.id, n.incarnation,
                           n.stored.hardState.term, n.stored.lastIndex()));
}

void consensus_simulation::crash(node &n)
{
    traceEvent(fmt::format("crash {}", n.id));
    ++m_reached.crashes;
    n.core.reset();
}

void consensus_simulation::wipeDisk(node &n)
{
    traceEvent(fmt::format("empty the disk of {}", n.id));
    ++m_reached.emptied;
    n.core.reset();
    n.stored = disk();
    n.incarnation = m_nextIncarnation++;
    n.founding = false;
}

void consensus_simulation::blockLinks()
{
    m_blockedLinks.clear();
    if (chance(40))
        return;
    if (chance(50)) {
        // Splits the replicas into two sides. A one-way partition loses only one direction.
        const bool oneWay = chance(40);
        std::set<replica_id> side;
        for (const node &n : m_nodes)
            if (chance(40))
                side.insert(n.id);
        for (const node &a : m_nodes)
            for (const node &b : m_nodes)
                if (side.contains(a.id) && !side.contains(b.id)) {
                    m_blockedLinks.insert({a.id, b.id});
                    if (!oneWay)
                        m_blockedLinks.insert({b.id, a.id});
                }
        return;
    }
    for (const node &a : m_nodes)
        for (const node &b : m_nodes)
            if (chance(25))
                m_blockedLinks.insert({a.id, b.id});
}

void consensus_simulation::injectFailure()
{
    // Half of the failures affect a leader, if there is one.
    node *leader = chance(50) ? findLeader() : nullptr;
    node &n = leader != nullptr ? *leader : randomNode();
    switch (random(8)) {
    case 0:
    case 1:
        blockLinks();
        break;
    case 2:
        n.paused = !n.paused;
        break;
    case 3:
    case 4:
        if (n.core) {
            // Crashes at a random point while the next output is handled.
            n.core->tick();
            n.core->propose(fmt::format("command {}", m_nextCommand++));
            processOutput(n, static_cast<crash_point>(1 + random(3)));
        }
        break;
    case 5:
    case 6:
        if (!n.core)
            startNode(n);
        break;
    default:
        if (m_wipesDisks && chance(40)) {
            wipeDisk(n);
            if (chance(70))
                startNode(n);
        }
    }
}

void consensus_simulation::changeMembership()
{
    node *leader = findLeader();
    if (leader == nullptr)
        return;
    const replica_id target = randomNode().id;
    const replica_id other = randomNode().id;
    membership_result result{};
    switch (random(3)) {
    case 0:
        result = leader->core->addMember(target, chance(20));
        break;
    case 1:
        result = chance(50) ? leader->core->removeMember(target) : membership_result::busy;
        break;
    default:
        result = leader->core->replaceMember(target, other);
    }
    if (result == membership_result::started)
        traceEvent(
            fmt::format("leader {} changes the membership: {} {}", leader->id, target, other));
    processOutput(*leader);
}

// Steps

void consensus_simulation::step()
{
    ++m_currentStep;
    for (node &n : m_nodes) {
        if (!n.core || n.paused || chance(n.skippedTicks))
            continue;
        n.core->tick();
        processOutput(n);
    }
    deliverDue();
    // The final phase proposes more rarely, because replicas could not catch up otherwise with the
    // small flow-control windows.
    if (node *leader = chance(m_faultsStopped ? 10 : 50) ? findLeader() : nullptr)
        propose(*leader);
    if (node *leader = chance(20) ? findLeader() : nullptr) {
        const std::optional<std::uint64_t> id = leader->core->requestRead();
        leader->reads[*id] = m_committedTerms.size() - 1;
        processOutput(*leader);
    }
    if (m_faultsStopped)
        return;
    if (chance(m_failurePercent))
        injectFailure();
    if (m_changesMembership && chance(5))
        changeMembership();
    if (chance(10))
        compact(randomNode());
}

void consensus_simulation::propose(node &n)
{
    for (std::uint64_t i = 1 + random(4); i > 0; --i)
        n.core->propose(fmt::format("command {}", m_nextCommand++));
    processOutput(n);
}

void consensus_simulation::send(const wire::peer_message &message)
{
    for (unsigned copies = chance(m_duplicatePercent) ? 2 : 1; copies > 0; --copies)
        if (!chance(m_lossPercent) && !m_blockedLinks.contains({message.from(), message.to()}))
            m_network.push_back({m_currentStep + random(m_maxDelay), message});
}

void consensus_simulation::deliverDue()
{
    std::vector<in_flight> due;
    std::vector<in_flight> later;
    for (in_flight &item : m_network)
        (item.due <= m_currentStep ? due : later).push_back(std::move(item));
    m_network = std::move(later);
    if (m_maxDelay > 1)
        std::shuffle(due.begin(), due.end(), m_random);
    for (in_flight &item : due) {
        node *n = findNode(item.message.to());
        if (n == nullptr || !n->core)
            continue;
        if (n->paused) {
            // The messages stay queued in the paused process.
            item.due = m_currentStep + 1;
            m_network.push_back(std::move(item));
            continue;
        }
        n->core->receive(item.message);
        processOutput(*n);
    }
}

void consensus_simulation::processOutput(node &n, crash_point point)
{
    for (core_output output = n.core->takeOutput(); !output.isEmpty();
         output = n.core->takeOutput()) {
        checkEntries(n, output);
        if (output.hardState && !output.messagesBeforeSync.empty())
            fail(
                fmt::format("replica {} sends entries before its vote for itself is stored", n.id));
        for (const wire::peer_message &message : output.messagesBeforeSync)
            send(message);
        if (output.needsSync()) {
            storeOutput(n, output, point);
            if (point != crash_point::none) {
                crash(n);
                return;
            }
            n.core->markPersisted();
        }
        checkDurability(n, output);
        for (const wire::peer_message &message : output.messagesAfterSync)
            send(message);
        applyOutput(n, output);
        checkRole(n);
        checkCommit(n);
    }
    checkRole(n);
    checkCommit(n);
    if (point != crash_point::none)
        crash(n);
}

void consensus_simulation::storeOutput(node &n, const core_output &output, crash_point point)
{
    if (point == crash_point::before_store)
        return;
    const bool partial = point == crash_point::during_store;
    disk &stored = n.stored;
    if (output.hardState)
        stored.hardState = *output.hardState;
    if (partial && chance(30))
        return;
    if (output.snapshot) {
        ++m_reached.installs;
        stored.snapshot = output.snapshot;
        stored.older.reset();
        stored.baseIndex = output.snapshot->index;
        stored.baseTerm = output.snapshot->term;
        stored.baseMembers = output.snapshot->members;
        stored.entries.clear();
    }
    std::size_t count = output.entries.size();
    if (partial && count > 0)
        count = random(count + 1);
    for (std::size_t i = 0; i < count; ++i) {
        const wire::log_entry &entry = output.entries[i];
        stored.entries.resize(entry.index() - stored.baseIndex - 1);
        stored.entries.push_back(entry);
    }
}

void consensus_simulation::compact(node &n)
{
    if (!n.core || n.paused || n.applied <= (n.stored.snapshot ? n.stored.snapshot->index : 0))
        return;
    auto snapshot = std::make_shared<log_snapshot>();
    snapshot->index = n.applied;
    snapshot->term = n.core->termAt(n.applied);
    snapshot->members = n.core->membersAt(n.applied);
    snapshot->data = snapshotData(n.state);
    disk &stored = n.stored;
    stored.older = stored.snapshot;
    stored.snapshot = snapshot;
    if (stored.older) {
        while (stored.baseIndex < stored.older->index) {
            stored.baseTerm = stored.entries.front().term();
            stored.entries.pop_front();
            ++stored.baseIndex;
        }
        stored.baseMembers = stored.older->members;
    }
    n.core->compact(snapshot, stored.older ? stored.older->index : 0);
}

void consensus_simulation::applyOutput(node &n, const core_output &output)
{
    if (output.snapshot) {
        n.applied = output.snapshot->index;
        n.state = parseState(output.snapshot->data);
        if (m_stateHashes.at(n.applied) != n.state)
            fail(fmt::format("replica {} installed a snapshot with another state", n.id));
    }
    for (const wire::log_entry &entry : output.committed) {
        if (entry.index() != n.applied + 1)
            fail(fmt::format("replica {} applies {} after {}", n.id, entry.index(), n.applied));
        n.applied = entry.index();
        n.state = hashCommand(n.state, entry.command());
        if (m_stateHashes.try_emplace(n.applied, n.state).first->second != n.state)
            fail(fmt::format("replica {} applied another sequence up to {}", n.id, n.applied));
    }
    for (const read_result &read : output.reads) {
        const auto found = n.reads.find(read.id);
        if (found == n.reads.end())
            fail("a read was answered twice");
        if (read.confirmed && read.index < found->second)
            fail(fmt::format("a confirmed read at replica {} sees {}, but {} was committed before",
                             n.id, read.index, found->second));
        m_reached.reads += read.confirmed ? 1 : 0;
        n.reads.erase(found);
    }
}

// Invariants

void consensus_simulation::checkEntries(const node &n, const core_output &output)
{
    for (const wire::log_entry &entry : output.entries) {
        const std::pair<std::uint64_t, std::string> content{n.core->termAt(entry.index() - 1),
                                                            entry.SerializeAsString()};
        const auto [known, isNew] = m_entries.try_emplace({entry.index(), entry.term()}, content);
        // The term of the previous entry is 0 if that entry is already compacted, and is then not
        // compared.
        if (!isNew && known->second.second != content.second)
            fail(fmt::format("two entries with index {} and term {}", entry.index(), entry.term()));
        if (!isNew && entry.index() - 1 >= n.core->baseIndex()
            && known->second.first != content.first)
            fail(
                fmt::format("logs differ before index {} of term {}", entry.index(), entry.term()));
        if (isNew && entry.kind() == wire::log_entry::MEMBERSHIP)
            checkMembershipEntry(n, entry);
    }
}

void consensus_simulation::checkMembershipEntry(const node &n, const wire::log_entry &entry)
{
    if (m_autoJoins
        && n.core->membersAt(entry.index() - 1).members_size() > entry.members().members_size())
        ++m_reached.removals;
    for (const wire::log_member &member : entry.members().members()) {
        const std::uint64_t incarnation = member.incarnation();
        if (incarnation == 0 || !member.voter() || !m_voterIncarnations.insert(incarnation).second)
            continue;
        ++m_reached.promotions;
        traceEvent(
            fmt::format("leader {} promotes {} incarnation {}", n.id, member.id(), incarnation));
        const auto confirmed = m_promotionThresholds.find(incarnation);
        if (confirmed == m_promotionThresholds.end())
            fail("a learner was promoted before its repair was committed");
        const node *learner = findNode(member.id());
        if (learner->incarnation == incarnation && learner->stored.lastIndex() < confirmed->second)
            fail(fmt::format("replica {} was promoted with {} of {} entries on its disk",
                             member.id(), learner->stored.lastIndex(), confirmed->second));
    }
}

// Votes and acknowledgements must be on the sender's disk before they are sent.
void consensus_simulation::checkDurability(const node &n, const core_output &output)
{
    for (const wire::peer_message &message : output.messagesAfterSync) {
        const bool isAcknowledgement = message.body_case() == wire::peer_message::kAppended;
        const bool isVote = message.body_case() == wire::peer_message::kVote
            && message.vote().granted() && !message.vote().pre_vote();
        if ((isAcknowledgement || isVote) && n.stored.hardState.term < message.term())
            fail(fmt::format("replica {} answered in a term that it has not stored", n.id));
        if (isAcknowledgement && message.appended().match() > n.stored.lastIndex())
            fail(fmt::format("replica {} acknowledged {} with {} on its disk", n.id,
                             message.appended().match(), n.stored.lastIndex()));
        if (!isVote)
            continue;
        if (n.stored.hardState
            != hard_state{message.term(), message.to(), message.to_incarnation()})
            fail(fmt::format("replica {} sent a vote that it has not stored", n.id));
        if (!m_voterIncarnations.contains(message.from_incarnation()))
            fail(fmt::format("replica {} voted before its promotion", message.from()));
        m_grants[{message.term(), message.to(), message.to_incarnation()}].insert(
            {message.from(), message.from_incarnation()});
    }
}

void consensus_simulation::checkRole(node &n)
{
    const bool isLeader = n.core->role() == core_role::leader;
    if (!isLeader || (n.wasLeader && n.leaderTerm == n.core->term())) {
        n.wasLeader = isLeader;
        return;
    }
    n.wasLeader = true;
    n.leaderTerm = n.core->term();
    ++m_reached.leaders;
    traceEvent(fmt::format("replica {} leads term {}", n.id, n.leaderTerm));
    const std::pair<replica_id, std::uint64_t> self{n.id, n.incarnation};
    if (m_leaders.try_emplace(n.leaderTerm, self).first->second != self)
        fail(fmt::format("two leaders in term {}", n.leaderTerm));

    const auto &grants = m_grants[{n.leaderTerm, n.id, n.incarnation}];
    std::size_t voters = 0;
    std::size_t granted = 0;
    for (const wire::log_member &member : n.core->members().members()) {
        if (!member.voter())
            continue;
        ++voters;
        const bool known = member.incarnation() != 0;
        granted += member.id() == n.id || std::ranges::any_of(grants, [&](const auto &voter) {
                       return voter.first == member.id()
                           && (!known || voter.second == member.incarnation());
                   });
    }
    if (granted * 2 <= voters)
        fail(fmt::format("replica {} leads term {} with {} votes of {}", n.id, n.leaderTerm,
                         granted, voters));
    // Delayed votes may elect a leader after a leader of a later term has committed entries. The
    // late one cannot commit anything and needs only the entries committed in earlier terms.
    for (log_index index = n.core->baseIndex() + 1; index < m_committedTerms.size(); ++index)
        if (m_committingTerms[index] < n.leaderTerm
            && n.core->termAt(index) != m_committedTerms[index])
            fail(fmt::format("the new leader {} lacks the committed entry {}", n.id, index));
}

void consensus_simulation::checkCommit(node &n)
{
    const log_index commit = n.core->commitIndex();
    for (log_index index = std::max(n.checkedCommit, n.core->baseIndex()) + 1; index <= commit;
         ++index) {
        const std::uint64_t term = n.core->termAt(index);
        if (index < m_committedTerms.size()) {
            if (m_committedTerms[index] != term)
                fail(fmt::format("replica {} committed another entry {}", n.id, index));
            continue;
        }
        if (index != m_committedTerms.size())
            fail("an entry was committed before the one that precedes it");
        checkQuorumStored(n, index, term);
        for (const wire::log_member &member :
             n.core->entries()[index - n.core->baseIndex() - 1].members().members())
            if (!member.voter())
                m_promotionThresholds.try_emplace(member.incarnation(), commit);
        m_committedTerms.push_back(term);
        m_committingTerms.push_back(n.core->term());
        ++m_reached.commits;
    }
    n.checkedCommit = std::max(n.checkedCommit, commit);
}

void consensus_simulation::checkQuorumStored(const node &leader, log_index index,
                                             std::uint64_t term)
{
    if (leader.core->role() != core_role::leader)
        fail("an entry was committed first by a follower");
    std::size_t voters = 0;
    std::size_t stored = 0;
    for (const wire::log_member &member : leader.core->members().members()) {
        if (!member.voter())
            continue;
        ++voters;
        const node *holder = findNode(member.id());
        // A new incarnation shows that the disk was lost after the acknowledgement.
        const bool emptied = member.incarnation() != 0 ? holder->incarnation != member.incarnation()
                                                       : !holder->founding;
        stored += emptied || holder->stored.has(index, term);
    }
    if (stored * 2 <= voters)
        fail(fmt::format("entry {} was committed with {} of {} voters having it on disk", index,
                         stored, voters));
}

// Returns whether each possible candidate has a majority of its voters that still have their disks.
bool consensus_simulation::hasSurvivingQuorum() const
{
    bool hasVoter = false;
    for (const node &n : m_nodes) {
        const wire::membership *members = &n.stored.baseMembers;
        for (const wire::log_entry &entry : n.stored.entries)
            if (entry.kind() == wire::log_entry::MEMBERSHIP)
                members = &entry.members();
        std::size_t voters = 0;
        std::size_t alive = 0;
        for (const wire::log_member &member : members->members()) {
            if (!member.voter())
                continue;
            ++voters;
            const auto holder = std::ranges::find(m_nodes, member.id(), &node::id);
            alive += member.incarnation() != 0 ? holder->incarnation == member.incarnation()
                                               : holder->founding;
        }
        if (voters > 0 && alive * 2 <= voters)
            return false;
        hasVoter = hasVoter || voters > 0;
    }
    return hasVoter;
}

void consensus_simulation::recover()
{
    m_faultsStopped = true;
    m_lossPercent = 0;
    m_maxDelay = 1; // a long delay would slow down catching up with the small windows
    m_blockedLinks.clear();
    for (node &n : m_nodes) {
        n.paused = false;
        n.skippedTicks = 10;
        if (!n.core)
            startNode(n);
    }
    if (!hasSurvivingQuorum())
        return;
    ++m_reached.recoveries;
    const std::size_t before = m_committedTerms.size();
    const auto hasConverged = [&] {
        if (m_committedTerms.size() < before + 10)
            return false;
        const node *leader = findLeader();
        if (leader == nullptr)
            return false;
        return std::ranges::all_of(leader->core->status(), [&](const member_status &member) {
            return member.match + 20 > leader->core->lastIndex()
                && findNode(member.id)->incarnation == member.incarnation
                && findNode(member.id)->applied >= before;
        });
    };
    for (unsigned i = 0; i < recoverySteps; ++i) {
        step();
        if (i % 10 == 0 && hasConverged())
            return;
    }
    fail("the group does not work although a majority of the voters does");
}

void consensus_simulation::run()
{
    for (unsigned i = 0; i < stepsPerRun; ++i)
        step();
    recover();
}

} // namespace buckthorngrade
