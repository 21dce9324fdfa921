#pragma once

#include "control/upstream_list_reader.h"
#include "link.grpc.pb.h"

namespace buckthorngrade {

// Serves wire::listing_link: sends the changes of this control instance's list of upstreams to the
// control instances that copy it.
class listing_link_service final : public wire::listing_link::Service
{
public:
    // Longest time for which an answer waits for a change. A call occupies a thread meanwhile.
    static constexpr std::chrono::milliseconds maxHold{1'000};

    // Both references must outlive this object.
    listing_link_service(upstream_list_reader &list, const clock_source &clock);

    grpc::Status Follow(grpc::ServerContext *context, const wire::listing_request *request,
                        wire::listing_changes *changes) override;

private:
    upstream_list_reader &m_list;
    const clock_source &m_clock;
};

} // namespace buckthorngrade
