#pragma once

#include "link.pb.h"
#include "model/upstream_listing.h"

namespace buckthorngrade {

// Converts the entries of the upstream list between the model and the messages that control
// instances send to entry instances.

void encodeUpstream(const listed_upstream &upstream, wire::node_upstream &message);
listed_upstream decodeUpstream(const wire::node_upstream &message);

} // namespace buckthorngrade
