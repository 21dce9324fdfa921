#pragma once

#include "cli/commands.h"
#include "testing/http_connection.h"
#include "testing/http_responder.h"
#include "testing/process.h"
#include "testing/temp_folder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

namespace buckthorngrade {

// Redirects a standard stream to a file for the lifetime of the object.
class stream_redirection
{
public:
    stream_redirection(std::FILE *stream, const std::filesystem::path &file)
        : m_stream(stream)
    {
        std::fflush(m_stream);
        m_saved = ::dup(::fileno(m_stream));
        const int target = ::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        ::dup2(target, ::fileno(m_stream));
        ::close(target);
    }
    ~stream_redirection()
    {
        std::fflush(m_stream);
        ::dup2(m_saved, ::fileno(m_stream));
        ::close(m_saved);
    }
    stream_redirection(const stream_redirection &) = delete;
    stream_redirection &operator=(const stream_redirection &) = delete;

private:
    std::FILE *m_stream;
    int m_saved = -1;
};

// Runs a command line in the test process and restores the flags afterwards.
inline process_result runCli(std::vector<std::string> words)
{
    const gflags::FlagSaver savedFlags;
    const temp_folder folder;
    words.insert(words.begin(), "buckthorngrade");
    std::vector<char *> pointers(words.size(), nullptr);
    std::ranges::transform(words, pointers.begin(), [](std::string &word) { return word.data(); });
    process_result result;
    {
        const stream_redirection output(stdout, folder.path() / "output");
        const stream_redirection errors(stderr, folder.path() / "errors");
        result.code = runCommand(static_cast<int>(pointers.size()), pointers.data());
    }
    result.output = readWholeFile(folder.path() / "output");
    result.errors = readWholeFile(folder.path() / "errors");
    return result;
}

inline void assertContains(const std::string &text, const std::string &part)
{
    CPPUNIT_ASSERT_MESSAGE(fmt::format("'{}' in:\n{}", part, text),
                           text.find(part) != std::string::npos);
}

} // namespace buckthorngrade
