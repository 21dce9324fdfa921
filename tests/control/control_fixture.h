#pragma once

#include "base/clock.h"
#include "control/control_state.h"

#include <fmt/format.h>

#include <chrono>
#include <string>

namespace buckthorngrade {

// Clock for tests. Its time changes only by advance().
class manual_clock final : public clock_source
{
public:
    steady_time now() const override { return steady_time{} + std::chrono::hours(1) + m_passed; }
    wall_time wallNow() const override
    {
        return wall_time{} + std::chrono::hours(500'000) + m_passed;
    }
    std::int64_t wallMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(wallNow().time_since_epoch())
            .count();
    }
    void advance(std::chrono::milliseconds time) { m_passed += time; }

private:
    std::chrono::milliseconds m_passed{0};
};

inline std::string profileText(const std::string &name, const std::string &extraLines = {})
{
    return fmt::format("name: {}\nweights:\n  latency: 50%\n  headroom: 50%\n{}", name, extraLines);
}

inline wire::apply_result applyCommand(control_state &state, log_index index,
                                       const wire::command &command)
{
    wire::apply_result result;
    result.ParseFromString(state.apply(index, command.SerializeAsString()));
    return result;
}

inline wire::command putCommand(std::int64_t wallMs, const std::string &requestId,
                                const std::string &name, std::uint64_t base,
                                const std::string &yaml)
{
    wire::command command;
    command.set_wall_ms(wallMs);
    wire::edit &edit = *command.mutable_operator_edit();
    edit.set_request_id(requestId);
    edit.set_operator_name("anna");
    edit.mutable_put()->set_name(name);
    edit.mutable_put()->set_base_version(base);
    edit.mutable_put()->set_yaml(yaml);
    return command;
}

inline wire::command registerCommand(std::int64_t wallMs, const std::string &name,
                                     std::uint64_t incarnation, const std::string &region,
                                     std::uint32_t positions = 4)
{
    wire::command command;
    command.set_wall_ms(wallMs);
    wire::register_instance &registration = *command.mutable_registration();
    registration.set_instance(name);
    registration.set_incarnation(incarnation);
    registration.set_region(region);
    registration.set_failure_domain(region + "-a");
    registration.set_positions(positions);
    return command;
}

inline wire::command removeCommand(std::int64_t wallMs, const std::string &requestId,
                                   const std::string &name, std::uint64_t incarnation = 0)
{
    wire::command command;
    command.set_wall_ms(wallMs);
    command.mutable_operator_edit()->set_request_id(requestId);
    command.mutable_operator_edit()->set_operator_name("anna");
    command.mutable_operator_edit()->mutable_remove()->set_instance(name);
    command.mutable_operator_edit()->mutable_remove()->set_incarnation(incarnation);
    return command;
}

} // namespace buckthorngrade
