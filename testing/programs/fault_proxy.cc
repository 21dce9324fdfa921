// TCP proxy that makes a link slow, lossy or silent; see testing/fault_proxy_control.h.

#include "testing/fault_proxy.h"

#include "base/error.h"
#include "base/event_log.h"
#include "testing/fault_proxy_control.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(listen, "127.0.0.1:0", "IP:port for clients; with port 0 the system chooses one");
DEFINE_string(target, "", "IP:port to connect clients to");
DEFINE_string(control, "127.0.0.1:0", "IP:port of the HTTP control port");
DEFINE_uint64(seed, 1, "seed for jitter and losses");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("TCP proxy with faults, for tests and demonstrations");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    // Blocked in all threads, so that sigwait below gets them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        buckthorngrade::fault_proxy proxy(FLAGS_listen, FLAGS_target, FLAGS_seed);
        const buckthorngrade::fault_proxy_control control(proxy, FLAGS_control);
        buckthorngrade::stderr_event_log log("fault_proxy", buckthorngrade::log_level::info);
        log.write(buckthorngrade::event_id::fault_proxy_started,
                  {{"address", proxy.address()},
                   {"target", FLAGS_target},
                   {"control", control.address()},
                   {"seed", FLAGS_seed}});
        std::cout << proxy.address() << "\n" << control.address() << std::endl;
        int received = 0;
        sigwait(&signals, &received);
        return 0;
    } catch (const buckthorngrade::error &failure) {
        std::cerr << "fault_proxy: " << failure.what() << "\n";
        return 2;
    }
}
