#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorngrade {

// What a stand-in upstream does wrong to one request.
enum class upstream_fault {
    none,
    hang, // runs the request and never answers
    late, // answers after an additional delay
    reset_before_read, // resets the connection before reading the request
    reset_after_request_head, // resets after the request's head; the request is not run
    reset_before_answer, // runs the request, then resets
    reset_after_answer_head,
    reset_in_body,
    truncate, // ends the answer's body early but closes cleanly
};

// Throws error for an unknown word.
upstream_fault upstreamFaultFromString(std::string_view word);

// Which faults the next requests meet. Thread-safe.
class fault_plan
{
public:
    struct rule
    {
        upstream_fault kind = upstream_fault::none;
        std::int64_t count = -1; // requests left; -1: until cleared
        double probability = 1;
        std::chrono::milliseconds delay{0}; // for late
        std::string pathPrefix{};
    };

    explicit fault_plan(std::uint64_t seed);
    void add(const rule &value);
    void clear();
    // The fault for a request; uses up one count of its rule. With `beforeRead`, only
    // reset_before_read is considered, otherwise only the others.
    rule next(std::string_view path, bool beforeRead);
    // Grows with each clear(), so that hanging requests notice.
    std::uint64_t generation() const;

private:
    mutable std::mutex m_mutex;
    std::vector<rule> m_rules;
    std::mt19937_64 m_random;
    std::uint64_t m_generation = 0;
};

} // namespace buckthorngrade
