#include "cli/signals.h"

#include <csignal>

#include <unistd.h>

namespace buckthorngrade {

namespace {

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void blockStopSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

int waitForStopSignal()
{
    const sigset_t set = stopSignals();
    int number = 0;
    sigwait(&set, &number);
    return number;
}

void requestStop()
{
    ::kill(::getpid(), SIGTERM);
}

bool waitForStopSignal(std::chrono::milliseconds limit)
{
    const sigset_t set = stopSignals();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limit);
    const timespec time{seconds.count(), std::chrono::nanoseconds(limit - seconds).count()};
    return sigtimedwait(&set, nullptr, &time) > 0;
}

} // namespace buckthorngrade
