#pragma once

#include "base/event_log.h"
#include "control/upstream_list_reader.h"
#include "net/stream_socket.h"

#include <string>
#include <string_view>

namespace buckthorngrade {

// Reads the platform's paged list of instances, each failure domain on its own connection. read()
// throws control_error if a page can't be read. It skips malformed entries and logs their number
// when it changes.
class instance_list final : public listing_source
{
public:
    // `address` is "IP:port". References must outlive this object.
    instance_list(const std::string &address, const clock_source &clock, event_log &events);
    void read(const std::vector<std::string> &domains, const page_handler &onPage) override;

private:
    socket_address m_address;
    const clock_source &m_clock;
    event_log &m_events;
    std::size_t m_skippedEntries = 0; // in the last read
};

// One page of the list. Entries are skipped if they are malformed, are nested too deeply, or have
// missing fields, fields of the wrong type or unknown states, because they describe no usable
// upstream. parseInstancePage() throws control_error if the page itself is malformed.
struct instance_page
{
    std::vector<listed_upstream> upstreams; // ordered by id
    std::size_t skippedEntries = 0;
    std::string nextToken; // empty on the last page
};
instance_page parseInstancePage(std::string text);

} // namespace buckthorngrade
