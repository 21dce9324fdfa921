#pragma once

#include "base/bounded_ring.h"

#include <functional>
#include <thread>
#include <vector>

namespace buckthorngrade {

// Runs operators' orders, which wait for a commit, on threads of their own.
class order_queue
{
public:
    static constexpr std::size_t threads = 8; // orders that operators have under way at a time
    static constexpr std::size_t maxWaiting = 256;

    order_queue();
    // Waits for the orders under way; those that wait are not run.
    ~order_queue();
    order_queue(const order_queue &) = delete;
    order_queue &operator=(const order_queue &) = delete;

    // False if too many orders wait.
    bool tryPush(std::function<void()> order) { return m_ring.tryPush(std::move(order)); }

private:
    void run();

    bounded_ring<std::function<void()>> m_ring;
    std::vector<std::thread> m_threads;
};

} // namespace buckthorngrade
