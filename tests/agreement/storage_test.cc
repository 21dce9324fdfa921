#include "agreement/posix_file_system.h"
#include "agreement/replica_storage.h"
#include "testing/memory_file_system.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <stdlib.h>

using namespace buckthorngrade;

namespace {

const std::filesystem::path folder = "/data";
constexpr std::uint64_t segmentBytes = 400; // holds a few entries, so that tests use several

wire::log_entry makeEntry(log_index index, std::uint64_t term)
{
    wire::log_entry entry;
    entry.set_index(index);
    entry.set_term(term);
    entry.set_kind(wire::log_entry::COMMAND);
    entry.set_command(fmt::format("command {} of term {}", index, term));
    return entry;
}

std::vector<wire::log_entry> makeEntries(log_index first, log_index last, std::uint64_t term)
{
    std::vector<wire::log_entry> entries;
    for (log_index index = first; index <= last; ++index)
        entries.push_back(makeEntry(index, term));
    return entries;
}

replica_identity makeIdentity(const std::string &cluster = "c", replica_id replica = 1,
                              std::uint64_t incarnation = 77)
{
    return {{cluster, replica, incarnation}, true, {}};
}

log_snapshot makeSnapshot(log_index index, std::uint64_t term)
{
    return {index, term, {}, fmt::format("state at {}", index)};
}

// Expected content of the storage. After a crash it must be the content before the interrupted
// operation, with all, a part or nothing of that operation applied.
struct expected_state
{
    hard_state hardState;
    std::vector<wire::log_entry> entries; // from index 1 on
    log_index snapshot = 0;
};

std::string describe(const expected_state &m)
{
    std::string text = fmt::format("term {} vote {} snapshot {}:", m.hardState.term,
                                   m.hardState.votedFor, m.snapshot);
    // Entries that the snapshot covers may be compacted away.
    for (const wire::log_entry &entry : m.entries)
        if (entry.index() > m.snapshot)
            text += fmt::format(" {}/{}", entry.index(), entry.term());
    return text;
}

std::string describe(const core_state &state)
{
    const log_index snapshot = state.snapshot ? state.snapshot->index : 0;
    std::string text = fmt::format("term {} vote {} snapshot {}:", state.hardState.term,
                                   state.hardState.votedFor, snapshot);
    for (const wire::log_entry &entry : state.entries) {
        CPPUNIT_ASSERT_EQUAL(makeEntry(entry.index(), entry.term()).command(), entry.command());
        if (entry.index() > snapshot)
            text += fmt::format(" {}/{}", entry.index(), entry.term());
    }
    return text;
}

void apply(expected_state &m, const std::vector<wire::log_entry> &entries)
{
    for (const wire::log_entry &entry : entries) {
        m.entries.resize(entry.index() - 1);
        m.entries.push_back(entry);
    }
}

// A write sequence that spans several segments, replaces entries, and takes and installs snapshots.
// Each step changes the storage and sets `allowed` to the states that a crash during the step may
// leave.
class write_sequence
{
public:
    // Runs to the end or to a simulated crash.
    void run(memory_file_system &files)
    {
        replica_storage storage(files, folder, segmentBytes);
        storage.initialize(makeIdentity());
        initialized = true;
        save(storage, {1, 1});
        append(storage, makeEntries(1, 3, 1));
        append(storage, makeEntries(4, 9, 1));
        save(storage, {2, 3});
        append(storage, makeEntries(8, 12, 2)); // replaces 8 and 9
        addSnapshot(storage, makeSnapshot(6, 1));
        append(storage, makeEntries(13, 20, 2));
        append(storage, makeEntries(11, 14, 2)); // shorter than before
        addSnapshot(storage, makeSnapshot(12, 2));
        addSnapshot(storage, makeSnapshot(14, 2));
        save(storage, {3, 2});
        installSnapshot(storage, makeSnapshot(30, 3));
        append(storage, makeEntries(31, 36, 3));
        addSnapshot(storage, makeSnapshot(33, 3));
    }

