#pragma once

#include "agreement/replicator.h"

#include <string>

namespace buckthorngrade {

// Carries messages between replicas. Messages may be lost, repeated and reordered, but not changed.
class peer_transport
{
public:
    virtual ~peer_transport() = default;
    // Never blocks: a message that can't be queued is dropped. Thread-safe.
    virtual void send(replica_id to, std::string bytes) = 0;
};

} // namespace buckthorngrade
