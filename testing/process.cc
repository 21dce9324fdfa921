#include "testing/process.h"

#include "base/error.h"
#include "testing/temp_folder.h"
#include "testing/wait.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace buckthorngrade {

namespace {

const char *fileOrNull(const std::filesystem::path &file)
{
    return file.empty() ? "/dev/null" : file.c_str();
}

} // namespace

process::process(const std::filesystem::path &program, const std::vector<std::string> &arguments,
                 std::filesystem::path errorFile, std::filesystem::path outputFile)
    : m_errorFile(std::move(errorFile))
    , m_outputFile(std::move(outputFile))
{
    constexpr int mode = 0644;
    constexpr int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, fileOrNull(m_outputFile), flags,
                                     mode);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, fileOrNull(m_errorFile), flags, mode);
    // A test may block or ignore signals; the child starts with none blocked.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);

    std::vector<std::string> words = {program.string()};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers(words.size() + 1, nullptr);
    std::ranges::transform(words, pointers.begin(), [](std::string &word) { return word.data(); });
    const int failure
        = ::posix_spawn(&m_id, program.c_str(), &actions, &attributes, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    posix_spawnattr_destroy(&attributes);
    if (failure != 0)
        throw error("can't start " + program.string() + ": " + std::strerror(failure));
}

process::~process()
{
    signal(SIGKILL);
    if (!m_result)
        ::waitpid(m_id, nullptr, 0);
}

bool process::isRunning()
{
    int status = 0;
    if (!m_result && ::waitpid(m_id, &status, WNOHANG) == m_id)
        m_result = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return !m_result;
}

void process::signal(int number)
{
    // The id is not reused before the process is reaped, and only this class reaps it.
    if (isRunning())
        ::kill(m_id, number);
}

std::optional<int> process::waitExit(std::chrono::milliseconds limit)
{
    try {
        waitUntil(
            "the process ends", [this] { return !isRunning(); }, limit);
    } catch (const error &) {
        return std::nullopt;
    }
    return m_result;
}

void process::waitForError(const std::string &text, std::chrono::milliseconds limit)
{
    waitUntil(
        "standard error contains '" + text + "'",
        [&] {
            const bool running = isRunning();
            if (errorText().find(text) != std::string::npos)
                return true;
            if (!running)
                throw error("the process ended before '" + text + "':\n" + errorText());
            return false;
        },
        limit);
}

std::string process::errorText() const
{
    return m_errorFile.empty() ? std::string() : readWholeFile(m_errorFile);
}

std::string process::outputText() const
{
    return m_outputFile.empty() ? std::string() : readWholeFile(m_outputFile);
}

process_result runProcess(const std::filesystem::path &program,
                          const std::vector<std::string> &arguments,
                          std::chrono::milliseconds limit)
{
    const temp_folder folder;
    process child(program, arguments, folder.path() / "errors", folder.path() / "output");
    const auto code = child.waitExit(limit);
    if (!code)
        throw error(program.string() + " did not end in time:\n" + child.errorText());
    return {*code, child.outputText(), child.errorText()};
}

std::string readWholeFile(const std::filesystem::path &file)
{
    std::ifstream input(file, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

void writeWholeFile(const std::filesystem::path &file, const std::string &text)
{
    std::ofstream output(file, std::ios::binary);
    output << text << std::flush;
    if (!output)
        throw error("can't write " + file.string());
}

} // namespace buckthorngrade
