#pragma once

#include <chrono>
#include <csignal>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace buckthorngrade {

// A program started as a child process. The destructor kills and reaps it.
class process
{
public:
    // Starts `program`. Standard error is appended to `errorFile` and standard output to
    // `outputFile`; an empty name discards it. Throws error if it can't be started.
    process(const std::filesystem::path &program, const std::vector<std::string> &arguments,
            std::filesystem::path errorFile, std::filesystem::path outputFile = {});
    ~process();
    process(const process &) = delete;
    process &operator=(const process &) = delete;

    pid_t id() const { return m_id; }
    bool isRunning();
    // Does nothing once the process has ended.
    void signal(int number);
    // Waits for the end. Returns the exit code, or minus the signal that ended it; empty on
    // timeout.
    std::optional<int> waitExit(std::chrono::milliseconds limit);
    // Waits until standard error contains `text`. Throws error on timeout or if the process ends.
    void waitForError(const std::string &text, std::chrono::milliseconds limit);
    // What was written so far, also by earlier processes with the same file.
    std::string errorText() const;
    std::string outputText() const;

private:
    std::filesystem::path m_errorFile;
    std::filesystem::path m_outputFile;
    pid_t m_id = -1;
    std::optional<int> m_result;
};

struct process_result
{
    int code = 0;
    std::string output;
    std::string errors;
};

// Runs `program` to its end. Throws error if that takes longer than `limit`.
process_result runProcess(const std::filesystem::path &program,
                          const std::vector<std::string> &arguments,
                          std::chrono::milliseconds limit = std::chrono::seconds(60));

std::string readWholeFile(const std::filesystem::path &file);
// Throws error if it can't be written.
void writeWholeFile(const std::filesystem::path &file, const std::string &text);

} // namespace buckthorngrade
