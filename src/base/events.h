#pragma once

#include <span>
#include <string_view>

namespace buckthorngrade {

enum class log_level { debug, info, warning, error };

// Numbered log events. They are defined in events/*.def and listed in docs/events.md.
enum class event_id : int {
#define BG_EVENT(number, level, name, text) name = number,
#include "base/events/agreement.def"
#include "base/events/base.def"
#include "base/events/control.def"
#include "base/events/entry.def"
#include "base/events/tool.def"
#undef BG_EVENT
};

struct event_description
{
    event_id id;
    log_level level;
    std::string_view name;
    std::string_view text;
};

// Returns all events, ordered by number.
std::span<const event_description> allEvents();
const event_description &describe(event_id id);

std::string_view toString(log_level level);
// Throws settings_error for an unknown name.
log_level logLevelFromString(std::string_view name);

} // namespace buckthorngrade
