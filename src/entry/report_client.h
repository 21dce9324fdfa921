#pragma once

#include "base/clock.h"
#include "entry/config_store.h"
#include "entry/feed_client.h"
#include "entry/instance_directory.h"
#include "link/control_channels.h"
#include "model/settings.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <thread>

namespace buckthorngrade {

// Thread that reports to the leader each second and asks a control instance whether the
// configuration here is current.
class report_client
{
public:
    // All references must outlive this.
    report_client(const settings &config, std::uint64_t incarnation,
                  const control_channels &channels, const feed_client &feed,
                  const config_store &store, instance_directory &directory,
                  const clock_source &clock);
    ~report_client();
    report_client(const report_client &) = delete;
    report_client &operator=(const report_client &) = delete;

    // The time until which the configuration in force here counts as current.
    steady_time currentUntil() const;
    void setLeaving() { m_leaving = true; }

private:
    void run();
    void report();
    void probe(const control_channels::member &member);

    const settings &m_settings;
    const std::uint64_t m_incarnation;
    const control_channels &m_channels;
    const feed_client &m_feed;
    const config_store &m_store;
    instance_directory &m_directory;
    const clock_source &m_clock;
    std::atomic<bool> m_leaving = false;
    std::atomic<bool> m_stopping = false;
    mutable std::mutex m_mutex;
    steady_time m_currentUntil;
    std::thread m_thread;
};

} // namespace buckthorngrade
