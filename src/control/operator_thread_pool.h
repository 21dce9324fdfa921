#pragma once

#include "base/bounded_ring.h"

#include <functional>
#include <thread>
#include <vector>

namespace buckthorngrade {

// Thread pool with a bounded queue for operators' requests, which block until a command is
// committed.
class operator_thread_pool
{
public:
    static constexpr std::size_t threadCount = 8; // requests that run at the same time
    static constexpr std::size_t maxQueued = 256;

    operator_thread_pool();
    // Waits for running requests. Queued requests may be discarded.
    ~operator_thread_pool();
    operator_thread_pool(const operator_thread_pool &) = delete;
    operator_thread_pool &operator=(const operator_thread_pool &) = delete;

    // Returns false if the queue is full.
    bool tryPush(std::function<void()> task) { return m_ring.tryPush(std::move(task)); }

private:
    void run();

    bounded_ring<std::function<void()>> m_ring;
    std::vector<std::thread> m_threads;
};

} // namespace buckthorngrade
