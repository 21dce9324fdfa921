#include "agreement/replica.h"

#include <algorithm>
#include <random>
#include <utility>

namespace buckthorngrade {

namespace {

// Maximum number of requests and messages that are handled before a sync.
constexpr int maxBatchItems = 4096;

std::uint64_t randomBits()
{
    std::random_device device;
    constexpr unsigned wordBits = 32;
    return (static_cast<std::uint64_t>(device()) << wordBits) | device();
}

// Replaces std::erase_if, which passes the items as const, because fulfilling a promise modifies
// it.
template <typename Map, typename F>
void eraseIf(Map &items, F isDone)
{
    for (auto it = items.begin(); it != items.end();)
        it = isDone(it->first, it->second) ? items.erase(it) : std::next(it);
}

template <typename T>
std::future<T> readyFuture(T value)
{
    std::promise<T> promise;
    promise.set_value(std::move(value));
    return promise.get_future();
}

unsigned ticksIn(std::chrono::milliseconds time, std::chrono::milliseconds tick)
{
    return std::max(1U, static_cast<unsigned>(time / tick));
}

wire::membership foundersOf(const std::vector<replica_id> &ids)
{
    std::vector<replica_id> sorted = ids;
    std::ranges::sort(sorted);
    wire::membership result;
    for (const replica_id id : sorted) {
        wire::log_member &member = *result.add_members();
        member.set_id(id);
        member.set_voter(true);
    }
    return result;
}

} // namespace

replica::replica(const replica_settings &settings, file_system &files, state_machine &machine,
                 peer_transport &transport, const clock_source &clock, event_log &events,
                 metric_registry &metrics)
    : m_settings(settings)
    , m_machine(machine)
    , m_transport(transport)
    , m_clock(clock)
    , m_events(events)
    , m_storage(files, settings.folder, settings.segmentBytes)
    , m_ring(settings.ringItems)
    , m_appliedCount(metrics.counter("bg_agreement_entries_applied_total"))
    , m_droppedCount(metrics.counter("bg_agreement_peer_messages_dropped_total"))
    , m_storeTime(metrics.summary("bg_agreement_store_seconds"))
{
    core_state state = openFolder();
    const replica_identity &identity = m_storage.identity();
    m_coreSettings.self = settings.self;
    m_coreSettings.incarnation = identity.owner.incarnation;
    m_coreSettings.founding = identity.founding;
    m_coreSettings.peers = settings.members;
    m_coreSettings.autoJoinMaxMembers = settings.autoJoinMaxMembers;
    m_coreSettings.silentMemberTicks = ticksIn(settings.replaceSilentAfter, settings.tick);
    m_coreSettings.removeMemberTicks = ticksIn(settings.removeSilentAfter, settings.tick);
    m_coreSettings.minVoters = settings.minVoters;
    m_coreSettings.seed = settings.seed == 0 ? randomBits() : settings.seed;
    m_coreSettings.electionTicks = ticksIn(settings.electionTimeout, settings.tick);
    m_coreSettings.heartbeatTicks = ticksIn(settings.heartbeat, settings.tick);
    if (state.snapshot) {
        m_machine.restore(state.snapshot->index, state.snapshot->data);
        m_applied = state.snapshot->index;
        m_snapshotIndex = m_applied;
        m_snapshotBytes = state.snapshot->data.size();
    }
    for (const wire::log_entry &entry : state.entries)
        m_bytesSinceSnapshot += entry.ByteSizeLong();
    m_core = std::make_unique<consensus_core>(m_coreSettings, std::move(state));
    m_events.write(event_id::replica_started,
                   {{"replica", settings.self},
                    {"incarnation", identity.owner.incarnation},
                    {"term", m_core->term()},
                    {"applied", m_applied},
                    {"last", m_core->lastIndex()}});
    publishStatus();
}

replica::~replica()
{
    stop();
}

core_state replica::openFolder()
{
    const bool hasIdentity = m_storage.hasIdentity();
    if (hasIdentity && m_settings.initialize && !m_settings.allowInitialized)
        throw agreement_error(m_settings.folder.string()
                              + ": the data folder is already initialized; start without the flag");
    if (!hasIdentity) {
        replica_identity identity;
        identity.owner.cluster = m_settings.cluster;
        identity.owner.replica = m_settings.self;
        while (identity.owner.incarnation == 0)
            identity.owner.incarnation = randomBits();
        identity.founding = m_settings.initialize;
        if (m_settings.initialize)
            identity.founders = foundersOf(m_settings.members);
        m_storage.initialize(identity);
        m_events.write(event_id::folder_initialized,
                       {{"folder", m_settings.folder.string()},
                        {"incarnation", identity.owner.incarnation},
                        {"founding", identity.founding}});
    }
    core_state state = m_storage.load(m_settings.cluster, m_settings.self);
    if (m_storage.hadTornTail())
        m_events.write(event_id::torn_tail_removed, {{"folder", m_settings.folder.string()}});
    if (m_storage.damagedSnapshots() > 0)
        m_events.write(event_id::snapshot_damaged, {{"folder", m_settings.folder.string()}});
    return state;
}

void replica::start(std::function<void(const std::string &what)> onFailure)
{
    m_onFailure = std::move(onFailure);
    m_thread = std::thread([this] { run(); });
}

void replica::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable())
        m_thread.join();
    else
        failPendingRequests();
}

