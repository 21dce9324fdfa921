#pragma once

#include "control/upstream_lister.h"
#include "net/stream_socket.h"

#include <string>
#include <string_view>

namespace buckthorngrade {

// Reads the platform's paged list of instances, each part on a connection of its own.
class instance_list final : public listing_source
{
public:
    // `address` is "IP:port"; `clock` must outlive this.
    instance_list(const std::string &address, const clock_source &clock);
    void read(const std::vector<std::string> &domains, const page_handler &onPage) override;

private:
    socket_address m_address;
    const clock_source &m_clock;
};

// One page of the list. Entries with missing fields, fields of other types or unknown states are
// left out: they name no upstream to use. Throws control_error if the page itself is malformed.
struct instance_page
{
    std::vector<listed_upstream> upstreams;
    std::string next; // empty on the last page
};
instance_page parseInstancePage(std::string text);

} // namespace buckthorngrade
