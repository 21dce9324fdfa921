#include "testing/in_process_network.h"

namespace buckthorngrade {

namespace {

constexpr replica_id maxReplica = 255;

} // namespace

class in_process_network::transport final : public peer_transport
{
public:
    transport(in_process_network &network, replica_id self)
        : m_network(network)
        , m_self(self)
    { }

    void send(replica_id to, std::string bytes) override
    {
        m_network.send(m_self, to, std::move(bytes));
    }

private:
    in_process_network &m_network;
    replica_id m_self;
};

in_process_network::in_process_network(std::chrono::milliseconds oneWayDelay)
    : m_delay(oneWayDelay)
    , m_thread([this] { run(); })
{ }

in_process_network::~in_process_network()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

std::unique_ptr<peer_transport> in_process_network::transportOf(replica_id self)
{
    return std::make_unique<transport>(*this, self);
}

void in_process_network::attach(replica_id id, receiver to)
{
    const std::lock_guard lock(m_mutex);
    m_receivers[id] = std::move(to);
}

void in_process_network::detach(replica_id id)
{
    const std::lock_guard lock(m_mutex);
    m_receivers.erase(id);
}

void in_process_network::cut(replica_id from, replica_id to)
{
    const std::lock_guard lock(m_mutex);
    m_cut.insert({from, to});
}

void in_process_network::isolate(replica_id id)
{
    const std::lock_guard lock(m_mutex);
    for (replica_id other = 1; other <= maxReplica; ++other) {
        m_cut.insert({id, other});
        m_cut.insert({other, id});
    }
}

void in_process_network::healAll()
{
    const std::lock_guard lock(m_mutex);
    m_cut.clear();
}

void in_process_network::send(replica_id from, replica_id to, std::string bytes)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_cut.contains({from, to}))
            return;
        m_waiting.emplace(std::chrono::steady_clock::now() + m_delay,
                          delivery{to, std::move(bytes)});
    }
    m_changed.notify_all();
}

void in_process_network::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_waiting.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const auto first = m_waiting.begin();
        if (first->first > std::chrono::steady_clock::now()) {
            m_changed.wait_until(lock, steady_time(first->first));
            continue;
        }
        delivery item = std::move(first->second);
        m_waiting.erase(first);
        // A receiver only puts the message in a ring, so calling it under the lock is short.
        const auto found = m_receivers.find(item.to);
        if (found != m_receivers.end())
            found->second(std::move(item.bytes));
    }
}

} // namespace buckthorngrade
