#pragma once

#include "agreement/replicator.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "control/config_publisher.h"
#include "link.grpc.pb.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace buckthorngrade {

class feed_stream;

// Serves wire::state_feed from a config_publisher. One thread writes to all streams, so a
// subscriber needs memory but no thread of its own. A subscriber that reads slowly is skipped until
// its current write completes and is then sent everything that it lacks, so queues stay bounded.
class feed_service final : public wire::state_feed::CallbackService
{
public:
    // All references must outlive this object.
    feed_service(std::string cluster, config_publisher &publisher, const replicator &log,
                 event_log &events, metric_registry &metrics);
    ~feed_service() override;
    feed_service(const feed_service &) = delete;
    feed_service &operator=(const feed_service &) = delete;

    grpc::ServerWriteReactor<wire::feed_update> *
    Subscribe(grpc::CallbackServerContext *context,
              const wire::subscribe_request *request) override;

private:
    friend class feed_stream;
    void run();
    void remove(std::uint64_t id, const std::string &instance);

    std::string m_cluster;
    config_publisher &m_publisher;
    const replicator &m_log;
    event_log &m_events;
    metric_counter &m_sentBytes;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_hasChanges = false;
    bool m_stopping = false;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, std::shared_ptr<feed_stream>> m_streams;
    std::uint64_t m_subscription = 0;
    std::thread m_thread;
};

} // namespace buckthorngrade
