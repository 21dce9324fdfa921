#pragma once

#include <cstdint>
#include <unordered_map>

namespace buckthorngrade {

// Limits the memory of all responses that are being received at the same time. Without a common
// limit, an upstream that sends bytes without end to several requests exhausts the memory of the
// process, and the requests to all other upstreams end with it. Used on one thread.
class response_budget
{
public:
    // A response that is being received.
    class receiver
    {
    public:
        virtual ~receiver() = default;
        // Ends the response as too large. It must call release().
        virtual void rejectResponse() = 0;
    };

    explicit response_budget(std::uint64_t limitBytes)
        : m_limitBytes(limitBytes)
    { }

    // Sets the number of bytes that are kept for the response. While the sum exceeds the limit, the
    // largest response is rejected, which may be this one.
    void hold(receiver &response, std::uint64_t bytes);
    // Does nothing if no bytes are kept for the response.
    void release(receiver &response);
    std::uint64_t heldBytes() const { return m_heldBytes; }

private:
    std::uint64_t m_limitBytes;
    std::uint64_t m_heldBytes = 0;
    std::unordered_map<receiver *, std::uint64_t> m_responses;
};

} // namespace buckthorngrade
