#include "link/listing_messages.h"

namespace buckthorngrade {

void encodeUpstream(const listed_upstream &upstream, wire::node_upstream &message)
{
    message.set_id(upstream.id);
    message.set_service(upstream.service);
    message.set_address(upstream.address);
    message.set_failure_domain(upstream.failureDomain);
    message.set_slots(upstream.slots);
    message.set_draining(upstream.isDraining);
    message.set_cold_ms(upstream.coldFor.count());
    message.set_started_ms(upstream.startedMs);
}

listed_upstream decodeUpstream(const wire::node_upstream &message)
{
    listed_upstream upstream;
    upstream.id = message.id();
    upstream.service = message.service();
    upstream.address = message.address();
    upstream.failureDomain = message.failure_domain();
    upstream.slots = message.slots();
    upstream.isDraining = message.draining();
    upstream.coldFor = std::chrono::milliseconds(message.cold_ms());
    upstream.startedMs = message.started_ms();
    return upstream;
}

} // namespace buckthorngrade
