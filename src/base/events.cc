#include "base/events.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace buckthorngrade {

namespace {

std::vector<event_description> sortedEvents()
{
    std::vector<event_description> events = {
#define BG_EVENT(number, level, name, text) {event_id::name, log_level::level, #name, text},
#include "base/events/agreement.def"
#include "base/events/base.def"
#include "base/events/control.def"
#include "base/events/entry.def"
#include "base/events/tool.def"
#undef BG_EVENT
    };
    std::ranges::sort(events, {}, &event_description::id);
    return events;
}

constexpr std::array<std::string_view, 4> levelNames = {"debug", "info", "warning", "error"};

} // namespace

std::span<const event_description> allEvents()
{
    static const std::vector<event_description> events = sortedEvents();
    return events;
}

const event_description &describe(event_id id)
{
    const auto events = allEvents();
    return *std::ranges::lower_bound(events, id, {}, &event_description::id);
}

std::string_view toString(log_level level)
{
    return levelNames[static_cast<std::size_t>(level)];
}

log_level logLevelFromString(std::string_view name)
{
    const auto found = std::ranges::find(levelNames, name);
    if (found == levelNames.end())
        throw settings_error("unknown log level '" + std::string(name)
                             + "'; use debug, info, warning or error");
    return static_cast<log_level>(found - levelNames.begin());
}

} // namespace buckthorngrade
