#pragma once

#include "testing/soak_record.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace buckthorngrade {

// Callers of a soak, a thread each. They ask the directory for entry instances and keep their
// connections until the other side ends them.
class soak_callers
{
public:
    soak_callers(soak_record &record, std::vector<std::string> directories, std::size_t count,
                 const std::string &region, const std::string &domain, std::uint64_t seed);
    ~soak_callers();
    soak_callers(const soak_callers &) = delete;
    soak_callers &operator=(const soak_callers &) = delete;

    std::uint64_t successes() const { return m_successes; }

private:
    struct caller_state;

    void run(std::size_t number);
    void sendOne(caller_state &state);
    std::vector<std::string> lookUp(caller_state &state) const;

    soak_record &m_record;
    const std::vector<std::string> m_directories;
    const std::string m_target; // of look-ups
    const std::uint64_t m_seed;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::uint64_t> m_successes = 0;
    std::vector<std::thread> m_threads;
};

} // namespace buckthorngrade
