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

// Failure of the replicated log or its storage.
class agreement_error : public error
{
public:
    using error::error;
};

// What the replicated log drives. Deterministic: the same commands in the same order give the same
// state and results on every instance. No clock; commands carry the time they need. All calls come
// from one thread.
class state_machine
{
public:
    virtual ~state_machine() = default;
    // Applies a committed command and returns its result. Must not throw for any bytes.
    virtual std::string apply(log_index index, std::string_view command) = 0;
    // The whole state, for a snapshot.
    virtual std::string snapshot() const = 0;
    // Replaces the state. Throws agreement_error for bytes that are not a snapshot.
    virtual void restore(log_index index, std::string_view snapshot) = 0;
};

struct submit_result
{
    enum class status {
        applied, // committed and applied; `result` is what apply() returned
        not_accepted, // certainly not in the log and never will be
        unknown, // may still be committed
    };
    status outcome = status::not_accepted;
    log_index index = 0;
    std::string result;
    replica_id leader = 0; // with not_accepted: whom to ask instead; 0: unknown
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
    // The leader: a quorum answered within the last election timeout. Others: a leader was heard.
    bool isConnected = false;
};

// Adds commands to the replicated log. Thread-safe.
class replicator
{
public:
    virtual ~replicator() = default;
    // Only the leader accepts. The future becomes ready within about `timeout`.
    virtual std::future<submit_result> submit(std::string command,
                                              std::chrono::milliseconds timeout)
        = 0;
    // True once a quorum confirmed, after this call, that this instance leads, and everything
    // committed before is applied here. False if that fails within `timeout`.
    virtual std::future<bool> confirmRead(std::chrono::milliseconds timeout) = 0;
    virtual role_view view() const = 0;
};

} // namespace buckthorngrade
