#include "entry/upstream_pool.h"

#include <Poco/Net/SocketAddress.h>

#include <utility>

namespace buckthorngrade {

namespace {

constexpr std::size_t maxIdlePerUpstream = 64;

} // namespace

upstream_pool::lease upstream_pool::take(const upstream_spec &upstream,
                                         std::chrono::milliseconds timeout)
{
    lease result;
    result.address = upstream.address;
    {
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[upstream.address];
        while (!idle.empty() && !result.session) {
            result.session = std::move(idle.back());
            idle.pop_back();
            // Readable while idle means closed by the upstream, or bytes that nobody asked for.
            if (result.session->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
                result.session.reset();
        }
    }
    result.reused = result.session != nullptr;
    if (!result.session) {
        result.session = std::make_unique<Poco::Net::HTTPClientSession>(
            Poco::Net::SocketAddress(upstream.address));
        result.session->setKeepAlive(true);
    }
    result.session->setTimeout(
        Poco::Timespan(std::chrono::duration_cast<std::chrono::microseconds>(timeout).count()));
    return result;
}

void upstream_pool::giveBack(lease used)
{
    const std::lock_guard lock(m_mutex);
    auto &idle = m_idle[used.address];
    if (idle.size() < maxIdlePerUpstream)
        idle.push_back(std::move(used.session));
}

} // namespace buckthorngrade
