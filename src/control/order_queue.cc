#include "control/order_queue.h"

namespace buckthorngrade {

namespace {

constexpr std::chrono::milliseconds popTimeout{1'000};

} // namespace

order_queue::order_queue()
    : m_ring(maxQueued)
{
    for (std::size_t i = 0; i < threadCount; ++i)
        m_threads.emplace_back([this] { run(); });
}

order_queue::~order_queue()
{
    m_ring.close();
    for (std::thread &thread : m_threads)
        thread.join();
}

void order_queue::run()
{
    while (!m_ring.isClosed())
        if (const auto task = m_ring.pop(popTimeout))
            (*task)();
}

} // namespace buckthorngrade
