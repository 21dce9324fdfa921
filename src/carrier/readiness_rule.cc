#include "carrier/readiness_rule.h"

#include <algorithm>

namespace buckthorngrade {

readiness_rule::readiness_rule(std::chrono::milliseconds listLag)
    : m_listLag(listLag)
{ }

void readiness_rule::recordAnswer(const std::string &host, steady_time now)
{
    m_heard.insert(host);
    if (!m_firstAnswerAt)
        m_firstAnswerAt = now;
}

std::size_t readiness_rule::answered(const std::set<std::string> &hosts) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        hosts, [this](const std::string &host) { return m_heard.contains(host); }));
}

bool readiness_rule::isReady(const std::set<std::string> &voterHosts, bool hasRouting,
                             std::optional<steady_time> listReadAt) const
{
    return answered(voterHosts) * 2 > voterHosts.size() && hasRouting && listReadAt;
}

bool readiness_rule::knowsWarmUpstreams(std::optional<steady_time> listReadAt,
                                        steady_time now) const
{
    if (!listReadAt || !m_firstAnswerAt)
        return false;
    return *listReadAt >= *m_firstAnswerAt + m_listLag || now >= *m_firstAnswerAt + longestWait;
}

} // namespace buckthorngrade