// Requests from other threads

std::future<submit_result> replica::submit(std::string command, std::chrono::milliseconds timeout)
{
    submit_request request{std::move(command), {}, m_clock.now() + timeout};
    std::future<submit_result> future = request.promise.get_future();
    if (!m_ring.tryPush(std::move(request)))
        return readyFuture(submit_result{submit_result::status::not_accepted, 0, {}, 0});
    return future;
}

std::future<bool> replica::confirmRead(std::chrono::milliseconds timeout)
{
    read_request request{{}, m_clock.now() + timeout};
    std::future<bool> future = request.promise.get_future();
    if (!m_ring.tryPush(std::move(request)))
        return readyFuture(false);
    return future;
}

std::future<membership_result>
replica::requestChange(std::function<membership_result(consensus_core &)> call)
{
    change_request request{std::move(call), {}};
    std::future<membership_result> future = request.promise.get_future();
    if (!m_ring.tryPush(std::move(request)))
        return readyFuture(membership_result::busy);
    return future;
}

std::future<membership_result> replica::addMember(replica_id id, bool staysLearner)
{
    return requestChange([=](consensus_core &core) { return core.addMember(id, staysLearner); });
}

std::future<membership_result> replica::removeMember(replica_id id)
{
    return requestChange([=](consensus_core &core) { return core.removeMember(id); });
}

std::future<membership_result> replica::replaceMember(replica_id oldId, replica_id newId)
{
    return requestChange([=](consensus_core &core) { return core.replaceMember(oldId, newId); });
}

void replica::receive(std::string bytes)
{
    const std::size_t size = bytes.size();
    if (m_ringBytes.fetch_add(size) + size <= m_settings.ringBytes
        && m_ring.tryPush(peer_input{std::move(bytes)}))
        return;
    m_ringBytes -= size;
    m_droppedCount.add();
}

role_view replica::view() const
{
    const std::lock_guard lock(m_viewMutex);
    return m_view;
}

replica::membership_view replica::membership() const
{
    const std::lock_guard lock(m_viewMutex);
    return m_membership;
}

// The replica's thread

void replica::run()
{
    try {
        steady_time nextTick = m_clock.now() + m_settings.tick;
        while (!m_stopping)
            runOnce(nextTick);
    } catch (const storage_full &e) {
        fail(event_id::disk_full, e.what());
    } catch (const storage_error &e) {
        fail(event_id::storage_failed, e.what());
    } catch (const std::exception &e) {
        fail(event_id::replica_failed, e.what());
    }
    m_ring.close();
    failPendingRequests();
}

void replica::runOnce(steady_time &nextTick)
{
    const auto untilTick = std::chrono::ceil<std::chrono::milliseconds>(nextTick - m_clock.now());
    std::optional<input> item
        = m_ring.pop(std::clamp(untilTick, std::chrono::milliseconds(0), m_settings.tick));
    for (int handled = 0; item; ++handled) {
        handle(std::move(*item));
        if (handled >= maxBatchItems || m_ring.size() == 0)
            break;
        item = m_ring.pop(std::chrono::milliseconds(0));
    }
    const steady_time now = m_clock.now();
    if (now >= nextTick) {
        // After a pause of the process, the queued messages are handled before the missed ticks,
        // and at most one election timeout's worth of ticks is caught up.
        for (unsigned i = 0; now >= nextTick && i < m_coreSettings.electionTicks; ++i) {
            m_core->tick();
            nextTick += m_settings.tick;
        }
        nextTick = std::max(nextTick, now);
        expireRequests(now);
    }
    processOutput();
    takeSnapshotIfDue();
    publishStatus();
}

void replica::handle(input item)
{
    if (auto *peer = std::get_if<peer_input>(&item)) {
        m_ringBytes -= peer->bytes.size();
        handlePeerMessage(peer->bytes);
    } else if (auto *command = std::get_if<submit_request>(&item)) {
        handleSubmit(std::move(*command));
    } else if (auto *read = std::get_if<read_request>(&item)) {
        handleRead(std::move(*read));
    } else if (auto *request = std::get_if<change_request>(&item)) {
        request->promise.set_value(request->change(*m_core));
    }
}

