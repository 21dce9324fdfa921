#pragma once

#include "agreement/consensus_core.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace buckthorngrade {

// An invariant of the protocol does not hold.
class invariant_violation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Simulates a group of consensus cores with random failures, which depend only on the seed, and
// checks the invariants of the protocol after each step:
// - There is at most one leader per term.
// - Two logs are equal up to any entry that both have.
// - An entry is committed only when a majority of the voters has it on disk.
// - Votes and acknowledgements are on the sender's disk before they are sent.
// - Committed entries are never lost or changed, and every replica applies the same sequence.
// - Confirmed reads see everything that was committed before.
// - A replica that lost its disk neither votes nor is counted before its promotion, which happens
//   only after it synced everything that was committed when the entry that re-adds it was
//   committed.
// At the end all failures stop, and the group must make progress again if a majority of the voters
// still has its disk.
class consensus_simulation
{
public:
    explicit consensus_simulation(std::uint64_t seed, bool trace = false);
    // Throws violation.
    void run();

    // Counts of the cases that were reached. Passing means little if the rare cases never occur.
    struct coverage
    {
        std::uint64_t leaders = 0;
        std::uint64_t commits = 0;
        std::uint64_t reads = 0;
        std::uint64_t crashes = 0;
        std::uint64_t emptied = 0;
        std::uint64_t promotions = 0;
        std::uint64_t installs = 0;
        std::uint64_t removals = 0; // of silent members by a leader
        std::uint64_t recoveries = 0; // runs that had to make progress at the end
    };
    const coverage &reached() const { return m_reached; }

private:
    // Persistent state, which survives a crash.
    struct disk
    {
        hard_state hardState;
        log_index baseIndex = 0;
        std::uint64_t baseTerm = 0;
        wire::membership baseMembers;
        std::shared_ptr<const log_snapshot> snapshot;
        std::shared_ptr<const log_snapshot> older;
        std::deque<wire::log_entry> entries;

        log_index lastIndex() const { return baseIndex + entries.size(); }
        bool has(log_index index, std::uint64_t term) const;
    };

    struct node
    {
        replica_id id = 0;
        std::uint64_t incarnation = 0;
        bool founding = false;
        disk stored;
        std::unique_ptr<consensus_core> core; // empty while crashed
        bool paused = false;
        unsigned skippedTicks = 0; // percent
        log_index applied = 0;
        std::uint64_t state = 0; // hash of all applied commands
        log_index checkedCommit = 0;
        bool wasLeader = false;
        std::uint64_t leaderTerm = 0;
        std::map<std::uint64_t, log_index> reads; // id to the commit index at the request
    };

    struct in_flight
    {
        std::uint64_t due = 0; // step of the delivery
        wire::peer_message message;
    };

    enum class crash_point { none, before_store, during_store, after_store };

    std::uint64_t random(std::uint64_t below) { return m_random() % below; }
    bool chance(unsigned percent) { return random(100) < percent; }
    node &randomNode() { return m_nodes[random(m_nodes.size())]; }
    node *findNode(replica_id id);
    node *findLeader();
    void traceEvent(const std::string &text) const;
    [[noreturn]] void fail(const std::string &what) const;

    void startNode(node &n);
    void crash(node &n);
    void wipeDisk(node &n);
    void step();
    void injectFailure();
    void changeMembership();
    void blockLinks();
    void processOutput(node &n, crash_point point = crash_point::none);
    void storeOutput(node &n, const core_output &output, crash_point point);
    void send(const wire::peer_message &message);
    void deliverDue();
    void applyOutput(node &n, const core_output &output);
    void compact(node &n);
    void propose(node &n);

    void checkEntries(const node &n, const core_output &output);
    void checkMembershipEntry(const node &n, const wire::log_entry &entry);
    void checkDurability(const node &n, const core_output &output);
    void checkRole(node &n);
    void checkCommit(node &n);
    void checkQuorumStored(const node &leader, log_index index, std::uint64_t term);
    bool hasSurvivingQuorum() const;
    void recover();

    std::uint64_t m_seed;
    bool m_trace;
    std::mt19937_64 m_random;
    std::uint64_t m_currentStep = 0;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_nextCommand = 1;
    std::size_t m_founders = 0;
    std::vector<node> m_nodes;
    std::vector<in_flight> m_network;
    std::set<std::pair<replica_id, replica_id>> m_blockedLinks;

    unsigned m_lossPercent = 0;
    unsigned m_duplicatePercent = 0;
    unsigned m_maxDelay = 1;
    unsigned m_maxBatch = 1;
    unsigned m_failurePercent = 0;
    bool m_wipesDisks = false;
    bool m_changesMembership = false;
    bool m_autoJoins = false; // the leader replaces and removes silent members by itself
    bool m_faultsStopped = false; // the final phase without failures

    using entry_key = std::pair<log_index, std::uint64_t>; // index and term
    std::map<std::uint64_t, std::pair<replica_id, std::uint64_t>> m_leaders; // by term
    std::map<entry_key, std::pair<std::uint64_t, std::string>> m_entries; // previous term, content
    std::vector<std::uint64_t> m_committedTerms{0}; // term by index
    std::vector<std::uint64_t> m_committingTerms{0}; // committing leader's term by index
    std::map<log_index, std::uint64_t> m_stateHashes; // state hash by index
    std::set<std::uint64_t> m_voterIncarnations; // incarnations that are or were voters
    // Index that a learner must have synced before its promotion, by incarnation. It is the commit
    // index at the time when the entry that adds the learner is committed.
    std::map<std::uint64_t, log_index> m_promotionThresholds;
    // Voters (id, incarnation) that granted their vote, by term and candidate (id, incarnation).
    std::map<std::tuple<std::uint64_t, replica_id, std::uint64_t>,
             std::set<std::pair<replica_id, std::uint64_t>>>
        m_grants;
    coverage m_reached;
};

} // namespace buckthorngrade
