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

// Every instance must have the same limits, or their states would differ.
struct control_state_limits
{
    std::chrono::milliseconds editRetention = std::chrono::hours(24 * 7);
    std::size_t maxEdits = 200'000;
    // How far the time in a request id may be ahead. An evicted id moves the start of the window
    // past its time, so an id from the future could otherwise lock out all later edits.
    std::chrono::milliseconds maxClockSkew = std::chrono::minutes(5);
    std::chrono::milliseconds requestRetention = std::chrono::hours(24);
    std::size_t maxRequests = 200'000;
    std::size_t maxRequestBytes = 256U << 20; // of recorded responses and keys
    std::size_t maxWithdrawn = 10'000;
    std::chrono::milliseconds maxDeadline = std::chrono::hours(1);
    std::size_t maxVersionsPerProfile = 1'000;
    std::size_t maxHistoryBytes = 128U << 20; // of all versions; the longest history is cut first
    std::size_t maxProfiles = 10'000;
    std::size_t maxProfileBytes = 64U << 10; // of one profile's text
    std::size_t maxDrains = 10'000;
    // Of current versions and drains; a subscriber gets them in one message of at most 4 MB.
    std::size_t maxConfigBytes = 3U << 20;
    std::size_t maxInstances = 10'000;
    std::size_t maxRoutingBytes = 2U << 20; // of one routing document
    std::size_t maxEvacuations = 1'000;
    // A removed instance may still use its reserved seats until it hears of its removal or ends,
    // so its position stays unused for this long.
    std::chrono::milliseconds positionHold = std::chrono::minutes(10);
};

// Accepted state of the deployment: profiles with history, drains, entry instances and their
// removals, outcomes of operators' edits by request id, and keyed requests. It is driven by the
// replicated log with wire::command and answers with wire::apply_result. Reads are thread-safe.
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
    // Registered entry instances by name, with those removed.
    std::vector<wire::instance_record> instances() const;
    // Changes whenever instances() does.
    std::uint64_t instancesVersion() const;
    struct request_counts
    {
        std::size_t records = 0;
        std::size_t bytes = 0;
    };
    request_counts requestCounts() const;

    // The routing document in force; version 0: none was accepted.
    wire::put_routing routing() const;
    std::uint64_t routingVersion() const;
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
    void publishCleared(log_index index, const wire::instance_record &record);
    void assignPosition(wire::instance_record &record);
    bool isSuperseded(const std::string &instance, std::uint64_t incarnation) const;
    wire::begin_outcome beginRequest(log_index index, const wire::begin_request &begin);
    wire::begin_outcome answerKnown(const wire::request_record &record,
                                    const wire::begin_request &begin) const;
    void rememberWithdrawn(const wire::finish_request &finish);
    void eraseRequest(std::uint64_t index);
    bool makeHistoryRoom(std::size_t bytes);
    bool finishRequest(const wire::finish_request &finish);
    std::uint64_t putRouting(wire::put_routing routing);
    std::uint64_t setEvacuation(log_index index, const wire::set_evacuation &change);
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
    std::map<std::string, wire::instance_record> m_instances;
    std::uint64_t m_instancesVersion = 0;
    wire::put_routing m_routing;
    evacuations m_evacuations;
    std::map<request_key, wire::request_record> m_requests;
    std::map<std::uint64_t, request_key> m_requestOrder; // by record's log index
    using withdrawn_attempt = std::tuple<request_key, std::string, std::uint64_t, std::uint64_t>;
    std::set<withdrawn_attempt> m_withdrawn; // key, instance, incarnation, attempt
    std::deque<withdrawn_attempt> m_withdrawnOrder;
    // Sums that the limits bound; computed from the rest.
    std::size_t m_requestBytes = 0;
    std::size_t m_historyBytes = 0;
    std::size_t m_configBytes = 0;
};

// The time in an id of the form EPOCHMS-RANDOM; empty if it has another form.
std::optional<std::int64_t> timeOfRequestId(std::string_view id);

} // namespace buckthorngrade