void replica::handlePeerMessage(const std::string &bytes)
{
    wire::peer_message message;
    if (message.ParseFromString(bytes))
        m_core->receive(message);
    else
        m_events.write(event_id::invalid_peer_message, {{"bytes", bytes.size()}});
}

void replica::handleSubmit(submit_request request)
{
    std::optional<log_index> index;
    if (m_clock.now() < request.deadline)
        index = m_core->propose(std::move(request.command));
    if (index) {
        pending_submit &pending = m_pendingSubmits[*index];
        // The index holds a command of an earlier term of this leader, which another replica may
        // still have.
        if (pending.term != 0)
            pending.promise.set_value(
                {submit_result::status::unknown, *index, {}, m_core->leader()});
        pending = {m_core->term(), std::move(request.promise), request.deadline};
        return;
    }
    request.promise.set_value({submit_result::status::not_accepted, 0, {}, m_core->leader()});
}

void replica::handleRead(read_request request)
{
    const std::optional<std::uint64_t> id = m_core->requestRead();
    if (id)
        m_pendingReads[*id] = {std::move(request.promise), request.deadline, false, 0};
    else
        request.promise.set_value(false);
}

void replica::processOutput()
{
    for (core_output output = m_core->takeOutput(); !output.isEmpty();
         output = m_core->takeOutput()) {
        send(output.messagesBeforeSync);
        if (output.needsSync()) {
            store(output);
            m_core->markPersisted();
        }
        send(output.messagesAfterSync);
        if (output.snapshot) {
            m_machine.restore(output.snapshot->index, output.snapshot->data);
            m_applied = output.snapshot->index;
            // The results of the commands that the snapshot covers are not known.
            for (auto end = m_pendingSubmits.upper_bound(m_applied), it = m_pendingSubmits.begin();
                 it != end; it = m_pendingSubmits.erase(it))
                it->second.promise.set_value(
                    {submit_result::status::unknown, 0, {}, m_core->leader()});
            m_events.write(event_id::snapshot_installed, {{"index", m_applied}});
        }
        for (const wire::log_entry &entry : output.committed)
            apply(entry);
        for (const read_result &read : output.reads) {
            const auto found = m_pendingReads.find(read.id);
            if (found == m_pendingReads.end())
                continue;
            if (read.confirmed) {
                found->second.confirmed = true;
                found->second.index = read.index;
            } else {
                found->second.promise.set_value(false);
                m_pendingReads.erase(found);
            }
        }
        finishReads();
    }
}

void replica::store(const core_output &output)
{
    const steady_time begin = m_clock.now();
    if (output.hardState)
        m_storage.save(*output.hardState);
    if (output.snapshot) {
        // The leader's snapshot is newer than the one being stored; waits for that one first.
        if (m_pendingSnapshot)
            m_pendingSnapshot->stored.get();
        m_pendingSnapshot.reset();
        m_storage.installSnapshot(*output.snapshot);
        m_snapshotIndex = output.snapshot->index;
        m_snapshotBytes = output.snapshot->data.size();
        m_bytesSinceSnapshot = 0;
    }
    if (!output.entries.empty()) {
        m_storage.append(output.entries);
        for (const wire::log_entry &entry : output.entries)
            m_bytesSinceSnapshot += entry.ByteSizeLong();
    }
    m_storeTime.add(m_clock.now() - begin);
}

void replica::send(const std::vector<wire::peer_message> &messages)
{
    for (const wire::peer_message &message : messages)
        m_transport.send(message.to(), message.SerializeAsString());
}

void replica::apply(const wire::log_entry &entry)
{
    submit_result result{submit_result::status::applied, entry.index(), {}, m_core->leader()};
    if (entry.kind() == wire::log_entry::COMMAND) {
        result.result = m_machine.apply(entry.index(), entry.command());
    } else if (entry.kind() == wire::log_entry::MEMBERSHIP) {
        std::string text;
        for (const wire::log_member &member : entry.members().members())
            text += fmt::format("{}{}/{:016x}{}", text.empty() ? "" : ",", member.id(),
                                member.incarnation(), member.voter() ? "" : "/learner");
        m_events.write(event_id::membership_changed, {{"index", entry.index()}, {"members", text}});
    }
    m_applied = entry.index();
    m_appliedCount.add();
    const auto pending = m_pendingSubmits.find(entry.index());
    if (pending == m_pendingSubmits.end())
        return;
    // An entry of another term was committed at this index, so the command never will be.
    if (pending->second.term != entry.term())
        result = {submit_result::status::not_accepted, 0, {}, m_core->leader()};
    pending->second.promise.set_value(std::move(result));
    m_pendingSubmits.erase(pending);
}

