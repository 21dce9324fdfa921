#include "platform/platform_process.h"

#include "cli/signals.h"
#include "platform/platform_settings.h"

#include <csignal>

#include <atomic>
#include <fstream>
#include <sstream>
#include <thread>

namespace buckthorngrade {

namespace {

// The settings file is polled because it may change without a signal.
constexpr std::chrono::milliseconds settingsCheckPeriod{1'000};

} // namespace

std::string readWholeFile(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    if (!file)
        throw settings_error("can't read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void runUntilStopped(event_loop &loop, const std::string &settingsPath, event_log &events,
                     const std::function<void(const node_settings &)> &onReload,
                     const std::function<void(std::function<void()> onStopped)> &onStop)
{
    std::atomic<bool> hasStopped = false;
    std::thread runner([&] {
        loop.run();
        hasStopped = true;
        requestStop();
    });
    std::string lastText = readWholeFile(settingsPath);
    while (!hasStopped) {
        const int signal = waitForSignal(settingsCheckPeriod);
        if (hasStopped)
            break;
        if (signal == SIGTERM || signal == SIGINT) {
            events.write(event_id::process_stopping, {{"signal", signal}});
            loop.post([&] { onStop([&loop] { loop.stop(); }); });
            continue;
        }
        try {
            std::string text = readWholeFile(settingsPath);
            if (text == lastText)
                continue;
            const node_settings settings = parsePlatformSettings(text);
            lastText = std::move(text);
            events.write(event_id::settings_reloaded,
                         {{"signal", signal}, {"seeds", settings.seedHosts.size()}});
            loop.post([&onReload, settings] { onReload(settings); });
        } catch (const settings_error &failure) {
            events.write(event_id::settings_reloaded,
                         {{"signal", signal}, {"rejected", failure.what()}});
        }
    }
    runner.join();
}

} // namespace buckthorngrade