    bool initialized = false;
    std::set<std::string> allowed{describe(expected_state())};

private:
    void save(replica_storage &storage, hard_state hardState)
    {
        expected_state next = m_expected;
        next.hardState = hardState;
        allowed = {describe(m_expected), describe(next)};
        storage.save(hardState);
        finish(next);
    }

    void append(replica_storage &storage, const std::vector<wire::log_entry> &entries)
    {
        expected_state next = m_expected;
        allowed = {describe(m_expected)};
        for (const wire::log_entry &entry : entries) {
            apply(next, {entry});
            allowed.insert(describe(next));
        }
        storage.append(entries);
        finish(next);
    }

    void addSnapshot(replica_storage &storage, const log_snapshot &snapshot)
    {
        expected_state next = m_expected;
        next.snapshot = snapshot.index;
        allowed = {describe(m_expected), describe(next)};
        storage.storeSnapshot(snapshot);
        allowed = {describe(next)};
        storage.compactLog();
        finish(next);
    }

    void installSnapshot(replica_storage &storage, const log_snapshot &snapshot)
    {
        expected_state next = m_expected;
        next.snapshot = snapshot.index;
        next.entries.resize(snapshot.index);
        allowed = {describe(m_expected), describe(next)};
        storage.installSnapshot(snapshot);
        finish(next);
    }

    void finish(const expected_state &next)
    {
        m_expected = next;
        allowed = {describe(next)};
    }

    expected_state m_expected;
};

core_state loadFrom(memory_file_system &files)
{
    return replica_storage(files, folder, segmentBytes).load("c", 1);
}

// Writes a folder with two snapshots, several segments and a vote.
void writeSampleFolder(memory_file_system &files)
{
    replica_storage storage(files, folder, segmentBytes);
    storage.initialize(makeIdentity());
    storage.save({1, 2});
    storage.append(makeEntries(1, 10, 1));
    storage.storeSnapshot(makeSnapshot(4, 1));
    storage.compactLog();
    storage.append(makeEntries(11, 14, 1));
    storage.storeSnapshot(makeSnapshot(8, 1));
    storage.compactLog();
}

} // namespace

