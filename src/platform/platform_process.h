#pragma once

#include "base/stdout_event_log.h"
#include "model/node_settings.h"
#include "net/event_loop.h"

#include <functional>
#include <string>

namespace buckthorngrade {

// Reads a complete file. Throws settings_error if it can't be opened.
std::string readWholeFile(const std::string &path);

// Runs the event loop on a separate thread and handles signals and changes of the settings file
// until the loop stops. `onReload` and `onStop` run on the loop's thread. SIGTERM and SIGINT call
// `onStop`; the loop stops when `onStop` calls its argument.
void runUntilStopped(event_loop &loop, const std::string &settingsPath, event_log &events,
                     const std::function<void(const node_settings &)> &onReload,
                     const std::function<void(std::function<void()> onStopped)> &onStop);

} // namespace buckthorngrade
