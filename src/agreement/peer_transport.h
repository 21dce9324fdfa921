#pragma once

#include "agreement/replicator.h"

#include <string>

namespace buckthorngrade {

// Sends messages to other replicas. Messages may be lost, duplicated and reordered, but not
// altered.
class peer_transport
{
public:
    virtual ~peer_transport() = default;
    // Never blocks; drops the message if it cannot be queued. Thread-safe.
    virtual void send(replica_id to, std::string bytes) = 0;
};

} // namespace buckthorngrade
