#pragma once

#include "link.pb.h"
#include "model/upstream_listing.h"

namespace buckthorngrade {

// The list of upstreams as control instances send it to entry instances.

void encodeUpstream(const listed_upstream &upstream, wire::node_upstream &message);
listed_upstream decodeUpstream(const wire::node_upstream &message);

} // namespace buckthorngrade
