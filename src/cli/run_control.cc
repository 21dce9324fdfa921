#include "agreement/local_replicator.h"
#include "base/error.h"
#include "cli/command_line.h"
#include "cli/common_flags.h"
#include "cli/run.h"
#include "cli/signals.h"
#include "control/control_instance.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_bool(initialize, false, "make a new data folder for a founding member of the control group");

namespace buckthorngrade {

int runControl(const command_arguments &arguments)
{
    requireArguments(arguments, 0, "");
    blockStopSignals();
    const settings loaded = loadSettings(requiredConfig());
    if (!loaded.hasControl)
        throw settings_error(fmt::format("{}: has no control section", FLAGS_config));
    const system_clock_source clock;
    stderr_event_log events(loaded.instance, loaded.logLevel);
    metric_registry metrics;
    const json_tracer tracer(loaded.instance, {loaded.traceFile, loaded.traceSample});
    control_state state;
    feed_hub hub;
    state.setListener(&hub);
    local_replicator log(state);
    const control_instance instance(loaded, log, state, hub, clock, events, metrics, tracer);
    events.write(event_id::process_started, {{"role", "control"}, {"version", BG_VERSION}});
    const int number = waitForStopSignal();
    events.write(event_id::process_stopping, {{"signal", number}});
    return 0;
}

} // namespace buckthorngrade
