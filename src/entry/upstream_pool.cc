#include "entry/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace buckthorngrade {

void upstream_pool::setInstanceCount(std::size_t count)
{
    const std::lock_guard lock(m_mutex);
    m_instanceCount = std::max<std::size_t>(count, 1);
}

upstream_pool::lease upstream_pool::acquire(const upstream_spec &upstream, steady_time deadline)
{
    const steady_time now = std::chrono::steady_clock::now();
    lease result;
    result.address = upstream.address;
    {
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[upstream.address];
        std::erase_if(idle, [&](const auto &item) { return now - item.idleSince >= maxIdleTime; });
        while (!idle.empty() && !result.stream) {
            result.stream = std::move(idle.back().stream);
            idle.pop_back();
            // If it is readable while idle, the upstream has closed it or sent unsolicited bytes.
            if (result.stream->waitReadable(steady_time::min()))
                result.stream.reset();
        }
    }
    result.isReused = result.stream != nullptr;
    if (!result.stream)
        result.stream
            = std::make_unique<socket_stream>(socket_stream::connect(upstream.address, deadline));
    return result;
}

void upstream_pool::release(const upstream_spec &upstream, lease used)
{
    if (!used.stream || !used.stream->buffered().empty())
        return;
    const std::lock_guard lock(m_mutex);
    // Requests in flight use at most `slots` connections of the share; the others may be idle.
    const std::size_t share = upstream.connections / m_instanceCount;
    const std::size_t limit
        = std::max<std::size_t>(share - std::min<std::size_t>(share, upstream.slots), 1);
    auto &idle = m_idle[used.address];
    if (idle.size() < limit)
        idle.push_back({std::move(used.stream), std::chrono::steady_clock::now()});
}

} // namespace buckthorngrade
