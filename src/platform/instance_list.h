#pragma once

#include "base/event_log.h"
#include "control/upstream_list_reader.h"
#include "net/stream_socket.h"

#include <string>
#include <string_view>

namespace buckthorngrade {

// Reads the platform's paged list of instances, each part on a connection of its own.
class instance_list final : public listing_source
{
public:
    // `address` is "IP:port". References must outlive this.
    instance_list(const std::string &address, const clock_source &clock, event_log &events);
    void read(const std::vector<std::string> &domains, const page_handler &onPage) override;

private:
    socket_address m_address;
    const clock_source &m_clock;
    event_log &m_events;
    std::size_t m_leftOut = 0; // entries of the last reading
};

// One page of the list. Entries that can't be read, are nested deeply, or have missing fields,
// fields of other types or unknown states are left out: they name no upstream to use. Throws
// control_error if the page itself is malformed.
struct instance_page
{
    std::vector<listed_upstream> upstreams; // ordered by id
    std::size_t leftOut = 0; // entries
    std::string next; // empty on the last page
};
instance_page parseInstancePage(std::string text);

} // namespace buckthorngrade
