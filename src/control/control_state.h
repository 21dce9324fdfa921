#pragma once

#include "agreement/replicator.h"
#include "store.pb.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace buckthorngrade {

// Failure in the control role.
class control_error : public error
{
public:
    using error::error;
};

// Hears of configuration as it is applied, in order, on the applying thread.
class config_listener
{
public:
    virtual ~config_listener() = default;
    virtual void configChanged(const wire::config_change &change) = 0;
    virtual void configReplaced(const wire::config_full &full) = 0;
};

struct control_state_limits
{
    std::chrono::milliseconds editRetention = std::chrono::hours(24 * 7);
    std::size_t maxEdits = 200'000;
    std::chrono::milliseconds requestRetention = std::chrono::hours(24);
    std::size_t maxRequests = 200'000;
    std::size_t maxVersionsPerProfile = 1'000;
    std::size_t maxProfiles = 10'000;
    std::size_t maxDrains = 10'000;
};

// Accepted state of the deployment: profiles with history, drains, removed instances, outcomes of
// operators' edits by request id, and keyed requests. It is driven by the replicated log with
// wire::command and answers with wire::apply_result. Reads are thread-safe.
class control_state final : public state_machine
{
public:
    explicit control_state(control_state_limits limits = {});

    // `listener` must outlive this; null: none. Set before the first command.
    void setListener(config_listener *listener) { m_listener = listener; }

    std::string apply(log_index index, std::string_view command) override;
    std::string snapshot() const override;
    void restore(log_index index, std::string_view snapshot) override;

    std::uint64_t revision() const;
    wire::config_full config() const;
    // Current versions, by name.
    std::vector<wire::profile_version> profiles() const;
    // The version given, or the current one for 0.
    std::optional<wire::profile_version> findProfile(const std::string &name,
                                                     std::uint64_t version) const;
    // Oldest first.
    std::vector<wire::profile_version> history(const std::string &name) const;
    std::vector<wire::drain_record> drains() const;

private:
    using request_key = std::pair<std::string, std::string>; // service, key

    wire::edit_outcome applyEdit(log_index index, const wire::edit &edit);
    wire::edit_outcome applyNewEdit(log_index index, const wire::edit &edit);
    wire::edit_outcome putProfile(log_index index, const wire::edit &edit);
    wire::edit_outcome announceDrain(log_index index, const wire::edit &edit);
    wire::edit_outcome cancelDrain(log_index index, const wire::edit &edit);
    wire::edit_outcome removeInstance(log_index index, const wire::edit &edit);
    wire::begin_outcome beginRequest(const wire::begin_request &begin);
    bool finishRequest(const wire::finish_request &finish);
    void rememberEdit(const wire::edit &edit, std::uint64_t digest,
                      const wire::edit_outcome &outcome);
    void expire();
    void publish(const wire::config_change &change);
    wire::config_full buildConfig() const;

    control_state_limits m_limits;
    config_listener *m_listener = nullptr;
    mutable std::mutex m_mutex;
    std::uint64_t m_revision = 0;
    std::int64_t m_wallMs = 0;
    std::int64_t m_editsSinceMs = 0;
    std::map<std::string, std::deque<wire::profile_version>> m_profiles;
    std::map<std::string, wire::drain_record> m_drains;
    std::map<std::string, wire::remove_instance> m_removed;
    std::map<std::string, wire::edit_memory> m_edits;
    std::deque<std::string> m_editOrder;
    std::map<request_key, wire::request_record> m_requests;
    std::deque<std::pair<std::int64_t, request_key>> m_requestOrder;
};

// The time in an id of the form EPOCHMS-RANDOM; empty if it has another form.
std::optional<std::int64_t> timeOfRequestId(std::string_view id);

} // namespace buckthorngrade
