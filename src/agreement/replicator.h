#pragma once

#include "base/error.h"

#include <chrono>
#include <cstdint>
#include <future>
#include <string>
#include <string_view>

namespace buckthorngrade {

using log_index = std::uint64_t;
using replica_id = std::uint32_t; // 0: none

// A failure of the replicated log or its storage.
class agreement_error : public error
{
public:
    using error::error;
};

// The state machine that the replicated log is applied to. It must be deterministic: the same
// commands in the same order produce the same state and results on every instance. It must not read
// a clock; commands contain the times they need. All calls come from one thread.
class state_machine
{
public:
    virtual ~state_machine() = default;
    // Applies a committed command and returns its result. Must not throw for any bytes.
    virtual std::string apply(log_index index, std::string_view command) = 0;
    // Returns the serialized state.
    virtual std::string snapshot() const = 0;
    // Replaces the state. Throws agreement_error if `snapshot` is invalid.
    virtual void restore(log_index index, std::string_view snapshot) = 0;
};

struct submit_result
{
    enum class status {
        applied, // committed and applied; `result` is what apply() returned
        not_accepted, // not committed and never will be
        unknown, // may or may not be committed
    };
    status outcome = status::not_accepted;
    log_index index = 0;
    std::string result;
    replica_id leader = 0; // the leader to submit to instead, with not_accepted; 0: unknown
};

struct role_view
{
    replica_id self = 0;
    replica_id leader = 0; // 0: unknown
    std::uint64_t term = 0;
    log_index commitIndex = 0;
    log_index appliedIndex = 0;
    bool isLeader = false;
    bool isVoter = false;
    // On the leader: a quorum was heard within the last election timeout. On others: a leader was
    // heard within it.
    bool isConnected = false;
};

// Submits commands to the replicated log. Thread-safe.
class replicator
{
public:
    virtual ~replicator() = default;
    // Only the leader accepts commands. The future becomes ready within about `timeout`.
    virtual std::future<submit_result> submit(std::string command,
                                              std::chrono::milliseconds timeout)
        = 0;
    // Confirms a linearizable read: the result is true once a quorum has confirmed, after this
    // call, that this instance is the leader, and everything committed before the call is applied
    // here. The result is false if that does not happen within `timeout`.
    virtual std::future<bool> confirmRead(std::chrono::milliseconds timeout) = 0;
    virtual role_view view() const = 0;
};

} // namespace buckthorngrade
