#include "agreement/posix_file_system.h"
#include "agreement/replica.h"
#include "base/error.h"
#include "cli/command_line.h"
#include "cli/common_flags.h"
#include "cli/run.h"
#include "cli/signals.h"
#include "control/control_instance.h"
#include "control/grpc_peer_transport.h"
#include "control/membership_manager.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <future>
#include <iterator>
#include <memory>

DEFINE_bool(initialize, false, "make a new data folder for a founding member of the control group");

namespace buckthorngrade {

namespace {

replica_settings replicaSettings(const settings &config, bool initialize)
{
    replica_settings result;
    result.cluster = config.cluster;
    result.self = config.control.id;
    std::ranges::transform(config.members, std::back_inserter(result.members), &control_member::id);
    result.folder = config.control.dataFolder;
    result.initialize = initialize;
    return result;
}

grpc_peer_transport::settings linkSettings(const settings &config)
{
    grpc_peer_transport::settings result;
    result.cluster = config.cluster;
    result.self = config.control.id;
    for (const control_member &member : config.members)
        result.addresses[member.id] = member.grpcAddress;
    return result;
}

std::unique_ptr<replica> openReplica(const settings &config, bool initialize, file_system &files,
                                     control_state &state, peer_transport &link,
                                     const clock_source &clock, event_log &events,
                                     metric_registry &metrics)
{
    try {
        return std::make_unique<replica>(replicaSettings(config, initialize), files, state, link,
                                         clock, events, metrics);
    } catch (const storage_corruption &failure) {
        events.write(event_id::data_folder_corrupt,
                     {{"folder", config.control.dataFolder.string()}, {"reason", failure.what()}});
        throw;
    }
}

} // namespace

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
    config_publisher hub;
    state.setListener(&hub);
    posix_file_system files;
    std::promise<std::string> replicaFailure;
    std::future<std::string> failureReason = replicaFailure.get_future();
    grpc_peer_transport link(linkSettings(loaded), events, metrics);
    const auto replicatedLog
        = openReplica(loaded, FLAGS_initialize, files, state, link, clock, events, metrics);
    grpc_peer_service peerService(
        loaded.cluster, loaded.control.id,
        [&replicatedLog](replica_id, std::string bytes) {
            replicatedLog->receive(std::move(bytes));
        },
        events);
    replica_membership_manager members(*replicatedLog);
    {
        const control_instance instance(loaded, *replicatedLog, state, hub, clock, events, metrics,
                                        tracer, {&peerService}, &members);
        replicatedLog->start([&replicaFailure](const std::string &what) {
            replicaFailure.set_value(what);
            requestStop();
        });
        events.write(event_id::process_started, {{"role", "control"}, {"version", BG_VERSION}});
        const int number = waitForStopSignal();
        events.write(event_id::process_stopping, {{"signal", number}});
        // The replica stops first, so that pending requests are answered before the servers stop.
        replicatedLog->stop();
        link.stop();
    }
    if (failureReason.wait_for(std::chrono::seconds(0)) == std::future_status::ready) {
        const std::string what = failureReason.get();
        events.write(event_id::replica_stopped, {{"reason", what}});
        throw control_error("the replicated log stopped: " + what);
    }
    events.write(event_id::process_stopped);
    return 0;
}

} // namespace buckthorngrade
