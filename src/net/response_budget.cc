#include "net/response_budget.h"

#include <algorithm>

namespace buckthorngrade {

void response_budget::hold(receiver &response, std::uint64_t bytes)
{
    std::uint64_t &held = m_responses[&response];
    m_heldBytes += bytes - held;
    held = bytes;
    while (m_heldBytes > m_limitBytes && !m_responses.empty()) {
        const auto largest = std::ranges::max_element(m_responses, {},
                                                      [](const auto &item) { return item.second; });
        receiver *rejected = largest->first;
        rejected->rejectResponse();
        release(*rejected);
    }
}

void response_budget::release(receiver &response)
{
    const auto found = m_responses.find(&response);
    if (found == m_responses.end())
        return;
    m_heldBytes -= found->second;
    m_responses.erase(found);
}

} // namespace buckthorngrade
