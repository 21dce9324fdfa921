#pragma once

#include "control/control_state.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace buckthorngrade {

// Reference implementation of control_state for tests. It is simple and slow: it keeps all edits
// and searches linearly.
class reference_state
{
public:
    explicit reference_state(const control_state_limits &limits)
        : m_limits(limits)
    { }

    wire::edit_status edit(std::uint64_t index, std::int64_t wallMs, const wire::edit &edit);
    wire::begin_status begin(std::int64_t wallMs, const wire::begin_request &begin);
    bool finish(std::int64_t wallMs, const wire::finish_request &finish);
    bool registerInstance(std::uint64_t index, std::int64_t wallMs,
                          const wire::register_instance &registration);

    std::uint64_t revision() const { return m_revision; }
    // Current version and text by profile name.
    const std::map<std::string, std::pair<std::uint64_t, std::string>> &profiles() const
    {
        return m_profiles;
    }
    const std::set<std::string> &drains() const { return m_drains; }
    std::set<std::string> removed() const;

private:
    struct remembered_edit
    {
        std::string id;
        std::int64_t idTime;
        std::int64_t wallMs;
        std::string content;
        wire::edit_status status;
        bool isDropped;
    };
    struct request
    {
        wire::begin_request begin;
        std::int64_t wallMs;
        std::optional<wire::finish_request> finish;
    };
    struct instance
    {
        std::uint64_t incarnation = 0;
        bool isRemoved = false;
        std::uint64_t removedIncarnation = 0;
    };

    void advanceTime(std::int64_t wallMs);
    wire::edit_status applyNewEdit(std::uint64_t index, const wire::edit &edit);
    bool isSuperseded(const std::string &name, std::uint64_t incarnation) const;
    static bool isSame(const wire::begin_request &begin, const wire::finish_request &finish);

    control_state_limits m_limits;
    std::int64_t m_wallMs = 0;
    std::int64_t m_windowStart = 0;
    std::uint64_t m_revision = 0;
    std::vector<remembered_edit> m_edits;
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_profiles;
    std::set<std::string> m_drains;
    std::vector<request> m_requests;
    std::vector<wire::finish_request> m_withdrawn;
    std::map<std::string, instance> m_instances;
};

} // namespace buckthorngrade