class storage_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(storage_test);
    CPPUNIT_TEST(keepsWhatWasSyncedAtEveryCrashPoint);
    CPPUNIT_TEST(detectsEveryFlippedBit);
    CPPUNIT_TEST(detectsShortenedLog);
    CPPUNIT_TEST(rejectsForeignAndMixedFolders);
    CPPUNIT_TEST(reportsFullDiskAndFailedSync);
    CPPUNIT_TEST(limitsLogSize);
    CPPUNIT_TEST(worksOnRealFiles);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a wrong order of writes and syncs. After a crash at any operation that loses
    // any part of the unsynced data, everything reported as durable must be present.
    void keepsWhatWasSyncedAtEveryCrashPoint()
    {
        memory_file_system uninterrupted;
        write_sequence().run(uninterrupted);
        const std::uint64_t operations = uninterrupted.operations();
        CPPUNIT_ASSERT(operations > 100);
        constexpr std::uint64_t variants = 40;
        for (std::uint64_t crash = 1; crash <= operations; ++crash) {
            for (std::uint64_t variant = 0; variant < variants; ++variant) {
                memory_file_system files;
                files.crashAt(crash);
                write_sequence sequence;
                CPPUNIT_ASSERT_THROW(sequence.run(files), simulated_crash);
                const auto unsynced = variant == 0 ? memory_file_system::lost::all
                    : variant == 1                 ? memory_file_system::lost::nothing
                                                   : memory_file_system::lost::random;
                files.restart(unsynced, variant);
                checkRecovery(files, sequence, fmt::format("crash {} variant {}", crash, variant));
            }
        }
    }

    // Guards against accepting damaged data. A flipped bit must either be reported or not affect
    // the state that is read.
    void detectsEveryFlippedBit()
    {
        memory_file_system original;
        writeSampleFolder(original);
        const std::string expected = describe(loadFrom(original));
        std::uint64_t detected = 0;
        for (const auto &file : original.allFiles()) {
            const std::uint64_t bits = original.read(file).size() * 8;
            for (std::uint64_t bit = 0; bit < bits; ++bit) {
                memory_file_system files;
                original.copyTo(files);
                files.flipBit(file, bit);
                try {
                    const core_state state = loadFrom(files);
                    // The older snapshot and the log replace a damaged newest snapshot.
                    const bool isSnapshot
                        = file.filename().string().find("snapshot") != std::string::npos;
                    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bit {}", file.string(), bit),
                                           isSnapshot || describe(state) == expected);
                    CPPUNIT_ASSERT_EQUAL(log_index(14), state.baseIndex + state.entries.size());
                } catch (const storage_corruption &) {
                    ++detected;
                }
            }
        }
        CPPUNIT_ASSERT(detected > 5'000);
    }

    // Guards against treating lost records as an incomplete write. Only the part after the synced
    // position that is recorded in the hard state may be missing.
    void detectsShortenedLog()
    {
        memory_file_system original;
        writeSampleFolder(original);
        {
            replica_storage storage(original, folder, segmentBytes);
            storage.load("c", 1);
            storage.save({2, 1});
            storage.append(makeEntries(15, 15, 2));
        }
        const std::filesystem::path last = lastSegment(original);
        const std::string bytes = original.read(last);
        const std::size_t tail = makeEntry(15, 2).ByteSizeLong() + 40;
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            memory_file_system files;
            original.copyTo(files);
            files.overwrite(last, bytes.substr(0, size));
            if (size < bytes.size() - tail) {
                CPPUNIT_ASSERT_THROW(loadFrom(files), storage_corruption);
                continue;
            }
            const core_state state = loadFrom(files);
            CPPUNIT_ASSERT_EQUAL(log_index(14), state.entries.back().index());
        }
        memory_file_system files;
        original.copyTo(files);
        files.remove(last);
        CPPUNIT_ASSERT_THROW(loadFrom(files), storage_corruption);
    }

    // Guards against the use of another replica's data or of files of different incarnations.
    void rejectsForeignAndMixedFolders()
    {
        memory_file_system files;
        writeSampleFolder(files);
        replica_storage storage(files, folder, segmentBytes);
        CPPUNIT_ASSERT_THROW(storage.load("other", 1), storage_corruption);
        CPPUNIT_ASSERT_THROW(storage.load("c", 2), storage_corruption);

        memory_file_system other;
        {
            replica_storage copied(other, folder, segmentBytes);
            copied.initialize(makeIdentity("c", 1, 78));
        }
        for (const auto &file : files.allFiles()) {
            memory_file_system mixed;
            files.copyTo(mixed);
            if (file.filename() == "identity") {
                mixed.overwrite(file, other.read(file));
                CPPUNIT_ASSERT_THROW(loadFrom(mixed), storage_corruption);
                mixed.remove(file);
                replica_storage unidentified(mixed, folder, segmentBytes);
                CPPUNIT_ASSERT_THROW(unidentified.hasIdentity(), storage_corruption);
            } else if (file.filename() == "hard-state") {
                mixed.overwrite(file, other.read(file));
                CPPUNIT_ASSERT_THROW(loadFrom(mixed), storage_corruption);
                mixed.remove(file);
                CPPUNIT_ASSERT_THROW(loadFrom(mixed), storage_corruption);
            } else if (file.filename().string().starts_with("log-")) {
                mixed.overwrite(file, other.read(folder / "log-00000000000000000001"));
                CPPUNIT_ASSERT_THROW(loadFrom(mixed), storage_corruption);
            }
        }
        storage.discard();
        CPPUNIT_ASSERT(!storage.hasIdentity());
    }

    // Guards against acknowledging data that was lost to a full disk or a failed sync.
    void reportsFullDiskAndFailedSync()
    {
        for (const auto fault :
             {memory_file_system::fault::disk_full, memory_file_system::fault::failed_sync}) {
            memory_file_system files;
            writeSampleFolder(files);
            const std::string expected = describe(loadFrom(files));
            {
                replica_storage storage(files, folder, segmentBytes);
                storage.load("c", 1);
                files.setFault(fault);
                CPPUNIT_ASSERT_THROW(storage.append(makeEntries(15, 15, 1)), storage_error);
            }
            files.setFault(memory_file_system::fault::none);
            files.restart(memory_file_system::lost::all, 1);
            CPPUNIT_ASSERT_EQUAL(expected, describe(loadFrom(files)));

            replica_storage storage(files, folder, segmentBytes);
            storage.load("c", 1);
            files.setFault(fault);
            CPPUNIT_ASSERT_THROW(storage.save({9, 1}), storage_error);
            files.restart(memory_file_system::lost::all, 1);
            CPPUNIT_ASSERT_EQUAL(expected, describe(loadFrom(files)));
        }
    }

    // Guards against unbounded growth of the log or the snapshots.
    void limitsLogSize()
    {
        memory_file_system files;
        replica_storage storage(files, folder, segmentBytes);
        storage.initialize(makeIdentity());
        storage.save({1, 1});
        for (log_index index = 1; index <= 2'000; ++index) {
            storage.append(makeEntries(index, index, 1));
            if (index % 20 == 0) {
                storage.storeSnapshot(makeSnapshot(index, 1));
                storage.compactLog();
            }
        }
        CPPUNIT_ASSERT(storage.logBytes() < 10 * segmentBytes);
        CPPUNIT_ASSERT(files.allFiles().size() < 14);
        const core_state state = loadFrom(files);
        CPPUNIT_ASSERT_EQUAL(log_index(2'000), state.snapshot->index);
        CPPUNIT_ASSERT_EQUAL(log_index(1'980), state.baseIndex);
    }

    // Guards against differences between the POSIX file system and the one in memory.
    void worksOnRealFiles()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "bg-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
        const std::filesystem::path real = std::filesystem::path(pattern) / "data";
        posix_file_system files;
        {
            replica_storage storage(files, real, segmentBytes);
            CPPUNIT_ASSERT(!storage.hasIdentity());
            storage.initialize(makeIdentity());
            storage.save({1, 1});
            storage.append(makeEntries(1, 20, 1));
            storage.storeSnapshot(makeSnapshot(10, 1));
            storage.compactLog();
            CPPUNIT_ASSERT_THROW(replica_storage(files, real, segmentBytes), storage_error);
        }
        replica_storage storage(files, real, segmentBytes);
        CPPUNIT_ASSERT(storage.hasIdentity());
        const core_state state = storage.load("c", 1);
        CPPUNIT_ASSERT_EQUAL(log_index(20), state.entries.back().index());
        storage.append(makeEntries(21, 21, 1));
        storage.discard();
        CPPUNIT_ASSERT(!storage.hasIdentity());
        std::filesystem::remove_all(pattern);
    }

private:
    static std::filesystem::path lastSegment(const memory_file_system &files)
    {
        std::filesystem::path last;
        for (const auto &file : files.allFiles())
            if (file.filename().string().starts_with("log-"))
                last = file;
        return last;
    }

    static void checkRecovery(memory_file_system &files, const write_sequence &sequence,
                              const std::string &where)
    {
        replica_storage storage(files, folder, segmentBytes);
        try {
            if (!storage.hasIdentity()) {
                CPPUNIT_ASSERT_MESSAGE(where, !sequence.initialized);
                storage.initialize(makeIdentity());
            }
            std::string found = describe(storage.load("c", 1));
            CPPUNIT_ASSERT_MESSAGE(where + ": " + found, sequence.allowed.contains(found));
            // A second crash right after the recovery must not change the state.
            files.restart(memory_file_system::lost::all, 1);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, found, describe(storage.load("c", 1)));
        } catch (const agreement_error &e) {
            CPPUNIT_FAIL(where + ": " + e.what());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(storage_test);
