#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace buckthorngrade {

// Bounded FIFO queue between threads, stored in a ring buffer. A full queue rejects new items and
// counts them, so a slow consumer never blocks a producer. All members are thread-safe.
template <typename T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity)
        : m_slots(capacity)
    { }

    // Appends `item`. Returns false and counts the rejection if the queue is full or closed.
    bool tryPush(T item)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_size == m_slots.size()) {
                ++m_rejected;
                return false;
            }
            m_slots[(m_head + m_size) % m_slots.size()] = std::move(item);
            ++m_size;
        }
        m_ready.notify_one();
        return true;
    }

    // Removes and returns the oldest item, waiting up to `timeout` for one. Returns nullopt on
    // timeout, or immediately if the queue is closed and empty.
    std::optional<T> pop(std::chrono::milliseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        m_ready.wait_for(lock, timeout, [this] { return m_size > 0 || m_closed; });
        if (m_size == 0)
            return std::nullopt;
        std::optional<T> item(std::move(*m_slots[m_head]));
        m_slots[m_head].reset();
        m_head = (m_head + 1) % m_slots.size();
        --m_size;
        return item;
    }

    // Rejects further items and wakes waiting consumers. Items in the queue can still be popped.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_ready.notify_all();
    }

    bool isClosed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    std::size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_size;
    }

    std::size_t capacity() const { return m_slots.size(); }

    // Number of items rejected since construction.
    std::uint64_t rejected() const
    {
        const std::lock_guard lock(m_mutex);
        return m_rejected;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    std::vector<std::optional<T>> m_slots;
    std::size_t m_head = 0;
    std::size_t m_size = 0;
    std::uint64_t m_rejected = 0;
    bool m_closed = false;
};

} // namespace buckthorngrade
