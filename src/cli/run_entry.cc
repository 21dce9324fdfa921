#include "base/error.h"
#include "cli/command_line.h"
#include "cli/common_flags.h"
#include "cli/run.h"
#include "cli/signals.h"
#include "entry/entry_instance.h"

#include <fmt/format.h>

#include <cstdlib>

namespace buckthorngrade {

int runEntry(const command_arguments &arguments)
{
    requireArguments(arguments, 0, "");
    blockStopSignals();
    const settings loaded = loadSettings(requiredConfig());
    if (!loaded.hasEntry)
        throw settings_error(fmt::format("{}: has no entry section", FLAGS_config));
    const system_clock_source clock;
    stderr_event_log events(loaded.instance, loaded.logLevel);
    metric_registry metrics;
    const json_tracer tracer(loaded.instance, {loaded.traceFile, loaded.traceSample});
    entry_instance instance(loaded, clock, events, metrics, tracer);
    events.write(event_id::process_started,
                 {{"role", "entry"}, {"version", BG_VERSION}, {"address", instance.address()}});
    const int number = waitForStopSignal();
    events.write(event_id::process_stopping, {{"signal", number}});
    const bool isComplete
        = instance.drain([] { return waitForStopSignal(std::chrono::seconds(1)); });
    // Ends the process without joining the threads of interrupted requests, which may wait for
    // upstreams until their deadlines.
    if (!isComplete)
        std::_Exit(1);
    return 0;
}

} // namespace buckthorngrade
