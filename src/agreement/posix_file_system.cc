#include "agreement/posix_file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <system_error>

#include <fmt/format.h>

namespace buckthorngrade {

namespace {

constexpr mode_t fileMode = 0600;
constexpr const char *lockName = "lock";

[[noreturn]] void fail(const char *operation, const std::filesystem::path &file, int code)
{
    const std::string text
        = fmt::format("{} {}: {}", operation, file.string(), std::generic_category().message(code));
    if (code == ENOSPC || code == EDQUOT)
        throw storage_full(text);
    throw storage_error(text);
}

class file_descriptor
{
public:
    file_descriptor(const std::filesystem::path &file, int flags)
        : m_file(file)
        , m_fd(::open(file.c_str(), flags | O_CLOEXEC, fileMode))
    {
        if (m_fd < 0)
            fail("open", file, errno);
    }
    ~file_descriptor() { ::close(m_fd); }
    file_descriptor(const file_descriptor &) = delete;
    file_descriptor &operator=(const file_descriptor &) = delete;

    int get() const { return m_fd; }
    const std::filesystem::path &file() const { return m_file; }

private:
    std::filesystem::path m_file;
    int m_fd;
};

class posix_append_file final : public append_file
{
public:
    posix_append_file(const std::filesystem::path &file, int flags)
        : m_descriptor(file, O_WRONLY | O_APPEND | flags)
    { }

    void truncateTo(std::uint64_t size)
    {
        if (::ftruncate(m_descriptor.get(), static_cast<off_t>(size)) != 0)
            fail("truncate", m_descriptor.file(), errno);
    }

    void append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const ssize_t written = ::write(m_descriptor.get(), bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                fail("write", m_descriptor.file(), errno);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
    }

    void sync() override
    {
        if (::fdatasync(m_descriptor.get()) != 0)
            fail("sync", m_descriptor.file(), errno);
    }

private:
    file_descriptor m_descriptor;
};

class posix_folder_lock final : public folder_lock
{
public:
    explicit posix_folder_lock(const std::filesystem::path &file)
        : m_descriptor(file, O_RDWR | O_CREAT)
    {
        if (::flock(m_descriptor.get(), LOCK_EX | LOCK_NB) != 0)
            fail("another process uses the data folder: lock", file, errno);
    }

private:
    file_descriptor m_descriptor;
};

} // namespace

std::unique_ptr<append_file> posix_file_system::create(const path &file)
{
    return std::make_unique<posix_append_file>(file, O_CREAT | O_TRUNC);
}

std::unique_ptr<append_file> posix_file_system::open(const path &file, std::uint64_t size)
{
    auto opened = std::make_unique<posix_append_file>(file, 0);
    opened->truncateTo(size);
    return opened;
}

std::string posix_file_system::read(const path &file)
{
    const file_descriptor opened(file, O_RDONLY);
    struct stat info = {};
    if (::fstat(opened.get(), &info) != 0)
        fail("stat", file, errno);
    std::string bytes(static_cast<std::size_t>(info.st_size), '\0');
    std::size_t bytesRead = 0;
    while (bytesRead < bytes.size()) {
        const ssize_t count
            = ::read(opened.get(), bytes.data() + bytesRead, bytes.size() - bytesRead);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            fail("read", file, errno);
        if (count == 0)
            break;
        bytesRead += static_cast<std::size_t>(count);
    }
    bytes.resize(bytesRead);
    return bytes;
}

std::vector<std::string> posix_file_system::list(const path &folder)
{
    std::error_code code;
    std::vector<std::string> names;
    std::filesystem::directory_iterator entry(folder, code);
    if (code == std::errc::no_such_file_or_directory)
        return names;
    for (; !code && entry != std::filesystem::directory_iterator(); entry.increment(code))
        if (entry->path().filename() != lockName)
            names.push_back(entry->path().filename().string());
    if (code)
        fail("list", folder, code.value());
    std::ranges::sort(names);
    return names;
}

void posix_file_system::createFolder(const path &folder)
{
    std::error_code code;
    std::filesystem::create_directories(folder, code);
    if (code)
        fail("create folder", folder, code.value());
    const path absolute = std::filesystem::absolute(folder).lexically_normal();
    syncFolder((absolute.has_filename() ? absolute : absolute.parent_path()).parent_path());
}

void posix_file_system::rename(const path &from, const path &to)
{
    if (::rename(from.c_str(), to.c_str()) != 0)
        fail("rename", from, errno);
}

void posix_file_system::remove(const path &file)
{
    if (::unlink(file.c_str()) != 0)
        fail("remove", file, errno);
}

void posix_file_system::syncFolder(const path &folder)
{
    const file_descriptor opened(folder, O_RDONLY | O_DIRECTORY);
    if (::fsync(opened.get()) != 0)
        fail("sync folder", folder, errno);
}

std::unique_ptr<folder_lock> posix_file_system::lock(const path &folder)
{
    return std::make_unique<posix_folder_lock>(folder / lockName);
}

} // namespace buckthorngrade
