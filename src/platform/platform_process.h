#pragma once

#include "base/stdout_event_log.h"
#include "model/node_settings.h"
#include "net/event_loop.h"

#include <functional>
#include <string>

namespace buckthorngrade {

// Reads a file whole. Throws settings_error.
std::string readWholeFile(const std::string &path);

// Runs the event loop on a thread of its own and handles signals and changes of the settings file
// until the process shall stop. `onReload` and `onStop` run on the loop's thread; the loop ends
// when `onStop`'s argument is called.
void runUntilStopped(event_loop &loop, const std::string &settingsPath, event_log &events,
                     const std::function<void(const node_settings &)> &onReload,
                     const std::function<void(std::function<void()> onStopped)> &onStop);

} // namespace buckthorngrade
