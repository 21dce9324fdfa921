#pragma once

#include "agreement/replicator.h"
#include "store.pb.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace buckthorngrade {

// Error of the control role.
class control_error : public error
{
public:
    using error::error;
};

// Receives configuration changes in log order, on the thread that applies commands. The state is
// locked during the calls, so they must not call back into control_state.
class config_listener
{
public:
    virtual ~config_listener() = default;
    virtual void configChanged(const wire::config_change &change) = 0;
    // A snapshot was restored; `full` replaces all earlier configuration.
    virtual void configReplaced(const wire::config_full &full) = 0;
};

// Limits of the replicated state. All control instances must use the same values, or their states
// would diverge.
struct control_state_limits
{
    std::chrono::milliseconds editRetention = std::chrono::hours(24 * 7);
    std::size_t maxEdits = 200'000;
    // How far the time in a request id may lie ahead of the state's time. Evicting an id moves the
    // start of the retention window past the id's time, so that without this limit an id from the
    // future would make all later edits expire.
    std::chrono::milliseconds maxClockSkew = std::chrono::minutes(5);
    std::chrono::milliseconds requestRetention = std::chrono::hours(24);
    std::size_t maxRequests = 200'000;
    std::size_t maxRequestBytes = 256U << 20; // recorded responses and keys
    std::size_t maxWithdrawnAttempts = 10'000;
    std::chrono::milliseconds maxDeadline = std::chrono::hours(1);
    std::size_t maxVersionsPerProfile = 1'000;
    std::size_t maxHistoryBytes = 128U << 20; // all versions; the longest history is trimmed first
    std::size_t maxProfiles = 10'000;
    std::size_t maxProfileBytes = 64U << 10; // text of one profile
    std::size_t maxDrains = 10'000;
    // Current versions and drains together. A subscriber receives them in one message, which is
    // limited to 4 MB.
    std::size_t maxConfigBytes = 3U << 20;
    std::size_t maxInstances = 10'000;
    std::size_t maxRoutingBytes = 2U << 20; // one routing document
    std::size_t maxEvacuations = 1'000;
    // A removed instance may use its reserved slots until it learns of its removal or exits, so its
    // position is not assigned to another instance for this long.
    std::chrono::milliseconds positionReuseDelay = std::chrono::minutes(10);
};

// Replicated state of the deployment: profiles with their history, drains, entry instances and
// their removals, the routing document, evacuations, outcomes of operators' edits by request id,
// and keyed requests. The replicated log applies serialized wire::command messages to it; each
// result is a serialized wire::apply_result. Reads are thread-safe.
class control_state final : public state_machine
{
public:
    explicit control_state(control_state_limits limits = {});

    // `listener` may be null and must outlive this. Call before the first command is applied.
    void setListener(config_listener *listener) { m_listener = listener; }

    std::string apply(log_index index, std::string_view command) override;
    std::string snapshot() const override;
    void restore(log_index index, std::string_view snapshot) override;

    std::uint64_t revision() const;
    wire::config_full config() const;
    // The current version of each profile, sorted by name.
    std::vector<wire::profile_version> profiles() const;
    // Version 0 means the current version. Empty if there is no such profile or version.
    std::optional<wire::profile_version> findProfile(const std::string &name,
                                                     std::uint64_t version) const;
    // All stored versions, oldest first.
    std::vector<wire::profile_version> history(const std::string &name) const;
    std::vector<wire::drain_record> drains() const;
    // Registered entry instances, including removed ones, sorted by name.
    std::vector<wire::instance_record> instances() const;
    // Log index of the last change to instances().
    std::uint64_t instancesVersion() const;
    struct request_counts
    {
        std::size_t records = 0;
        std::size_t bytes = 0;
    };
    request_counts requestCounts() const;

    // The routing document in force and its version; nullopt if none has been accepted. Operators
    // may number their first document 0.
    std::optional<wire::put_routing> routing() const;
    std::optional<std::uint64_t> routingVersion() const;
    struct evacuations
    {
        std::uint64_t revision = 0; // log index of the last change
        std::set<std::string> domains;
    };
    evacuations evacuated() const;

private:
    using request_key = std::pair<std::string, std::string>; // service, key

    wire::edit_outcome applyEdit(log_index index, const wire::edit &edit);
    wire::edit_outcome applyNewEdit(log_index index, const wire::edit &edit);
    wire::edit_outcome putProfile(log_index index, const wire::edit &edit);
    wire::edit_outcome announceDrain(log_index index, const wire::edit &edit);
    wire::edit_outcome cancelDrain(log_index index, const wire::edit &edit);
    wire::edit_outcome removeInstance(log_index index, const wire::edit &edit);
    bool registerInstance(log_index index, const wire::register_instance &registration);
    void publishRemovalCleared(log_index index, const wire::instance_record &record);
    void assignPosition(wire::instance_record &record);
    bool isSuperseded(const std::string &instance, std::uint64_t incarnation) const;
    wire::begin_outcome beginRequest(log_index index, const wire::begin_request &begin);
    wire::begin_outcome outcomeForExistingRecord(const wire::request_record &record,
                                                 const wire::begin_request &begin) const;
    void recordWithdrawal(const wire::finish_request &finish);
    void eraseRequest(std::uint64_t index);
    bool trimHistories(std::size_t bytes);
    bool finishRequest(const wire::finish_request &finish);
    void putRouting(wire::put_routing routing);
    std::uint64_t setEvacuation(log_index index, const wire::set_evacuation &change);
    void recordEdit(const wire::edit &edit, std::uint64_t digest,
                    const wire::edit_outcome &outcome);
    void removeExpired();
    void publish(const wire::config_change &change);
    wire::config_full buildConfig() const;

    control_state_limits m_limits;
    config_listener *m_listener = nullptr;
    mutable std::mutex m_mutex;
    std::uint64_t m_revision = 0;
    std::int64_t m_wallMs = 0;
    std::int64_t m_editWindowStartMs = 0;
    std::map<std::string, std::deque<wire::profile_version>> m_profiles;
    std::map<std::string, wire::drain_record> m_drains;
    std::map<std::string, wire::remove_instance> m_removed;
    std::map<std::string, wire::edit_memory> m_edits;
    std::deque<std::string> m_editOrder;
    std::map<std::string, wire::instance_record> m_instances;
    std::uint64_t m_instancesVersion = 0;
    std::optional<wire::put_routing> m_routing;
    evacuations m_evacuations;
    std::map<request_key, wire::request_record> m_requests;
    std::map<std::uint64_t, request_key> m_requestOrder; // by log index of the record
    using withdrawn_attempt = std::tuple<request_key, std::string, std::uint64_t, std::uint64_t>;
    std::set<withdrawn_attempt> m_withdrawn; // key, instance, incarnation, attempt
    std::deque<withdrawn_attempt> m_withdrawnOrder;
    // Totals compared with the limits. They are derived from the state and not stored.
    std::size_t m_requestBytes = 0;
    std::size_t m_historyBytes = 0;
    std::size_t m_configBytes = 0;
};

// Returns the time in an id of the form EPOCHMS-RANDOM, in milliseconds since 1970. Empty if the id
// has another form.
std::optional<std::int64_t> timeOfRequestId(std::string_view id);

} // namespace buckthorngrade
