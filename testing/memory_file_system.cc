#include "testing/memory_file_system.h"

#include <algorithm>

namespace buckthorngrade {

class memory_file_system::file final : public append_file
{
public:
    file(memory_file_system &owner, std::shared_ptr<inode> target)
        : m_owner(owner)
        , m_target(std::move(target))
    { }

    void append(std::string_view bytes) override { m_owner.append(*m_target, bytes); }
    void sync() override { m_owner.sync(*m_target); }

private:
    memory_file_system &m_owner;
    std::shared_ptr<inode> m_target;
};

bool memory_file_system::count()
{
    if (m_crashed)
        throw simulated_crash("the machine is off");
    m_crashed = ++m_operations == m_crashAt;
    return m_crashed;
}

void memory_file_system::change(const std::function<void(directory &)> &operation)
{
    const bool crashes = count();
    operation(m_current);
    m_unsyncedChanges.push_back(operation);
    if (crashes)
        throw simulated_crash("crash after a change of names");
}

std::shared_ptr<memory_file_system::inode> memory_file_system::find(const path &name) const
{
    const auto found = m_current.find(name);
    if (found == m_current.end())
        throw storage_error(name.string() + ": no such file");
    return found->second;
}

std::unique_ptr<append_file> memory_file_system::create(const path &name)
{
    const std::lock_guard lock(m_mutex);
    const auto created = std::make_shared<inode>();
    change([=](directory &names) { names[name] = created; });
    return std::make_unique<file>(*this, created);
}

std::unique_ptr<append_file> memory_file_system::open(const path &name, std::uint64_t size)
{
    const std::lock_guard lock(m_mutex);
    const bool crashes = count();
    const auto opened = find(name);
    opened->current.resize(size);
    if (crashes)
        throw simulated_crash("crash after a cut");
    return std::make_unique<file>(*this, opened);
}

void memory_file_system::append(inode &target, std::string_view bytes)
{
    const std::lock_guard lock(m_mutex);
    const bool crashes = count();
    if (crashes || m_fault == fault::disk_full) {
        target.current += bytes.substr(0, bytes.size() / 2);
        if (crashes)
            throw simulated_crash("crash within a write");
        throw storage_full("simulated full disk");
    }
    target.current += bytes;
}

void memory_file_system::sync(inode &target)
{
    const std::lock_guard lock(m_mutex);
    if (count())
        throw simulated_crash("crash before a sync");
    if (m_fault == fault::failed_sync) {
        target.syncFailed = true;
        throw storage_error("simulated failure of a sync");
    }
    if (!target.syncFailed)
        target.durable = target.current;
}

std::string memory_file_system::read(const path &name)
{
    const std::lock_guard lock(m_mutex);
    if (m_crashed)
        throw simulated_crash("the machine is off");
    return find(name)->current;
}

std::vector<std::string> memory_file_system::list(const path &folder)
{
    const std::lock_guard lock(m_mutex);
    if (m_crashed)
        throw simulated_crash("the machine is off");
    std::vector<std::string> names;
    for (const auto &[name, ignored] : m_current)
        if (name.parent_path() == folder)
            names.push_back(name.filename().string());
    return names;
}

void memory_file_system::createFolder(const path &) { }

void memory_file_system::rename(const path &from, const path &to)
{
    const std::lock_guard lock(m_mutex);
    const auto moved = find(from);
    change([=](directory &names) {
        names[to] = moved;
        names.erase(from);
    });
}

void memory_file_system::remove(const path &name)
{
    const std::lock_guard lock(m_mutex);
    find(name);
    change([=](directory &names) { names.erase(name); });
}

void memory_file_system::syncFolder(const path &)
{
    const std::lock_guard lock(m_mutex);
    if (count())
        throw simulated_crash("crash before a sync of a folder");
    if (m_fault == fault::failed_sync)
        throw storage_error("simulated failure of a sync");
    m_durable = m_current;
    m_unsyncedChanges.clear();
}

std::unique_ptr<folder_lock> memory_file_system::lock(const path &)
{
    return std::make_unique<folder_lock>();
}

std::uint64_t memory_file_system::operations() const
{
    const std::lock_guard lock(m_mutex);
    return m_operations;
}

void memory_file_system::crashAt(std::uint64_t operation)
{
    const std::lock_guard lock(m_mutex);
    m_crashAt = operation;
}

void memory_file_system::setFault(fault kind)
{
    const std::lock_guard lock(m_mutex);
    m_fault = kind;
}

std::string memory_file_system::survivor(const inode &target, lost unsynced,
                                         std::mt19937_64 &random) const
{
    const bool extends = target.current.starts_with(target.durable);
    if (unsynced == lost::all)
        return target.durable;
    if (unsynced == lost::nothing)
        return target.current;
    const std::uint64_t choice = random() % 4;
    if (choice == 0)
        return target.durable;
    if (choice == 1 || !extends)
        return target.current;
    const std::size_t added = target.current.size() - target.durable.size();
    if (choice == 2)
        return target.durable + std::string(added, '\0');
    return target.current.substr(0, target.durable.size() + random() % (added + 1));
}

void memory_file_system::restart(lost unsynced, std::uint64_t seed)
{
    const std::lock_guard lock(m_mutex);
    std::mt19937_64 random(seed);
    std::size_t kept = m_unsyncedChanges.size();
    if (unsynced == lost::all)
        kept = 0;
    else if (unsynced == lost::random)
        kept = random() % (kept + 1);
    directory names = m_durable;
    for (std::size_t i = 0; i < kept; ++i)
        m_unsyncedChanges[i](names);
    m_current.clear();
    for (const auto &[name, target] : names) {
        const auto copy = std::make_shared<inode>();
        copy->current = survivor(*target, unsynced, random);
        copy->durable = copy->current;
        m_current[name] = copy;
    }
    m_durable = m_current;
    m_unsyncedChanges.clear();
    m_crashAt = 0;
    m_crashed = false;
    m_fault = fault::none;
}

void memory_file_system::flipBit(const path &name, std::uint64_t bit)
{
    constexpr std::uint64_t bitsPerByte = 8;
    const std::lock_guard lock(m_mutex);
    const auto target = find(name);
    char &byte = target->current[bit / bitsPerByte];
    byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << (bit % bitsPerByte)));
    target->durable = target->current;
}

void memory_file_system::overwrite(const path &name, std::string contents)
{
    const std::lock_guard lock(m_mutex);
    const auto target = find(name);
    target->current = std::move(contents);
    target->durable = target->current;
}

void memory_file_system::copyTo(memory_file_system &other) const
{
    const std::scoped_lock lock(m_mutex, other.m_mutex);
    other.m_current.clear();
    for (const auto &[name, target] : m_current) {
        const auto copy = std::make_shared<inode>();
        copy->current = target->current;
        copy->durable = target->current;
        other.m_current[name] = copy;
    }
    other.m_durable = other.m_current;
    other.m_unsyncedChanges.clear();
}

std::vector<std::filesystem::path> memory_file_system::allFiles() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<path> names;
    for (const auto &[name, ignored] : m_current)
        names.push_back(name);
    return names;
}

} // namespace buckthorngrade
