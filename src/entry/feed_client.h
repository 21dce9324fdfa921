#pragma once

#include "base/event_log.h"
#include "entry/config_store.h"
#include "entry/leader_hint.h"
#include "link/control_channels.h"
#include "model/settings.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>

namespace buckthorngrade {

// Thread that subscribes to the configuration feed of one control instance at a time and applies
// the updates to a config_store. When a feed ends or stops responding, it moves on to the next
// control instance.
class feed_client
{
public:
    // All references must outlive this.
    feed_client(const settings &config, std::uint64_t incarnation, const control_channels &channels,
                config_store &store, leader_hint &leader, event_log &events);
    ~feed_client();
    feed_client(const feed_client &) = delete;
    feed_client &operator=(const feed_client &) = delete;

    // Index into control_channels::members() of the control instance in use.
    std::size_t memberInUse() const { return m_currentMember; }

private:
    void run();
    void subscribe(const control_channels::member &member);
    bool applyUpdate(const wire::feed_update &update);

    const settings &m_settings;
    const std::uint64_t m_incarnation;
    const control_channels &m_channels;
    config_store &m_store;
    leader_hint &m_leader;
    event_log &m_events;
    std::atomic<std::size_t> m_currentMember = 0;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    grpc::ClientContext *m_context = nullptr; // of the current call, or null
    std::thread m_thread;
};

} // namespace buckthorngrade
