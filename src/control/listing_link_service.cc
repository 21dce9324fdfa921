#include "control/listing_link_service.h"

#include <algorithm>

namespace buckthorngrade {

listing_link_service::listing_link_service(upstream_list_reader &list, const clock_source &clock)
    : m_list(list)
    , m_clock(clock)
{ }

grpc::Status listing_link_service::Follow(grpc::ServerContext *,
                                          const wire::listing_request *request,
                                          wire::listing_changes *changes)
{
    const steady_time arrivedAt = m_clock.now();
    const auto hold = std::clamp(std::chrono::milliseconds(request->hold_ms()),
                                 std::chrono::milliseconds(0), maxHold);
    *changes = m_list.waitForChanges(request->digest(), hold);
    changes->set_held_ms(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - arrivedAt).count());
    return grpc::Status::OK;
}

} // namespace buckthorngrade
