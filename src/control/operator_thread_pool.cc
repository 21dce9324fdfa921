#include "control/operator_thread_pool.h"

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds popTimeout{1'000};

} // namespace

operator_thread_pool::operator_thread_pool()
    : m_ring(maxQueued)
{
    for (std::size_t i = 0; i < threadCount; ++i)
        m_threads.emplace_back([this] { run(); });
}

operator_thread_pool::~operator_thread_pool()
{
    m_ring.close();
    for (std::thread &thread : m_threads)
        thread.join();
}

void operator_thread_pool::run()
{
    while (!m_ring.isClosed())
        if (const auto task = m_ring.pop(popTimeout))
            (*task)();
}

} // namespace buckthorngrade
