#include "platform/platform_roles.h"

#include "carrier/entry_node.h"
#include "cli/signals.h"
#include "control/control_node.h"
#include "platform/control_api.h"
#include "platform/instance_list.h"
#include "platform/platform_process.h"
#include "platform/platform_routing.h"
#include "platform/platform_settings.h"

#include <unistd.h>

#include <fmt/format.h>

#include <cstdlib>

namespace buckthorngrade {

namespace {

constexpr int ok = 200;
constexpr int notFound = 404;

proxy_header_names platformProtocol()
{
    proxy_header_names result;
    result.requestId = "X-Buckthorngrade-Request-Id";
    result.deadlineMs = "X-Buckthorngrade-Deadline-Ms";
    result.affinityCookie = "X-Buckthorngrade-Affinity-Key";
    result.expectedUpstream = "X-Buckthorngrade-Expect-Instance";
    result.upstreamId = "X-Buckthorngrade-Instance-Id";
    result.load = "X-Buckthorngrade-Server-Load";
    result.notRun = "X-Buckthorngrade-Not-Executed";
    result.leaving = "Server-Leaving";
    result.requestLimit = "Server-Limit";
    result.seal = "X-Buckthorngrade-Server-Seal";
    return result;
}

std::unique_ptr<http_server> serveMetrics(event_loop &loop, const node_settings &settings,
                                          const metric_registry &metrics)
{
    return std::make_unique<http_server>(
        loop, socket_address{settings.host, settings.metricsPort()}, http_server_options(),
        [&metrics](const exchange_pointer &exchange) {
            if (exchange->head.target == "/metrics")
                exchange->respond(ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                                  metrics.render());
            else
                exchange->respond(notFound, {}, "");
        });
}

} // namespace

int runPlatformEntry(const command_arguments &arguments)
{
    requireArguments(arguments, 0, "");
    blockSignals();
    const std::string path = platformSettingsPath();
    const node_settings settings = parsePlatformSettings(readWholeFile(path));
    stdout_event_log events(settings.name, log_level::info, STDOUT_FILENO);
    metric_registry metrics;
    const platform_routing_codec codec;
    const proxy_header_names protocol = platformProtocol();
    event_loop loop;
    entry_node node(loop, settings, protocol, codec, events, metrics);
    const auto metricsServer = serveMetrics(loop, settings, metrics);
    events.write(event_id::process_started,
                 {{"role", "entry"},
                  {"version", BG_VERSION},
                  {"address", settings.entryAddress},
                  {"domain", settings.failureDomain}});
    runUntilStopped(
        loop, path, events, [&node](const node_settings &changed) { node.reload(changed); },
        [&node](std::function<void()> onStopped) { node.stop(std::move(onStopped)); });
    events.write(event_id::process_stopped);
    // Skips destructors, because pending calls to control instances would delay the exit by up to
    // their timeout.
    std::_Exit(0);
}

int runPlatformControl(const command_arguments &arguments)
{
    requireArguments(arguments, 0, "");
    blockSignals();
    const std::string path = platformSettingsPath();
    const node_settings settings = parsePlatformSettings(readWholeFile(path));
    const system_clock_source clock;
    stdout_event_log events(settings.name, log_level::info, STDOUT_FILENO);
    metric_registry metrics;
    const platform_routing_codec codec;
    event_loop loop;
    instance_list list(settings.listAddress, clock, events);
    control_node node(settings, codec, list, clock, events, metrics, [&](const std::string &what) {
        events.write(event_id::replica_stopped, {{"reason", what}});
        // The next process reloads the state from the data folder.
        std::_Exit(1);
    });
    control_api api(loop, settings, node, clock);
    const http_server orders(
        loop, socket_address::parse(settings.controlAddress), http_server_options(),
        [&api](const exchange_pointer &exchange) { api.handleOperatorRequest(exchange); });
    const http_server directory(
        loop, socket_address::parse(settings.directoryAddress), http_server_options(),
        [&api](const exchange_pointer &exchange) { api.handleDirectoryLookup(exchange); });
    const auto metricsServer = serveMetrics(loop, settings, metrics);
    events.write(event_id::process_started,
                 {{"role", "control"},
                  {"version", BG_VERSION},
                  {"address", settings.controlAddress},
                  {"first", settings.isFirstStart}});
    runUntilStopped(
        loop, path, events, [](const node_settings &) {},
        [](const std::function<void()> &onStopped) { onStopped(); });
    events.write(event_id::process_stopped);
    std::_Exit(0);
}

} // namespace buckthorngrade