void replica::finishReads()
{
    eraseIf(m_pendingReads, [this](std::uint64_t, pending_read &read) {
        if (!read.confirmed || read.index > m_applied)
            return false;
        read.promise.set_value(true);
        return true;
    });
}

void replica::expireRequests(steady_time now)
{
    eraseIf(m_pendingSubmits, [&](log_index index, pending_submit &pending) {
        if (now < pending.deadline)
            return false;
        pending.promise.set_value({submit_result::status::unknown, index, {}, m_core->leader()});
        return true;
    });
    eraseIf(m_pendingReads, [&](std::uint64_t, pending_read &read) {
        if (now < read.deadline)
            return false;
        read.promise.set_value(false);
        return true;
    });
}

void replica::takeSnapshotIfDue()
{
    if (m_pendingSnapshot) {
        finishSnapshot();
        return;
    }
    if (m_bytesSinceSnapshot <= std::max(m_settings.snapshotAfterBytes, m_snapshotBytes)
        || m_applied <= m_snapshotIndex)
        return;
    auto snapshot = std::make_shared<log_snapshot>();
    snapshot->index = m_applied;
    snapshot->term = m_core->termAt(m_applied);
    snapshot->members = m_core->membersAt(m_applied);
    snapshot->data = m_machine.snapshot();
    m_snapshotIndex = m_applied;
    m_snapshotBytes = snapshot->data.size();
    m_bytesSinceSnapshot = 0;
    m_pendingSnapshot = pending_snapshot{snapshot, std::async(std::launch::async, [this, snapshot] {
                                             m_storage.storeSnapshot(*snapshot);
                                         })};
}

void replica::finishSnapshot()
{
    if (m_pendingSnapshot->stored.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        return;
    m_pendingSnapshot->stored.get();
    const log_index older = m_storage.compactLog();
    const auto snapshot = std::move(m_pendingSnapshot->snapshot);
    m_pendingSnapshot.reset();
    m_events.write(
        event_id::snapshot_taken,
        {{"index", snapshot->index}, {"bytes", snapshot->data.size()}, {"log_from", older}});
    m_core->compact(snapshot, older);
}

void replica::publishStatus()
{
    role_view next;
    next.self = m_settings.self;
    next.leader = m_core->leader();
    next.term = m_core->term();
    next.commitIndex = m_core->commitIndex();
    next.appliedIndex = m_applied;
    next.isLeader = m_core->role() == core_role::leader;
    next.isVoter = m_core->isVoter();
    next.isConnected = m_core->isConnected();
    std::vector<member_status> members = m_core->status();

    const std::lock_guard lock(m_viewMutex);
    if (next.isLeader && (!m_view.isLeader || next.term != m_view.term))
        m_events.write(event_id::leader_elected, {{"term", next.term}});
    else if (next.leader != m_view.leader)
        m_events.write(event_id::leader_changed, {{"term", next.term}, {"leader", next.leader}});
    m_view = next;
    m_membership.incarnation = m_coreSettings.incarnation;
    m_membership.members = std::move(members);
    m_membership.lastIndex = m_core->lastIndex();
}

void replica::fail(event_id event, const std::string &what)
{
    m_core->stepDown();
    publishStatus();
    {
        const std::lock_guard lock(m_viewMutex);
        m_membership.failure = what;
        m_view.isConnected = false;
        m_view.leader = 0;
    }
    m_events.write(event, {{"what", what}});
    // The process is about to exit, so pending requests are completed now.
    m_ring.close();
    failPendingRequests();
    if (m_onFailure)
        m_onFailure(what);
}

void replica::failPendingRequests()
{
    while (std::optional<input> item = m_ring.pop(std::chrono::milliseconds(0))) {
        if (auto *command = std::get_if<submit_request>(&*item))
            command->promise.set_value({submit_result::status::not_accepted, 0, {}, 0});
        else if (auto *read = std::get_if<read_request>(&*item))
            read->promise.set_value(false);
        else if (auto *request = std::get_if<change_request>(&*item))
            request->promise.set_value(membership_result::not_leader);
    }
    for (auto &[index, pending] : m_pendingSubmits)
        pending.promise.set_value({submit_result::status::unknown, index, {}, 0});
    m_pendingSubmits.clear();
    for (auto &[id, pending] : m_pendingReads)
        pending.promise.set_value(false);
    m_pendingReads.clear();
}

} // namespace buckthorngrade
