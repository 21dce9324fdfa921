#pragma once

#include "base/clock.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>

namespace buckthorngrade {

// Decides what an entry instance that has just started may do with what it knows.
//
// It is ready for callers' requests once a majority of the control instances has answered, because
// a single one may have been cut off and know only an old routing document.
//
// It takes upstreams for warm only once the list shows a moment after the first answer. An older
// list lacks the upstreams that restarted or were taken back from an evacuation shortly before, and
// several entry instances that start together would flood them. Where the list can't be read,
// `longestWait` after the first answer is enough: what was cold then is warm.
class readiness_rule
{
public:
    // The cold period of the services known so far is 3 s; a second for the list's lag.
    static constexpr std::chrono::milliseconds longestWait{4'000};

    // `listLag`: by which the list is behind when it is read.
    explicit readiness_rule(std::chrono::milliseconds listLag);

    void recordAnswer(const std::string &host, steady_time now);
    // `listReadAt`: nothing without a list.
    bool isReady(const std::set<std::string> &voterHosts, bool hasRouting,
                 std::optional<steady_time> listReadAt) const;
    bool knowsWarmUpstreams(std::optional<steady_time> listReadAt, steady_time now) const;
    std::size_t answered(const std::set<std::string> &hosts) const;

private:
    std::chrono::milliseconds m_listLag;
    std::set<std::string> m_heard;
    std::optional<steady_time> m_firstAnswerAt;
};

} // namespace buckthorngrade
